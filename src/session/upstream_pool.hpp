/// \file
/// A gateway's connection pool for one upstream instance, with the queue of statements that wait
/// for a connection.
#pragma once

#include "bronzeplank/connection_share.hpp"
#include "bronzeplank/failure_rate_estimator.hpp"
#include "bronzeplank/fleet_configuration.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"
#include "session/checked_answer.hpp"
#include "session/pooled_connection.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace bronzeplank {

/// Limits and timeouts of a connection pool.
struct pool_limits {
    /// Connections of the pool, including its control connection.
    int max_connections = 4;
    /// Statements that may wait in the queue.
    std::size_t max_queued_statements = 256;
    /// An instance that leaves a status request unanswered for this long is marked unreachable.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// How often an idle or unreachable instance is probed.
    duration probe_interval = std::chrono::milliseconds(500);
    /// A transaction that runs no statement for this long is rolled back.
    duration transaction_idle_timeout = std::chrono::seconds(3);
    /// Whether workspaces share the slots by their weights, and work that can't meet its objective
    /// is refused while other work waits. Set in large fleets.
    bool share_slots_fairly = false;
    bool operator==(const pool_limits&) const = default;
};

/// Runs statements at one instance on a bounded set of connections. Each connection serves one
/// workspace. A transaction keeps its connection from its first statement to its end. A queued
/// statement starts only while no more statements run than the instance has slots; the one that
/// exceeds the slots keeps a slot from staying idle for a round trip.
/// Invariants: a connection runs one statement at a time; a statement of a transaction runs on the
/// connection of the transaction's first statement or not at all.
/// Usage: call run() for each statement and tick() periodically; call close() before destruction.
template <upstream_connection Connection>
class upstream_pool {
public:
    upstream_pool(event_loop& loop, upstream_instance instance, pool_limits limits,
                  leadership_check check_leadership)
        : m_loop(loop), m_instance(std::move(instance)), m_limits(limits),
          m_check_leadership(std::move(check_leadership)), m_queue(limits.max_queued_statements) {
        m_queue.share_fairly(limits.share_slots_fairly);
    }

    /// Calls no more handlers, since their owners may already be destroyed; close() before
    /// destruction calls those that are pending.
    ~upstream_pool() = default;
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Runs the work or rejects it immediately; the handler is called exactly once.
    void run(upstream_work work, answer_handler on_answer) {
        const time_point now = event_loop::now();
        m_last_used_at = now;
        if (work.transaction && !work.opens_transaction) {
            continue_transaction(std::move(work), std::move(on_answer));
            return;
        }
        const work_urgency urgency{work.priority, now + work.objective_left,
                                   now + work.time_left - work.refusal_margin};
        if (!m_reachable) {
            on_answer({upstream_result::unsent, {}, {}, {}});
            return;
        }
        // Stalled writes already hold slots; further writes would also end with an unknown outcome.
        const bool rejects_write = stalled() && !work.read_only_work;
        if (waits_for_connections(now)) {
            on_answer({upstream_result::no_connection, {}, {}, {}});
            return;
        }
        queued_work queued{std::move(work), std::move(on_answer), urgency, now};
        if (rejects_write || !admits(queued, now)) {
            ++m_refused_count;
            queued.on_answer({upstream_result::overloaded, {}, {}, {}});
            return;
        }
        enqueue(std::move(queued));
        dispatch();
    }

    /// Refuses the work if it is queued; its sender no longer needs the answer.
    void drop(const work_key& key) {
        drop_if([&](const queued_work& next) { return next.work.key == key; });
    }

    /// Rolls the transaction back if it is open on this pool, and refuses its first statement if
    /// that is queued.
    void end_transaction(const transaction_key& key) {
        drop_if([&](const queued_work& next) { return next.work.transaction == key; });
        if (const auto found = m_transactions.find(key); found != m_transactions.end()) {
            const auto holder = found->second;
            if (holder->running) {
                close_connection(*holder);
            } else {
                finish_transaction(*holder, true);
            }
            dispatch();
        }
    }

    /// Sends a command on the control connection; the handler gets nothing when the instance
    /// doesn't answer.
    void send_command(replication_command command, std::uint64_t term, status_handler on_status) {
        const time_point sent_at = event_loop::now();
        m_last_used_at = sent_at;
        const bool changes = command != replication_command::report;
        if (changes) {
            m_unanswered_commands.insert(sent_at);
        }
        control_connection().send_command(
            command, term,
            [this, on_status, command, term, sent_at,
             changes](const std::optional<replication_status>& status) {
                if (status) {
                    record_response();
                    m_highest_position = std::max(m_highest_position, status->received);
                }
                if (changes) {
                    m_unanswered_commands.erase(m_unanswered_commands.find(sent_at));
                    log_command(command, term, status, event_loop::now() - sent_at);
                }
                on_status(status);
            });
    }

    /// Starts no new writes for `write_hold_limit`, and requests the instance's status for
    /// `on_status` once no write is running and no transaction is open, or once the drain has timed
    /// out.
    void hold_writes(status_handler on_status) {
        m_writes_held_until = event_loop::now() + write_hold_limit;
        m_on_writes_held = std::move(on_status);
        report_if_drained();
    }

    /// Rejects the queued writes with `not_primary` and ends a write hold; for an instance that is
    /// no longer the primary.
    void refuse_queued_writes() {
        m_writes_held_until = time_point{};
        std::vector<queued_work> refused;
        const auto is_write = [](const queued_work& next) { return !next.work.read_only_work; };
        while (auto next = m_queue.pop(event_loop::now(), is_write)) {
            refused.push_back(std::move(*next));
        }
        for (auto& next : refused) {
            next.on_answer({upstream_result::not_primary, {}, {}, {}});
        }
    }

    /// Whether a write has recently run for longer than `write_stall_threshold`.
    bool stalled() const { return event_loop::now() < m_writes_stalled_until; }

    /// Probes the instance, enforces timeouts and rolls back idle transactions; called about forty
    /// times a second while the pool is open.
    /// \param watch whether to probe the instance even if no work runs on it
    void tick(time_point now, bool watch) {
        expire_overdue(now);
        probe_if_due(now, watch);
        give_up_commands(now);
        report_if_drained();
        detect_stalled_writes(now);
        detect_hanging_statements(now);
        std::erase_if(m_connections, [](const auto& connection) { return connection->closed; });
        if (m_control_connection && m_control_closed) {
            m_control_connection.reset();
        }
        dispatch();
    }

    /// The share of recent statements that failed or hang.
    double failure_rate() const { return m_failures.at(event_loop::now()); }

    const upstream_instance& instance() const { return m_instance; }
    /// Applies changes of the instance's entry, such as its state or its number of slots, and of
    /// the limits, as when another host becomes the gateway.
    void update(const upstream_instance& instance, const pool_limits& limits) {
        m_instance = instance;
        m_limits = limits;
        m_queue.share_fairly(limits.share_slots_fairly);
    }
    bool reachable() const { return m_reachable; }
    bool busy() const {
        return m_running_count > 0 || m_queue.size() > 0 || !m_transactions.empty();
    }
    time_point last_used_at() const { return m_last_used_at; }
    std::size_t connection_count() const { return m_connections.size(); }
    std::uint64_t opened_connection_count() const { return m_opened_connection_count; }
    std::size_t queued_count() const { return m_queue.size(); }
    /// Statements refused on arrival, because they could not be served in time.
    std::uint64_t refused_count() const { return m_refused_count; }
    /// Statements refused after they had been queued.
    std::uint64_t evicted_count() const { return m_evicted_count; }

    /// The expected time that work without priority waits for a slot.
    duration expected_wait() const {
        const auto excess_work =
            static_cast<int>(m_queue.size()) + std::max(0, m_running_count - m_instance.slots);
        return m_mean_work_time * excess_work / std::max(1, m_instance.slots);
    }

    /// The load that the gateway's answers carry.
    load_report load() const {
        const time_point now = event_loop::now();
        return {static_cast<int>(m_queue.size()), m_running_count, m_mean_work_time, m_log_position,
                m_log_position ? now - m_log_position_at : duration(0)};
    }

    /// Closes all connections; running work gets `unanswered`, queued work `unsent`.
    void close() {
        for (auto& connection : m_connections) {
            close_connection(*connection);
        }
        if (m_control_connection) {
            m_control_connection->close();
        }
        refuse_queued(upstream_result::unsent);
    }

    /// Closes idle connections, as when another host has become the gateway.
    void close_idle_connections() {
        for (auto& connection : m_connections) {
            if (connection->idle()) {
                close_connection(*connection);
            }
        }
    }

private:
    using connection_type = pooled_connection<Connection>;

    // A planned switch to another primary takes less than this; writes resume afterwards.
    static constexpr std::chrono::milliseconds write_hold_limit{1500};
    // A write that is still running after this is not expected to end soon.
    static constexpr std::chrono::milliseconds write_drain_timeout{250};
    // Several times as long as a commit takes on a fully loaded instance.
    static constexpr std::chrono::milliseconds write_stall_threshold{600};

    // Several times as long as a commit takes while a replica receives it.
    static constexpr std::chrono::milliseconds delayed_write_threshold{250};
    // About twice the time that it takes to open a connection.
    static constexpr std::chrono::milliseconds connection_reuse_wait{30};
    // No statement takes this long on a healthy instance.
    static constexpr std::chrono::milliseconds min_hang_threshold{150};
    static constexpr int hang_threshold_factor = 10;
    // After an instance at its connection limit has refused a connection, the pool opens no new one
    // for this long.
    static constexpr std::chrono::milliseconds connection_refused_backoff{100};
    // Longer than a statement's timeout. After this, a write is admitted again and must detect a
    // remaining stall anew.
    static constexpr std::chrono::milliseconds write_stall_backoff{1500};

    work_share share_of(const queued_work& queued) const {
        return {queued.work.workspace, queued.work.weight > 0 ? queued.work.weight : 1,
                m_slot_times.expected(queued.measured_class())};
    }

    bool admits(const queued_work& queued, time_point now) {
        if (!m_limits.share_slots_fairly) {
            return m_queue.admits(queued.urgency, now, m_mean_work_time, m_instance.slots);
        }
        refuse_late(now);
        const work_share share = share_of(queued);
        const slot_use use{m_instance.slots, m_running_count, m_slot_times.overall()};
        if (!m_queue.admits_fairly(queued.urgency, share, now, use)) {
            return false;
        }
        if (!m_queue.full()) {
            return true;
        }
        auto evicted = m_queue.make_room(share);
        if (evicted) {
            refuse_evicted(*evicted);
        }
        return evicted.has_value();
    }

    void enqueue(queued_work queued) {
        const work_urgency urgency = queued.urgency;
        const work_share share = share_of(queued);
        m_queue.push(std::move(queued), urgency, share);
    }

    void refuse_evicted(const queued_work& evicted) {
        ++m_evicted_count;
        evicted.on_answer({upstream_result::overloaded, {}, {}, {}});
    }

    // Work that can't meet its objective any more holds no slot that other work needs. Writes that
    // wait for the end of a hold don't compete for slots.
    void refuse_late(time_point now) {
        if (!m_limits.share_slots_fairly) {
            return;
        }
        const bool writes_held = now < m_writes_held_until;
        const auto late = m_queue.take_late(now, [writes_held](const queued_work& next) {
            return next.work.read_only_work || !writes_held;
        });
        for (const auto& evicted : late) {
            refuse_evicted(evicted);
        }
    }

    template <class Wanted>
    void drop_if(Wanted wanted) {
        if (const auto dropped = m_queue.take_if(wanted)) {
            dropped->on_answer({upstream_result::unsent, {}, {}, {}});
        }
        for (const auto& connection : m_connections) {
            if (connection->opened_for && wanted(*connection->opened_for)) {
                const auto dropped = std::exchange(connection->opened_for, std::nullopt);
                dropped->on_answer({upstream_result::unsent, {}, {}, {}});
                return;
            }
        }
    }

    void report_if_drained() {
        if (!m_on_writes_held) {
            return;
        }
        const time_point now = event_loop::now();
        const bool writing =
            std::any_of(m_connections.begin(), m_connections.end(), [](const auto& connection) {
                return !connection->closed &&
                       (connection->transaction || (connection->running && connection->writing));
            });
        const bool drain_timed_out =
            now >= m_writes_held_until - write_hold_limit + write_drain_timeout;
        if (!writing || drain_timed_out) {
            send_command(replication_command::report, 0, std::exchange(m_on_writes_held, nullptr));
        }
    }

    void detect_stalled_writes(time_point now) {
        const bool any_stalled =
            std::any_of(m_connections.begin(), m_connections.end(), [&](const auto& connection) {
                return connection->running && connection->writing &&
                       now - connection->started_at >= write_stall_threshold;
            });
        if (any_stalled) {
            m_writes_stalled_until = now + write_stall_backoff;
        }
    }

    void record_response() {
        m_last_response_at = event_loop::now();
        m_probe_sent_at.reset();
        set_reachable(true);
    }

    void set_reachable(bool reachable) {
        if (m_reachable == reachable) {
            return;
        }
        m_reachable = reachable;
        log(reachable ? log_event::upstream_reachable : log_event::upstream_unreachable,
            {{"instance", m_instance.id},
             {"group", m_instance.group},
             {"address", m_instance.address.to_text()}});
        if (!reachable) {
            refuse_queued(upstream_result::unsent);
        }
    }

    void refuse_queued(upstream_result result) {
        while (auto next =
                   m_queue.pop(event_loop::now(), [](const queued_work&) { return true; })) {
            next->on_answer({result, {}, {}, {}});
        }
    }

    // A statement of an open transaction is not queued, because the transaction holds a connection
    // that others wait for.
    void continue_transaction(upstream_work work, answer_handler on_answer) {
        const auto found = m_transactions.find(*work.transaction);
        if (found == m_transactions.end() || found->second->running) {
            on_answer({upstream_result::unsent, {}, {}, {}});
            return;
        }
        queued_work queued{std::move(work), std::move(on_answer), {}};
        m_queue.charge(share_of(queued));
        start_statement(found->second, std::move(queued));
    }

    void dispatch() {
        if (m_dispatching) {
            return;
        }
        m_dispatching = true;
        refuse_late(event_loop::now());
        while (m_queue.size() > 0 && m_running_count <= m_instance.slots) {
            const bool writes_held = event_loop::now() < m_writes_held_until;
            const bool can_open = can_open_connection();
            const std::set<std::string_view> idle_workspaces = workspaces_with_idle_connections();
            const auto can_run = [&](const queued_work& next) {
                if (writes_held && !next.work.read_only_work) {
                    return false;
                }
                return can_open || idle_workspaces.contains(next.work.workspace);
            };
            // Opening a connection costs the instance as much as a statement does. Work that needs
            // a new connection therefore runs after work that can reuse one, until it has waited
            // for `connection_reuse_wait`.
            const time_point reuse_wait_cutoff = event_loop::now() - connection_reuse_wait;
            const auto preferred = [&](const queued_work& next) {
                return can_run(next) && (next.queued_at <= reuse_wait_cutoff ||
                                         idle_workspaces.contains(next.work.workspace));
            };
            auto next = m_queue.pop(event_loop::now(), preferred);
            if (!next) {
                next = m_queue.pop(event_loop::now(), can_run);
            }
            if (!next) {
                break;
            }
            if (const auto idle = idle_connection(next->work.workspace)) {
                start_statement(idle, std::move(*next));
            } else {
                open(std::move(*next));
            }
        }
        m_dispatching = false;
    }

    std::set<std::string_view> workspaces_with_idle_connections() const {
        std::set<std::string_view> found;
        for (const auto& connection : m_connections) {
            if (connection->idle()) {
                found.insert(connection->workspace);
            }
        }
        return found;
    }

    std::shared_ptr<connection_type> idle_connection(const std::string& workspace) {
        for (const auto& connection : m_connections) {
            if (connection->workspace == workspace && connection->idle()) {
                return connection;
            }
        }
        return nullptr;
    }

    // The idle connection to close in favor of another workspace: the least recently used one of
    // the workspace that has the most connections.
    std::shared_ptr<connection_type> eviction_candidate() {
        std::map<std::string_view, int> connection_counts;
        for (const auto& connection : m_connections) {
            connection_counts[connection->workspace] += connection->closed ? 0 : 1;
        }
        std::shared_ptr<connection_type> chosen;
        for (const auto& connection : m_connections) {
            const auto eviction_rank = [&](const connection_type& other) {
                return std::pair(-connection_counts[other.workspace], other.last_used);
            };
            if (connection->idle() &&
                (!chosen || eviction_rank(*connection) < eviction_rank(*chosen))) {
                chosen = connection;
            }
        }
        return chosen;
    }

    int open_connection_count() const {
        return static_cast<int>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto& connection) { return !connection->closed; }));
    }

    // One connection is reserved for commands and status requests.
    bool can_add_connection() const {
        return open_connection_count() + 1 < m_limits.max_connections &&
               event_loop::now() >= m_no_new_connections_until;
    }

    bool can_open_connection() { return can_add_connection() || eviction_candidate() != nullptr; }

    void open(queued_work queued) {
        if (!can_add_connection()) {
            close_connection(*eviction_candidate());
        }
        const time_point now = event_loop::now();
        auto added = std::make_shared<connection_type>();
        added->workspace = queued.work.workspace;
        added->last_used = now;
        added->started_at = now;
        added->deadline = queued.urgency.expires_at;
        added->opened_for = std::move(queued);
        added->running = true;
        ++m_running_count;
        ++m_opened_connection_count;
        m_connections.push_back(added);
        const std::weak_ptr<connection_type> weak = added;
        added->upstream = std::make_unique<Connection>(
            m_loop, m_instance, added->workspace,
            [this, weak](upstream_result result) { on_open(weak.lock(), result); },
            [this, weak] { on_closed(weak.lock()); });
    }

    void on_open(const std::shared_ptr<connection_type>& connection, upstream_result result) {
        if (!connection || connection->closed || connection->opened) {
            return;
        }
        mark_not_running(*connection);
        auto queued = std::exchange(connection->opened_for, std::nullopt);
        if (result != upstream_result::done) {
            connection->closed = true;
            log_refused_connection(*connection, result);
            if (queued) {
                refuse_or_requeue(std::move(*queued), result);
            }
            dispatch();
            return;
        }
        record_response();
        m_connection_backoff.reset();
        connection->opened = true;
        // The calling host may already have given up work that expired.
        if (queued && queued->urgency.expires_at <= event_loop::now()) {
            std::exchange(queued, std::nullopt)->on_answer({upstream_result::unsent, {}, {}, {}});
        }
        if (queued) {
            start_statement(connection, std::move(*queued));
        } else {
            dispatch();
        }
    }

    duration pause_after_refusal() {
        if (m_limits.share_slots_fairly) {
            return m_connection_backoff.next_pause(std::uniform_real_distribution()(m_random));
        }
        // Without another connection, the work is refused and the next one may try again.
        return open_connection_count() == 0 ? duration(0) : connection_refused_backoff;
    }

    // Whether no statement can run until the instance accepts connections again.
    bool waits_for_connections(time_point now) const {
        return m_limits.share_slots_fairly && now < m_no_new_connections_until &&
               open_connection_count() == 0;
    }

    // If other hosts hold the instance's remaining connections, the work waits for one that this
    // pool already has.
    void refuse_or_requeue(queued_work queued, upstream_result result) {
        if (result == upstream_result::no_connection) {
            m_no_new_connections_until = event_loop::now() + pause_after_refusal();
        }
        if (result != upstream_result::no_connection || open_connection_count() == 0) {
            queued.on_answer({result, {}, {}, {}});
            return;
        }
        enqueue(std::move(queued));
    }

    void log_refused_connection(const connection_type& connection, upstream_result result) {
        log(log_event::connection_refused, {{"instance", m_instance.id},
                                            {"workspace", connection.workspace},
                                            {"result", std::string(to_string(result))}});
    }

    void log_command(replication_command command, std::uint64_t term,
                     const std::optional<replication_status>& status, duration took) const {
        log(log_event::replication_commanded, {{"instance", m_instance.id},
                                               {"group", m_instance.group},
                                               {"command", std::string(to_string(command))},
                                               {"term", std::to_string(term)},
                                               {"answer", status ? to_text(*status) : ""},
                                               {"took_ms", std::to_string(to_milliseconds(took))}});
    }

    void log_if_delayed(const statement_answer& answer, duration took) const {
        if (took < delayed_write_threshold) {
            return;
        }
        log(log_event::write_delayed, {{"instance", m_instance.id},
                                       {"group", m_instance.group},
                                       {"position", to_text(answer.position)},
                                       {"took_ms", std::to_string(to_milliseconds(took))}});
    }

    void on_closed(const std::shared_ptr<connection_type>& connection) {
        if (!connection || connection->closed) {
            return;
        }
        close_connection(*connection);
        // A connection that closes unexpectedly is the first sign of a crashed instance.
        send_probe();
        dispatch();
    }

    // Closes the connection. A statement that was running gets `unanswered`; work that the
    // connection was being opened for gets `unsent`.
    void close_connection(connection_type& connection) {
        if (connection.closed) {
            return;
        }
        connection.closed = true;
        if (connection.transaction) {
            m_transactions.erase(*connection.transaction);
            connection.transaction.reset();
        }
        if (connection.running) {
            mark_not_running(connection);
        }
        if (connection.upstream) {
            connection.upstream->close();
        }
        if (auto pending = std::exchange(connection.opened_for, std::nullopt)) {
            pending->on_answer({upstream_result::unsent, {}, {}, {}});
        }
        if (auto on_answer = std::exchange(connection.on_answer, nullptr)) {
            on_answer({upstream_result::unanswered, {}, {}, {}});
        }
    }

    void record_position(const log_position& position) {
        m_highest_position = std::max(m_highest_position, position);
        if (position != log_position{}) {
            m_log_position = position;
            m_log_position_at = event_loop::now();
        }
    }

    void mark_not_running(connection_type& connection) {
        connection.running = false;
        --m_running_count;
    }

    // The calling host waits no longer than `time_left` after the work has arrived.
    time_point deadline_of(const queued_work& queued, time_point now) const {
        const bool was_queued = queued.queued_at != time_point{};
        return (m_limits.share_slots_fairly && was_queued ? queued.queued_at : now) +
               queued.work.time_left;
    }

    void start_statement(const std::shared_ptr<connection_type>& connection, queued_work queued) {
        const time_point now = event_loop::now();
        connection->running = true;
        connection->counted_as_hanging = false;
        ++m_running_count;
        connection->started_at = now;
        connection->last_used = now;
        connection->deadline = deadline_of(queued, now);
        connection->measured_class = queued.measured_class();
        connection->writing =
            !queued.work.read_only_work && queued.work.request.kind != statement_kind::read;
        connection->on_answer =
            queued.work.strict ? with_leadership_check(m_check_leadership, queued.work.group,
                                                       m_instance.id, std::move(queued.on_answer))
                               : std::move(queued.on_answer);
        connection->apply_values(queued.work.values);
        if (!queued.work.opens_transaction) {
            send_statement(connection, queued.work,
                           queued.work.transaction ? std::nullopt : queued.work.min_position);
            return;
        }
        connection->transaction = queued.work.transaction;
        m_transactions[*connection->transaction] = connection;
        // The statement is sent only after BEGIN has succeeded; after a refused BEGIN it would run
        // outside a transaction.
        connection->upstream->begin(
            queued.work.read_only_transaction, queued.work.min_position,
            [this, connection, work = queued.work](const statement_answer& begun) {
                if (connection->closed) {
                    return;
                }
                record_position(begun.position);
                if (begun.result != upstream_result::done) {
                    finish_statement(connection, begun, true);
                    return;
                }
                send_statement(connection, work, std::nullopt);
            });
    }

    void send_statement(const std::shared_ptr<connection_type>& connection,
                        const upstream_work& work,
                        const std::optional<log_position>& min_position) {
        const std::string prepared = work.request.kind == statement_kind::execute
                                         ? connection->prepare(work.request.shape)
                                         : "";
        const bool ends_transaction = work.request.kind == statement_kind::commit;
        // A term's log only grows, and a later term's positions are higher: a commit that is sent
        // now is above all positions that the instance has reported.
        const log_position lowest_commit =
            commits_changes(work) ? lowest_after(m_highest_position) : log_position{};
        connection->upstream->run(
            work.request, prepared, min_position,
            [this, connection, ends_transaction, lowest_commit](const statement_answer& answer) {
                if (!connection->closed) {
                    statement_answer finished = answer;
                    finished.lowest_commit = lowest_commit;
                    finish_statement(connection, finished, ends_transaction);
                }
            });
    }

    void finish_statement(const std::shared_ptr<connection_type>& connection,
                          const statement_answer& answer, bool ends_transaction) {
        const time_point now = event_loop::now();
        mark_not_running(*connection);
        connection->last_used = now;
        record_position(answer.position);
        if (answer.result == upstream_result::unknown_name) {
            connection->prepared.clear();
        }
        const bool done = answer.result == upstream_result::done;
        if (!connection->counted_as_hanging) {
            m_failures.record(!is_failure(answer.result), now);
        }
        if (done && connection->writing) {
            m_writes_stalled_until = time_point{};
            log_if_delayed(answer, now - connection->started_at);
        }
        if (done || answer.result == upstream_result::failed) {
            record_response();
            update_mean_work_time(now - connection->started_at);
            m_slot_times.record(connection->measured_class, now - connection->started_at);
        }
        if (connection->transaction && (ends_transaction || !done)) {
            finish_transaction(*connection, !done);
        }
        if (auto on_answer = std::exchange(connection->on_answer, nullptr)) {
            statement_answer timed = answer;
            timed.run_time = now - connection->started_at;
            on_answer(timed);
        }
        dispatch();
    }

    void finish_transaction(connection_type& connection, bool roll_back) {
        m_transactions.erase(*connection.transaction);
        connection.transaction.reset();
        connection.last_used = event_loop::now();
        if (roll_back && !connection.closed) {
            connection.upstream->rollback();
        }
    }

    // An instance may refuse a statement; only a failure, a timeout or a lost connection counts as
    // a failure.
    static bool is_failure(upstream_result result) {
        return result == upstream_result::failed || result == upstream_result::timed_out ||
               result == upstream_result::unanswered;
    }

    // Counts a hanging statement as failed before its timeout, while other statements can still be
    // sent to another instance.
    void detect_hanging_statements(time_point now) {
        const duration hang_threshold =
            std::max<duration>(min_hang_threshold, m_mean_work_time * hang_threshold_factor);
        for (const auto& connection : m_connections) {
            if (connection->running && !connection->closed && !connection->counted_as_hanging &&
                now - connection->started_at > hang_threshold) {
                connection->counted_as_hanging = true;
                m_failures.record(false, now);
            }
        }
    }

    void update_mean_work_time(duration taken) {
        // Exponential moving average with weight 1/8: about twenty answers replace the estimate.
        m_mean_work_time += (taken - m_mean_work_time) / 8;
    }

    void expire_overdue(time_point now) {
        for (auto& late : m_queue.take_expired(now)) {
            ++m_evicted_count;
            late.on_answer({upstream_result::overloaded, {}, {}, {}});
        }
        const auto connections = m_connections;
        for (const auto& connection : connections) {
            if (connection->closed) {
                continue;
            }
            const bool timed_out = connection->running && connection->deadline <= now;
            const bool transaction_idle =
                connection->transaction && !connection->running &&
                connection->last_used + m_limits.transaction_idle_timeout <= now;
            if (timed_out) {
                close_connection(*connection);
                send_probe();
            } else if (transaction_idle) {
                finish_transaction(*connection, true);
            }
        }
    }

    void probe_if_due(time_point now, bool watch) {
        if (m_probe_sent_at && now - *m_probe_sent_at >= m_limits.probe_timeout) {
            m_probe_sent_at.reset();
            set_reachable(false);
            if (m_control_connection) {
                m_control_connection->close();
            }
            m_last_probe_at = now;
            return;
        }
        const bool no_recent_response = now - m_last_response_at >= m_limits.probe_interval;
        const bool statement_overdue =
            std::any_of(m_connections.begin(), m_connections.end(), [&](const auto& connection) {
                return connection->running &&
                       now - connection->started_at >= m_limits.probe_timeout;
            });
        const bool probe_due = now - m_last_probe_at >= m_limits.probe_interval;
        if (!m_probe_sent_at && probe_due && no_recent_response &&
            (watch || statement_overdue || !m_reachable)) {
            send_probe();
        }
    }

    void send_probe() {
        if (m_probe_sent_at) {
            return;
        }
        m_probe_sent_at = event_loop::now();
        m_last_probe_at = *m_probe_sent_at;
        send_command(replication_command::report, 0,
                     [this](const std::optional<replication_status>& status) {
                         // The connection was refused: nothing listens at the address, so there is
                         // no need to wait for the probe timeout.
                         if (!status && m_probe_sent_at) {
                             m_probe_sent_at.reset();
                             set_reachable(false);
                         }
                     });
    }

    // A command without an answer could otherwise be delivered after those of a later claim.
    void give_up_commands(time_point now) {
        if (m_unanswered_commands.empty() || !m_control_connection ||
            now - *m_unanswered_commands.begin() < command_answer_limit) {
            return;
        }
        // A probe that waits behind the command is repeated on the next connection.
        const auto probe_sent_at = std::exchange(m_probe_sent_at, std::nullopt);
        m_control_connection->close();
        if (probe_sent_at) {
            send_probe();
            m_probe_sent_at = probe_sent_at;
        }
    }

    Connection& control_connection() {
        if (m_control_connection && !m_control_closed) {
            return *m_control_connection;
        }
        m_control_closed = false;
        // An instance that refuses connections because it has too many is alive.
        const auto opened = [this](upstream_result result) {
            if (result == upstream_result::no_connection) {
                record_response();
            }
        };
        m_control_connection =
            std::make_unique<Connection>(m_loop, m_instance, std::string(control_workspace), opened,
                                         [this] { m_control_closed = true; });
        return *m_control_connection;
    }

    event_loop& m_loop;
    upstream_instance m_instance;
    pool_limits m_limits;
    leadership_check m_check_leadership;
    work_queue<queued_work> m_queue;
    std::list<std::shared_ptr<connection_type>> m_connections;
    std::map<transaction_key, std::shared_ptr<connection_type>> m_transactions;
    std::unique_ptr<Connection> m_control_connection;
    bool m_control_closed = false;
    /// When the commands were sent that change something and wait for an answer.
    std::multiset<time_point> m_unanswered_commands;
    bool m_reachable = true;
    bool m_dispatching = false;
    int m_running_count = 0;
    std::uint64_t m_opened_connection_count = 0;
    std::uint64_t m_refused_count = 0;
    std::uint64_t m_evicted_count = 0;
    duration m_mean_work_time = std::chrono::milliseconds(15);
    slot_times m_slot_times;
    failure_rate_estimator m_failures;
    time_point m_last_response_at{};
    time_point m_last_used_at{};
    time_point m_last_probe_at{};
    std::optional<time_point> m_probe_sent_at;
    time_point m_no_new_connections_until{};
    connection_backoff m_connection_backoff;
    std::minstd_rand m_random{std::random_device{}()};
    time_point m_writes_held_until{};
    time_point m_writes_stalled_until{};
    status_handler m_on_writes_held;
    /// The end of the instance's log as of its newest answer to a statement.
    std::optional<log_position> m_log_position;
    time_point m_log_position_at{};
    /// The highest position that the instance has reported of its log.
    log_position m_highest_position;
};

} // namespace bronzeplank
