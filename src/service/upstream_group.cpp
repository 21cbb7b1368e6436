#include "service/upstream_group.hpp"

#include "runtime/log.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds probe_interval{200};
constexpr std::chrono::milliseconds probe_timeout{600};
constexpr std::chrono::microseconds confirmation_interval{500};
constexpr std::chrono::milliseconds confirmation_timeout{800};
constexpr std::chrono::seconds probe_lifetime{1};
constexpr std::chrono::minutes position_retention{2};
constexpr std::size_t queue_capacity = 4096;
// The latest terms that a probe queries: enough for session tokens of the last promotions.
constexpr int max_probed_terms = 16;

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

replica_progress read_progress(const std::vector<pg_field>& row) {
    const std::string name = row[0].value_or("");
    replica_progress progress;
    progress.upstream = name.substr(0, name.find(':'));
    progress.fencing_term = parse_fencing_token(name).term;
    progress.flushed = parse_offset(row[1].value_or("")).value_or(0);
    return progress;
}

const char* const replicas_query = "SELECT application_name, flush_lsn FROM pg_stat_replication";
const char* const fencing_token_query = "SELECT current_setting('primary_conninfo')";

pg_segment replication_view_query() {
    pg_segment segment = replay_state_query();
    segment.push_back({fencing_token_query, {}});
    segment.push_back({replicas_query, {}});
    return segment;
}

replication_view read_view(const std::vector<pg_result>& results) {
    const replay_state state = read_replay_state(results, 0);
    replication_view view;
    view.term = state.last_term();
    view.offset = state.offset;
    view.terms = state.terms;
    view.fencing_term = parse_fencing_token(results[2].field(0, 0)).term;
    for (const auto& row : results[3].rows) {
        view.replicas.push_back(read_progress(row));
    }
    return view;
}

} // namespace

pg_segment replay_state_query() {
    return {{"SELECT CASE WHEN pg_is_in_recovery() = 't' THEN pg_last_wal_replay_lsn() ELSE "
             "pg_current_wal_lsn() END, pg_is_in_recovery()",
             {}},
            {fmt::format("SELECT term, start_lsn FROM bronzeplank_term ORDER BY term DESC LIMIT {}",
                         max_probed_terms),
             {}}};
}

replay_state read_replay_state(const std::vector<pg_result>& results, std::size_t first) {
    replay_state state;
    state.offset = parse_offset(results[first].field(0, 0)).value_or(0);
    for (const auto& row : results[first + 1].rows) {
        state.terms.push_back(
            {parse_number(row[0].value_or("")), parse_offset(row[1].value_or("")).value_or(0)});
    }
    return state;
}

upstream_group::upstream_group(event_loop& loop, const settings& host, database_group configured,
                               int host_seats)
    : m_loop(loop), m_host(host), m_configured(std::move(configured)), m_host_seats(host_seats),
      m_primary_confirmed_at(event_loop::now()), m_tracker(m_configured.upstreams.size()),
      m_changed(loop) {}

void upstream_group::start() {
    for (const auto& item : m_configured.upstreams) {
        const pg_target target{
            item.address, item.port, m_configured.database, m_configured.user,
            fmt::format("bronzeplank/{}/{}", m_host.host, m_host.failure_domain)};
        const int size = std::max(1, item.connections / m_host_seats);
        const auto pool =
            std::make_shared<pg_pool>(m_loop, item.name, target, size, queue_capacity);
        m_pools[item.name] = pool;
        pool->start();
        spawn(probe(item.name));
    }
}

void upstream_group::stop() {
    m_stopped = true;
    for (const auto& [name, pool] : m_pools) {
        pool->stop();
    }
    m_changed.notify();
}

void upstream_group::apply_record(const versioned_record& record) {
    const group_record& current = m_record.record;
    const group_record& offered = record.record;
    const bool newer = offered.ready_term > current.ready_term || offered.term > current.term;
    if (!newer || offered.ready_term < current.ready_term) {
        m_record.version = std::max(m_record.version, record.version);
        return;
    }
    const bool primary_changed = offered.ready_term > current.ready_term;
    const std::string old_primary = current.primary;
    m_record = record;
    if (!primary_changed) {
        return;
    }
    m_primary_confirmed_at = event_loop::now();
    log(log_event::primary_in_force, {{"group", m_configured.name},
                                      {"primary", offered.primary},
                                      {"term", std::to_string(offered.ready_term)}});
    const auto pool = m_pools.find(old_primary);
    if (pool != m_pools.end() && old_primary != offered.primary) {
        // Requests that run there can't be confirmed any more. Interrupting them sends their
        // callers to the new primary.
        pool->second->interrupt_all("the group has a new primary");
    }
    m_changed.notify();
}

void upstream_group::apply_configuration(const configuration& current) {
    m_draining.clear();
    for (const auto& item : m_configured.upstreams) {
        const database_group* group = current.find_group(m_configured.name);
        const upstream* found = group == nullptr ? nullptr : group->find_upstream(item.name);
        if (found == nullptr || !current.takes_new_work(*found)) {
            m_draining.insert(item.name);
        }
    }
}

task<primary_lease> upstream_group::acquire_primary(std::string workspace, time_point deadline,
                                                    bool pin) {
    const auto self = shared_from_this();
    bool suspected = false;
    while (event_loop::now() < deadline && !m_stopped) {
        const std::uint64_t term = m_record.record.ready_term;
        const auto pool = m_pools.find(m_record.record.primary);
        suspected = primary_suspected(event_loop::now(), confirmation_timeout);
        if (pool == m_pools.end() || suspected) {
            co_await m_changed.wait(deadline);
            continue;
        }
        const auto primary_pool = pool->second;
        connection_lease lease = co_await primary_pool->acquire(workspace, deadline, pin);
        if (!lease) {
            // The request was evicted from a full queue, interrupted or timed out. Only an
            // eviction is reported as an overload; the others go through the loop once more.
            if (m_record.record.ready_term == term && primary_pool->reachable() &&
                event_loop::now() < deadline) {
                throw request_error(error_kind::overloaded, "too many requests are waiting");
            }
            continue;
        }
        if (lease->verified_term() != term) {
            const bool verified = co_await verify_primary(*lease, term, deadline);
            if (!verified) {
                lease.release();
                co_await sleep_for(m_loop, std::chrono::milliseconds(5));
                continue;
            }
        }
        if (m_record.record.ready_term == term) {
            co_return primary_lease{std::move(lease), term};
        }
    }
    if (suspected) {
        throw request_error(error_kind::not_confirming,
                            "the primary confirms no writes at present");
    }
    if (m_record.record.primary.empty()) {
        throw request_error(error_kind::no_primary, "the group has no primary at present");
    }
    throw request_error(error_kind::deadline_exceeded,
                        "no connection was free before the deadline");
}

task<bool> upstream_group::verify_primary(pg_connection& connection, std::uint64_t term,
                                          time_point deadline) {
    const pg_outcome outcome =
        co_await connection.run(batch_of(replication_view_query()), deadline);
    if (!outcome.succeeded(0)) {
        co_return false;
    }
    const auto& results = outcome.segments[0];
    const bool in_recovery = results[0].field(0, 1) == "t";
    // An instance that was promoted again for a later term, but has no record of that term yet, is
    // no longer the primary of this term.
    const fencing_token token = parse_fencing_token(results[2].field(0, 0));
    const bool is_primary = !in_recovery && read_replay_state(results, 0).last_term() == term &&
                            token.pending_term <= term;
    if (is_primary) {
        connection.set_verified_term(term);
    }
    co_return is_primary;
}

task<connection_lease> upstream_group::acquire(std::string upstream, std::string workspace,
                                               time_point deadline) {
    const auto pool = m_pools.find(upstream);
    if (pool == m_pools.end()) {
        co_return connection_lease();
    }
    co_return co_await pool->second->acquire(workspace, deadline);
}

task<connection_lease> upstream_group::acquire_control(std::string upstream, time_point deadline) {
    const auto pool = m_pools.find(upstream);
    if (pool == m_pools.end()) {
        co_return connection_lease();
    }
    co_return co_await pool->second->acquire_control(deadline);
}

task<confirmation_result> upstream_group::confirm(log_position position, time_point deadline) {
    const auto self = shared_from_this();
    const std::uint64_t ticket = m_tracker.add(position, event_loop::now());
    const oneshot<confirmation_result> outcome(m_loop);
    m_pending_confirmations.emplace(ticket, outcome);
    const timer deadline_timer = m_loop.after(
        deadline - event_loop::now(), [outcome] { outcome.set(confirmation_result::undecided); });
    if (!m_confirming) {
        m_confirming = true;
        spawn(confirm_waiting());
    }
    const confirmation_result result = co_await outcome;
    m_tracker.remove(ticket);
    m_pending_confirmations.erase(ticket);
    co_return result;
}

// One query confirms all waiting positions, so that the cost does not grow with the write rate.
task<void> upstream_group::confirm_waiting() {
    const auto self = shared_from_this();
    while (!m_tracker.empty() && !m_stopped) {
        const time_point query_deadline = event_loop::now() + probe_timeout;
        const std::string primary = m_record.record.primary;
        const std::uint64_t term = m_record.record.ready_term;
        connection_lease lease = co_await acquire_control(primary, query_deadline);
        if (!lease) {
            co_await sleep_for(m_loop, std::chrono::milliseconds(5));
            continue;
        }
        const pg_outcome outcome =
            co_await lease->run(batch_of(replication_view_query()), query_deadline);
        lease.release();
        if (outcome.succeeded(0) && outcome.segments[0][0].field(0, 1) == "f" &&
            read_view(outcome.segments[0]).term == term) {
            apply_view(read_view(outcome.segments[0]));
        }
        if (!m_tracker.empty()) {
            co_await sleep_for(m_loop, confirmation_interval);
        }
    }
    m_confirming = false;
}

void upstream_group::apply_view(const replication_view& view) {
    for (const auto& item : m_tracker.apply(view)) {
        const auto found = m_pending_confirmations.find(item.ticket);
        if (found != m_pending_confirmations.end()) {
            found->second.set(item.verdict == confirmation_verdict::confirmed
                                  ? confirmation_result::confirmed
                                  : confirmation_result::superseded);
        }
    }
    record_primary_position({view.term, view.offset});
    if (confirmed_offset(view, m_configured.upstreams.size()) > 0) {
        m_primary_confirmed_at = event_loop::now();
    }
}

task<void> upstream_group::probe(std::string upstream) {
    const auto self = shared_from_this();
    while (!m_stopped) {
        const time_point query_deadline = event_loop::now() + probe_timeout;
        connection_lease lease = co_await acquire_control(upstream, query_deadline);
        if (lease) {
            pg_segment following{{"SELECT count(*) FROM pg_stat_wal_receiver", {}}};
            const pg_outcome outcome =
                co_await lease->run(batch_of(replication_view_query(), following), query_deadline);
            lease.release();
            if (apply_probe(upstream, outcome)) {
                m_changed.notify();
            }
        }
        co_await sleep_for(m_loop, probe_interval);
    }
}

// Returns whether the instance is the agreed primary and was suspected until this probe, so that
// waiting requests check again.
bool upstream_group::apply_probe(const std::string& upstream, const pg_outcome& outcome) {
    if (outcome.lost || outcome.segments.size() < 2 || !outcome.succeeded(1)) {
        return false;
    }
    const auto& results = outcome.segments[0];
    if (results.empty() || !results[0].ok) {
        return false;
    }
    upstream_probe& target = m_probes[upstream];
    target.answered_at = event_loop::now();
    target.in_recovery = results[0].field(0, 1) == "t";
    target.following = outcome.segments[1][0].field(0, 0) != "0";
    if (!outcome.succeeded(0)) {
        // Before the first promotion the table of terms does not exist, and the query fails.
        target.state = {};
        return false;
    }
    const replication_view view = read_view(results);
    target.state = {view.offset, view.terms};
    target.fencing_term = view.fencing_term;
    const bool is_agreed_primary = upstream == m_record.record.primary && !target.in_recovery &&
                                   view.term == m_record.record.ready_term;
    if (!is_agreed_primary) {
        return false;
    }
    const bool was_suspected = primary_suspected(event_loop::now(), confirmation_timeout);
    apply_view(view);
    return was_suspected;
}

void upstream_group::record_replica_state(const std::string& upstream, const replay_state& state) {
    upstream_probe& target = m_probes[upstream];
    target.answered_at = event_loop::now();
    target.state = state;
}

void upstream_group::record_primary_position(const log_position& position) {
    const time_point now = event_loop::now();
    m_primary_positions.push_back({now, position});
    while (now - m_primary_positions.front().observed_at > position_retention) {
        m_primary_positions.pop_front();
    }
}

std::optional<duration> upstream_group::staleness_of(const log_position& position) const {
    // The last observation at which the primary was not ahead of this position.
    const auto last = std::find_if(m_primary_positions.rbegin(), m_primary_positions.rend(),
                                   [&](const auto& item) { return item.position <= position; });
    if (last == m_primary_positions.rend()) {
        return std::nullopt;
    }
    return event_loop::now() - last->observed_at;
}

std::vector<read_candidate> upstream_group::read_candidates() const {
    const time_point now = event_loop::now();
    std::vector<read_candidate> candidates;
    for (const auto& item : m_configured.upstreams) {
        read_candidate candidate;
        candidate.upstream = item.name;
        candidate.is_primary = item.name == m_record.record.primary;
        candidate.same_domain = item.failure_domain == m_host.failure_domain;
        const auto& pool = m_pools.at(item.name);
        candidate.load = pool->load();
        const auto probed = m_probes.find(item.name);
        const bool probe_is_recent =
            probed != m_probes.end() && now - probed->second.answered_at < probe_lifetime;
        candidate.usable = probe_is_recent && pool->reachable() && takes_new_work(item.name) &&
                           (candidate.is_primary || probed->second.in_recovery);
        if (probe_is_recent) {
            candidate.state = probed->second.state;
            candidate.staleness =
                staleness_of({candidate.state.last_term(), candidate.state.offset});
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

bool upstream_group::primary_suspected(time_point now, duration timeout) const {
    return now - m_primary_confirmed_at > timeout || m_tracker.stalled(now, timeout);
}

} // namespace bronzeplank
