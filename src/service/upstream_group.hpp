/// \file
/// A host's access to one database group: connections, agreed primary, confirmations, probes.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "bronzeplank/confirmation.hpp"
#include "bronzeplank/fencing_token.hpp"
#include "bronzeplank/promotion.hpp"
#include "bronzeplank/read_routing.hpp"
#include "bronzeplank/settings.hpp"
#include "edge/pg_pool.hpp"
#include "runtime/change_signal.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bronzeplank {

/// The result of an instance's last successful probe.
struct upstream_probe {
    time_point answered_at;
    bool in_recovery = false;
    bool following = false;
    /// The term of the last command that the instance accepted.
    std::uint64_t fencing_term = 0;
    replay_state state;
    bool operator==(const upstream_probe&) const = default;
};

/// A connection to the primary, and the term of which the instance was verified to be the primary.
struct primary_lease {
    connection_lease connection;
    std::uint64_t term = 0;
};

/// Whether a position was confirmed or superseded before the caller's deadline.
enum class confirmation_result { confirmed, superseded, undecided };

/// Manages the connection pools of a database group, applies the agreed record, probes the
/// instances periodically, and confirms writes in batches. Requests wait for a primary whose writes
/// are being confirmed, so that a write that could not be confirmed is refused before it runs.
/// Usage: `auto lease = co_await group->acquire_primary(workspace, deadline);`
class upstream_group : public std::enable_shared_from_this<upstream_group> {
public:
    upstream_group(event_loop& loop, const settings& host, database_group configured,
                   int host_seats);

    /// Opens the pools and starts the probes; call once.
    void start();
    void stop();

    /// Applies the agreed record if its term is higher or it completes the term. When the primary
    /// changes, requests that run at the previous one are interrupted.
    void apply_record(const versioned_record& record);
    /// Updates which instances take new work.
    void apply_configuration(const configuration& current);

    /// Returns a connection to the agreed primary, verified to be the primary of the agreed term.
    /// \param pin whether the caller keeps the connection for a transaction
    /// \throws request_error if there is none before the deadline or the queue is full; each of
    ///         its kinds means that the request was not run
    task<primary_lease> acquire_primary(std::string workspace, time_point deadline,
                                        bool pin = false);

    /// Returns a connection to the instance, or an empty lease if none is free before the deadline.
    task<connection_lease> acquire(std::string upstream, std::string workspace,
                                   time_point deadline);
    /// As acquire(), but ahead of all workspaces' requests.
    task<connection_lease> acquire_control(std::string upstream, time_point deadline);

    /// Waits until a majority has stored the position, or a later term has superseded it.
    task<confirmation_result> confirm(log_position position, time_point deadline);

    std::vector<read_candidate> read_candidates() const;
    /// Returns an upper bound of the staleness of data at the position, based on the primary's
    /// positions that this host has observed; nothing if it has observed none that early.
    std::optional<duration> staleness_of(const log_position& position) const;
    void record_replica_state(const std::string& upstream, const replay_state& state);

    /// Whether the primary has not responded, or has not confirmed writes, for longer than the
    /// timeout.
    bool primary_suspected(time_point now, duration timeout) const;

    const database_group& configured() const { return m_configured; }
    const versioned_record& record() const { return m_record; }
    const std::map<std::string, upstream_probe>& probes() const { return m_probes; }
    bool takes_new_work(const std::string& upstream) const {
        return !m_draining.contains(upstream);
    }
    event_loop& loop() const { return m_loop; }

private:
    task<void> probe(std::string upstream);
    task<void> confirm_waiting();
    bool apply_probe(const std::string& upstream, const pg_outcome& outcome);
    void apply_view(const replication_view& view);
    task<bool> verify_primary(pg_connection& connection, std::uint64_t term, time_point deadline);
    void record_primary_position(const log_position& position);

    struct position_observation {
        time_point observed_at;
        log_position position;
    };

    event_loop& m_loop;
    const settings& m_host;
    database_group m_configured;
    int m_host_seats;
    bool m_stopped = false;
    std::map<std::string, std::shared_ptr<pg_pool>> m_pools;
    std::map<std::string, upstream_probe> m_probes;
    std::set<std::string> m_draining;
    versioned_record m_record;
    time_point m_primary_confirmed_at;
    confirmation_tracker m_tracker;
    std::map<std::uint64_t, oneshot<confirmation_result>> m_pending_confirmations;
    bool m_confirming = false;
    change_signal m_changed;
    std::deque<position_observation> m_primary_positions;
};

/// Returns the statements that query an instance's replay state, with two result sets.
pg_segment replay_state_query();

/// Parses the results of replay_state_query(); `first` is the index of its first result.
replay_state read_replay_state(const std::vector<pg_result>& results, std::size_t first);

} // namespace bronzeplank
