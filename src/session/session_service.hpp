/// \file
/// State that the sessions of a host share: rate limits, read freshness, placement of statements.
#pragma once

#include "bronzeplank/acknowledged_writes.hpp"
#include "bronzeplank/answer_time.hpp"
#include "bronzeplank/demand_share.hpp"
#include "bronzeplank/ejection.hpp"
#include "bronzeplank/error.hpp"
#include "bronzeplank/freshness_window.hpp"
#include "bronzeplank/load_report.hpp"
#include "bronzeplank/read_placement.hpp"
#include "bronzeplank/replication_progress.hpp"
#include "bronzeplank/retry_budget.hpp"
#include "bronzeplank/unanswered_work.hpp"
#include "bronzeplank/work_times.hpp"
#include "service/metrics.hpp"
#include "session/upstream_router.hpp"

#include <map>
#include <random>
#include <set>
#include <string>

namespace bronzeplank {

/// The instance that runs a statement, and the conditions that the instance must meet.
struct statement_target {
    std::string instance;
    /// The host through which the statement is sent.
    std::string gateway;
    /// The instance's log must include this position.
    std::optional<log_position> min_position;
    /// The instance must pass a leadership check after the statement has arrived.
    bool strict = false;
    /// The route's name.
    std::string database{};
};

/// How many reads were placed since the start, by the role and place of their instance.
struct placement_counts {
    std::uint64_t at_replicas = 0;
    std::uint64_t at_primaries = 0;
    std::uint64_t in_other_domains = 0;
    /// Placements in which at least one instance was left out for the position that it lacked.
    std::uint64_t with_lagging_left_out = 0;
    bool operator==(const placement_counts&) const = default;
};

/// How long the platform allows work to reach an instance that is shutting down, or whose failure
/// domain has been withdrawn.
struct withdrawal_bounds {
    duration leaving_instance = std::chrono::seconds(7);
    duration withdrawn_domain = std::chrono::seconds(5);
    bool operator==(const withdrawal_bounds&) const = default;
};

/// Limits of what sessions hold between their statements.
struct session_limits {
    /// The names and texts of a session's values and prepared statements. With this, a statement of
    /// 1 MiB fits with its parameters and values into a message of 4 MiB to another host.
    std::size_t session_bytes = 3U << 19U;
    /// Whether all sessions together may hold that many more bytes; not limited without it.
    std::function<bool(std::size_t)> has_room;
};

/// Callbacks that the sessions of a host call.
struct session_observer {
    /// A commit is about to be acknowledged to a caller.
    std::function<void(const std::string& group, acknowledged_write)> commit_acknowledged;
    /// A statement that needed an instance was answered; outcome is `done`, or the text of the
    /// upstream's result.
    std::function<void(const std::string& workspace, request_class kind, std::string_view outcome,
                       duration latency)>
        statement_answered;
    /// The first statement of an operation has been sent towards an upstream.
    std::function<void(time_point sent_at)> operation_sent{};
    /// That statement was answered; `began` if an upstream has begun to run the operation, and only
    /// once for each operation.
    std::function<void(const std::string& workspace, time_point sent_at, bool began)>
        operation_answered{};
};

/// Authenticates callers, limits the rates of workspaces, and places statements on instances for
/// all sessions of a host. It must outlive the sessions.
///
/// Guarantee: a read placed by `place_read` misses no commit that was acknowledged longer ago than
/// the route's maximum staleness.
///
/// Usage: `if (const auto target = service.place_read(route, {}, {})) service.run(*target, ...);`
class session_service {
public:
    session_service(event_loop& loop, fleet_directory& directory, upstream_router& router,
                    fleet& peers, withdrawal_bounds bounds);

    /// The route that serves the database. \throws request_error if there is none, or if this host
    /// has not read a configuration yet.
    const database_route& route_of(const std::string& database) const;

    /// The workspace of the credential. \throws request_error if the key is unknown and the route
    /// does not allow anonymous callers.
    std::string authenticate(const database_route& route, const std::string& credential) const;

    /// Charges one operation to the workspace's rate limit; false if the limit is exceeded.
    bool admit(const std::string& workspace);

    /// Chooses an instance for a read that may run on replicas; nothing if none is usable. Without
    /// a recent verified position, this is the primary with a leadership check.
    /// \param written the newest position that the session has written
    /// \param excluded instances that have already rejected this read
    std::optional<statement_target> place_read(const database_route& route,
                                               const std::optional<log_position>& written,
                                               const std::set<std::string>& excluded);

    /// Chooses the primary; nothing while the group has no usable primary.
    std::optional<statement_target> place_at_primary(const database_route& route, bool strict);

    /// Sends work to its target's gateway and counts it as outstanding until it is answered.
    void run(const statement_target& target, const upstream_work& work, answer_handler on_answer);
    void end_transaction(const statement_target& target, const transaction_key& key);
    transaction_key new_transaction();
    work_key new_work() { return {m_router.host(), ++m_last_number}; }
    /// Tells the target's gateway that the work is no longer needed. If it is still queued, it is
    /// answered as not run.
    void drop_work(const statement_target& target, const work_key& key);

    /// The workspace's part of an instance's slots in relation to other workspaces.
    double weight_of(const std::string& workspace) const;
    /// Since when the gateway has been silent that was given work at that time, and for how long
    /// its silence is usual.
    time_point silent_since(const std::string& gateway, time_point sent_at) const {
        return std::max(sent_at, last_heard(gateway));
    }
    duration usual_silence(const std::string& gateway) const;
    /// When a gateway was last heard; replaced in tests.
    std::function<time_point(const std::string& gateway)> last_heard;

    /// Lets no transaction begin any more; the next statement of an open one fails unless it ends
    /// the transaction. Called when the host stops.
    void stop_transactions() { m_stops_transactions = true; }
    bool stops_transactions() const { return m_stops_transactions; }

    /// Sets the region of each failure domain; without it, all are in one.
    void set_regions(std::map<std::string, std::string> regions) { m_regions = std::move(regions); }

    const placement_counts& placed_reads() const { return m_placed; }
    /// The mean age of the load reports that placement uses.
    duration load_report_age() const { return m_loads.mean_age(event_loop::now()); }

    /// The number of instances that get no reads of this host, because they fail or hang.
    std::size_t ejected_count() const;

    /// Whether sessions retry refused reads at other instances, within the retry budget. Set in
    /// large fleets, where demand for an instance comes from many hosts that don't see each other.
    void share_slots_fairly(bool enabled) { m_shares_fairly = enabled; }
    bool shares_slots_fairly() const { return m_shares_fairly; }
    /// Over all statements of this host.
    retry_budget& retries() { return m_retries; }
    void count_hedged_read() { ++m_hedged_count; }
    std::uint64_t hedged_count() const { return m_hedged_count; }

    /// Must be set before the first session is opened.
    session_observer observer;
    session_limits limits;

    event_loop& loop() { return m_loop; }
    /// This host's use of the workspaces' rates, which it reports to the other hosts.
    std::map<std::string, workspace_usage> usage() const;
    /// Drops all verified positions; called after the process was suspended, since they are no
    /// longer valid then.
    void clear_verified_positions();

private:
    struct group_state {
        freshness_window window;
        time_point last_read_at{};
        bool request_pending = false;
        time_point last_requested_at{};
    };

    void record_read(const std::string& group);
    void request_verified_position(const std::string& group);
    void tick();
    void log_rate_limited(time_point now);
    void exchange_usage(time_point now);
    bool may_use_primary(const upstream_instance& instance) const;
    log_position attainable_position(const std::string& group, const log_position& needed);
    std::vector<placement_candidate> read_candidates(const std::string& group,
                                                     const std::set<std::string>& excluded,
                                                     const std::optional<known_primary>& primary);
    std::optional<std::string> place_by_reports(std::vector<placement_candidate> candidates,
                                                const database_route& route,
                                                const log_position& needed, time_point now);
    void add_report(placement_candidate& candidate, const upstream_instance& instance,
                    const log_position& needed, time_point now);
    void apply_ejections(std::vector<placement_candidate>& candidates, const std::string& group,
                         time_point now);
    void count_placement(const std::vector<placement_candidate>& candidates,
                         const std::string& chosen);
    void record_answer(const statement_target& target, const std::string& group,
                       statement_kind kind, bool read_only, const statement_answer& answer);
    std::string_view region_of(const std::string& failure_domain) const;

    event_loop& m_loop;
    fleet_directory& m_directory;
    upstream_router& m_router;
    fleet& m_fleet;
    withdrawal_bounds m_bounds;
    bool m_stops_transactions = false;
    bool m_shares_fairly = false;
    retry_budget m_retries;
    std::uint64_t m_hedged_count = 0;
    /// By gateway.
    std::map<std::string, answer_time> m_answer_times;
    std::map<std::string, group_state> m_groups;
    std::map<std::string, demand_share> m_shares;
    time_point m_usage_exchanged_at{};
    /// Operations refused by the rate limit since the last log line, by workspace.
    std::map<std::string, int> m_rate_limited;
    time_point m_rate_limited_logged_at{};
    std::map<std::string, unanswered_work> m_unanswered;
    load_reports m_loads;
    work_times m_work_times;
    std::map<std::string, replication_progress> m_progress;
    std::map<std::string, ejection> m_ejections;
    std::map<std::string, std::string> m_regions;
    placement_counts m_placed;
    std::mt19937_64 m_random{std::random_device{}()};
    /// Since when instances have been shutting down, or their failure domains withdrawn.
    std::map<std::string, time_point> m_leaving_since;
    /// Of transactions and work.
    std::uint64_t m_last_number;
    timer m_tick;
};

} // namespace bronzeplank
