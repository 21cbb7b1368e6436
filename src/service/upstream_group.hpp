/// \file
/// One database group as a host uses it: connections, agreed primary, confirmation, probes.
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

/// What the last probe of an instance showed.
struct upstream_probe {
    time_point answered;
    bool in_recovery = false;
    bool following = false;
    /// The term of the last order that the instance took.
    std::uint64_t order_term = 0;
    replay_state state;
    bool operator==(const upstream_probe&) const = default;
};

/// A connection to the primary, and the term under which it was checked to be the primary.
struct primary_lease {
    connection_lease connection;
    std::uint64_t term = 0;
};

/// What became of a position before the caller's deadline.
enum class confirmation_result { confirmed, superseded, undecided };

/// A database group on this host. It keeps the pools, follows the agreed record, probes the
/// instances, and confirms writes in batches. Requests wait here for a primary that confirms, so
/// that a write is refused before it runs when no confirmation is coming.
class upstream_group : public std::enable_shared_from_this<upstream_group> {
public:
    upstream_group(event_loop& loop, const settings& host, database_group configured,
                   int host_seats);

    /// Opens the pools and starts the probes; call once.
    void start();
    void stop();

    /// Takes over the agreed record, if its term is higher or it completes the term.
    void apply_record(const versioned_record& record);
    /// Which instances take new work.
    void apply_configuration(const configuration& current);

    /// A connection to the agreed primary, checked to be the primary under the agreed term.
    /// \throws request_error (all of them "not run") when there is none before the deadline.
    task<primary_lease> acquire_primary(std::string workspace, time_point deadline,
                                        bool pin = false);

    /// A connection to the named instance; empty when there is none before the deadline.
    task<connection_lease> acquire(std::string upstream, std::string workspace,
                                   time_point deadline);
    task<connection_lease> acquire_control(std::string upstream, time_point deadline);

    /// Waits until a majority holds the position, or a later term dropped it.
    task<confirmation_result> confirm(log_position position, time_point deadline);

    std::vector<read_candidate> read_candidates() const;
    /// The age that data at the position had at most, by what this host saw of the primary.
    std::optional<duration> staleness_of(const log_position& position) const;
    void note_replica(const std::string& upstream, const replay_state& state);

    /// Whether the primary has not answered or not confirmed for too long.
    bool primary_suspected(time_point now, duration limit) const;

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
    void note_primary_position(const log_position& position);

    struct position_sample {
        time_point seen;
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
    time_point m_primary_confirmed;
    confirmation_tracker m_tracker;
    std::map<std::uint64_t, oneshot<confirmation_result>> m_waiting;
    bool m_confirming = false;
    change_signal m_changed;
    std::deque<position_sample> m_primary_positions;
};

/// The statement that yields an instance's replay state in two result sets.
pg_segment replay_state_query();

/// Reads the results of replay_state_query(); `first` is the index of its first statement.
replay_state read_replay_state(const std::vector<pg_result>& results, std::size_t first);

} // namespace bronzeplank
