/// \file
/// Replaces primaries that died, stall or leave.
#pragma once

#include "bronzeplank/failover.hpp"
#include "runtime/task.hpp"
#include "session/upstream_router.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bronzeplank {

/// A claim as the platform holds it.
struct stored_claim {
    bool answered = false;
    /// 0 when there is none yet.
    std::uint64_t revision = 0;
    failover_claim claim;
};

/// How the platform took an order to promote.
enum class promotion_result { done, refused, unanswered };

/// What the service needs of the platform.
struct takeover_platform {
    std::function<bool()> reachable;
    std::function<task<stored_claim>(std::string group)> read;
    /// Writes if the revision is still the expected one; answered is false when that is unknown
    /// or not so.
    std::function<task<stored_claim>(std::string group, std::uint64_t expected_revision,
                                     failover_claim claim)>
        write;
    std::function<task<promotion_result>(std::string group, std::string instance,
                                         std::uint64_t token)>
        promote;
};

/// Every host runs it; the first of a group's order that sees a reason acts. The steps: claim the
/// next term on the platform by a conditional write, whose revision is the fencing token; stop
/// all replicas from receiving, which ends acknowledgements at the old primary; choose; promote;
/// let the other replicas follow; demote the old primary. Guarantees: no order of a claim is
/// given after its lease on the boot clock, so that a holder that slept does nothing; a replica
/// is promoted only if it covers every commit that this host knows to be acknowledged.
class takeover_service {
public:
    takeover_service(event_loop& loop, fleet_directory& directory, upstream_router& router,
                     fleet& peers, takeover_platform platform);

    void start() { tick(); }
    void stop() { m_tick.cancel(); }

    /// Whether hosts other than the gateway should probe the instance as well.
    bool under_suspicion(const std::string& instance) const {
        return m_suspected.contains(instance);
    }

    /// A commit at this position has been acknowledged to a caller of this host.
    void note_acknowledged(const std::string& group, const log_position& position);
    std::map<std::string, log_position> acknowledged() const { return m_acknowledged; }

    std::uint64_t promotions() const { return m_promotions; }

private:
    struct group_state {
        std::optional<time_point> reason_since;
        failover_reason reason = failover_reason::none;
        failover_reason reason_before = failover_reason::none;
        bool running = false;
        time_point not_before{};
        std::uint64_t seen_revision = 0;
        time_point seen_at{};
    };

    struct run_state {
        std::string group;
        std::string old_primary;
        failover_reason reason = failover_reason::none;
        std::uint64_t term = 0;
        std::uint64_t token = 0;
        time_point lease_end;
        std::vector<paused_replica> paused;
    };

    void tick();
    void consider(const std::string& group, time_point now);
    failover_evidence evidence_on(const std::string& group,
                                  const std::optional<known_primary>& primary) const;
    int rank(const std::string& group) const;
    task<void> take_over(std::string group, std::string old_primary, failover_reason reason);
    task<bool> claim(run_state& run);
    task<std::string> pause_and_choose(run_state& run);
    task<bool> promote(run_state& run, std::string successor);
    void resume_paused(const run_state& run);
    void keep_paused(const run_state& run, const std::string& successor);
    task<void> let_follow(run_state& run, std::string successor, std::uint64_t term);
    task<void> settle(run_state& run, std::string successor);
    task<std::optional<replication_status>> order(std::string instance, replication_command what,
                                                  std::uint64_t term);
    std::vector<std::string> replicas(const std::string& group, const std::string& primary) const;
    log_position acknowledged_by_anyone(const std::string& group) const;
    /// Whether what the promotion began for still holds.
    bool still_needed(const run_state& run) const;
    static bool in_lease(const run_state& run) { return event_loop::now() < run.lease_end; }

    event_loop& m_loop;
    fleet_directory& m_directory;
    upstream_router& m_router;
    fleet& m_fleet;
    takeover_platform m_platform;
    std::map<std::string, group_state> m_groups;
    std::map<std::string, log_position> m_acknowledged;
    std::set<std::string> m_suspected;
    std::uint64_t m_promotions = 0;
    timer m_tick;
};

} // namespace bronzeplank
