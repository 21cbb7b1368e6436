/// \file
/// What the sessions of a host share: rates, freshness, the placing of work.
#pragma once

#include "bronzeplank/demand_share.hpp"
#include "bronzeplank/error.hpp"
#include "bronzeplank/freshness_window.hpp"
#include "service/metrics.hpp"
#include "session/upstream_router.hpp"

#include <map>
#include <set>
#include <string>

namespace bronzeplank {

/// Where a statement goes, and what its instance must prove.
struct statement_target {
    std::string instance;
    std::string gateway;
    std::optional<log_position> at_least;
    bool strict = false;
};

/// Bounds that the platform sets on how long work may still go somewhere.
struct withdrawal_bounds {
    duration leaving_instance = std::chrono::seconds(7);
    duration withdrawn_domain = std::chrono::seconds(5);
    bool operator==(const withdrawal_bounds&) const = default;
};

/// Called by the sessions of a host.
struct session_observer {
    /// A caller learns of a commit at this position.
    std::function<void(const std::string& group, const log_position&)> acknowledged;
    /// A statement that needed an instance was answered; outcome is an error's code, or `done`.
    std::function<void(const std::string& workspace, request_class what, std::string_view outcome,
                       duration latency)>
        answered;
};

/// Shared by the sessions of a host. It must outlive them.
class session_service {
public:
    session_service(event_loop& loop, fleet_directory& directory, upstream_router& router,
                    fleet& peers, withdrawal_bounds bounds);

    /// The route that serves the database. \throws request_error when there is none, or when this
    /// host has no configuration yet and can't know.
    const database_route& route_of(const std::string& database) const;

    /// The workspace of the credential. \throws request_error when the route does not admit it.
    std::string authenticate(const database_route& route, const std::string& credential) const;

    /// Takes one operation out of the workspace's rate; false when it has used it up.
    bool admit(const std::string& workspace);

    /// The instance for a read that may run at replicas, or nothing.
    /// \param written the last position that the session has written
    /// \param avoided instances that have refused this read already
    std::optional<statement_target> place_read(const database_route& route,
                                               const std::optional<log_position>& written,
                                               const std::set<std::string>& avoided);

    /// The primary, or nothing while there is none that may be used.
    std::optional<statement_target> place_at_primary(const database_route& route, bool strict);

    /// Runs work through its target's gateway and counts it as outstanding until answered.
    void run(const statement_target& target, const upstream_work& work, answer_handler answered);
    void end_transaction(const statement_target& target, const transaction_key& key);
    transaction_key new_transaction();

    /// What the host wants to know of its sessions; it must be set before the first session.
    session_observer observer;

    event_loop& loop() { return m_loop; }
    /// Operations a second by workspace, for the other hosts.
    std::map<std::string, double> demands() const;
    /// Drops what was learned before the process was suspended.
    void forget_samples();

private:
    struct group_state {
        freshness_window window;
        time_point wanted{};
        bool sampling = false;
        time_point sampled{};
    };

    void want_samples(const std::string& group);
    void take_sample(const std::string& group);
    void tick();
    void tell_limited(time_point now);
    bool may_use_primary(const upstream_instance& instance) const;

    event_loop& m_loop;
    fleet_directory& m_directory;
    upstream_router& m_router;
    fleet& m_fleet;
    withdrawal_bounds m_bounds;
    std::map<std::string, group_state> m_groups;
    std::map<std::string, demand_share> m_shares;
    /// Operations refused for their workspace's rate since the last line about it.
    std::map<std::string, int> m_limited;
    time_point m_limited_told{};
    std::map<std::string, int> m_outstanding;
    /// Since when instances are leaving or withdrawn.
    std::map<std::string, time_point> m_leaving_since;
    std::uint64_t m_last_transaction;
    timer m_tick;
};

} // namespace bronzeplank
