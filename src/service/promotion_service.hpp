/// \file
/// Detects failed primaries, runs promotions and attaches replicas.
#pragma once

#include "bronzeplank/promotion.hpp"
#include "bronzeplank/suspicion.hpp"
#include "edge/platform_client.hpp"
#include "runtime/kernel.hpp"
#include "service/directory.hpp"
#include "service/membership.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzeplank {

/// Checks every group periodically. When most hosts suspect a primary, one of them runs a
/// promotion; when a primary is drained, one host switches over to another instance; when a replica
/// does not follow the agreed primary, one host attaches it. Hosts act in turn, ordered by name, so
/// that a host that can't reach the instance or the platform only delays an action.
/// Usage: `promotion_service promotions(kernel, host, platform); promotions.start();`
class promotion_service {
public:
    static constexpr std::string_view service_name = "promotion";

    promotion_service(kernel& services, const settings& host, platform_client& platform);

    void start();
    void stop() { m_stopped = true; }

private:
    /// What this host has observed of a group, and its actions in progress.
    struct group_state {
        std::optional<time_point> suspected_since;
        std::uint64_t claim_term = 0;
        std::optional<time_point> claim_seen_at;
        std::optional<time_point> switchover_wanted_since;
        bool promoting = false;
        /// Replicas with an attach command in progress.
        std::set<std::string> attaching;
        /// Since when each replica has not followed the agreed primary.
        std::map<std::string, time_point> unattached_since;
    };
    struct running_promotion;

    task<void> check_periodically();
    void check_group(const std::string& name, const std::shared_ptr<upstream_group>& group);
    void track_claim(group_state& state, const group_record& record, time_point now) const;
    bool should_switch_over(group_state& state, const upstream_group& group, time_point now) const;
    /// Returns the number of live hosts that precede this one by name. Each rank waits longer, so
    /// that two hosts rarely act at once.
    int live_rank() const;
    task<void> run_promotion(std::shared_ptr<upstream_group> group);
    task<void> perform(std::shared_ptr<running_promotion> running, promotion_action action);
    task<void> write_record(std::shared_ptr<running_promotion> running, promotion_action action);
    static void start_actions(const std::shared_ptr<running_promotion>& running,
                              std::vector<promotion_action> actions, promotion_service& self);
    void attach_replicas(group_state& state, const std::shared_ptr<upstream_group>& group);
    task<void> attach(std::shared_ptr<upstream_group> group, promotion_action action);

    event_loop& m_loop;
    const settings& m_host;
    platform_client& m_platform;
    directory& m_directory;
    membership& m_membership;
    suspicion_limits m_limits;
    std::map<std::string, group_state> m_groups;
    bool m_stopped = false;
};

} // namespace bronzeplank
