#include "service/instance_orders.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

// The key of the advisory lock that orderers take at an instance.
constexpr int order_lock = 7311;
constexpr int lock_attempts = 10;
constexpr std::chrono::milliseconds lock_pause{20};
constexpr std::chrono::milliseconds settle_pause{5};

pg_segment one(std::string text) {
    pg_segment segment;
    segment.push_back({std::move(text), {}});
    return segment;
}

task<bool> take_lock(event_loop& loop, pg_connection& connection, time_point deadline) {
    const std::string attempt = fmt::format("SELECT pg_try_advisory_lock({})", order_lock);
    const std::string evict = fmt::format("SELECT pg_terminate_backend(pid) FROM pg_locks WHERE "
                                          "locktype = 'advisory' AND objid = {}",
                                          order_lock);
    for (int i = 0; i < lock_attempts; ++i) {
        const pg_outcome outcome = co_await connection.run(batch_of(one(attempt)), deadline);
        if (!outcome.succeeded(0)) {
            co_return false;
        }
        if (outcome.segments[0][0].field(0, 0) == "t") {
            co_return true;
        }
        // The holder may sleep. What it has not done yet, it can't do any more.
        co_await connection.run(batch_of(one(evict)), deadline);
        co_await sleep_for(loop, lock_pause);
    }
    co_return false;
}

task<std::optional<fencing_token>> read_stamp(pg_connection& connection, time_point deadline) {
    const pg_outcome outcome = co_await connection.run(
        batch_of(one("SELECT current_setting('primary_conninfo')")), deadline);
    if (!outcome.succeeded(0)) {
        co_return std::nullopt;
    }
    co_return parse_fencing_token(outcome.segments[0][0].field(0, 0));
}

// 0 before the first promotion, when there is no table of terms.
task<std::uint64_t> read_last_term(pg_connection& connection, time_point deadline) {
    const pg_outcome outcome = co_await connection.run(batch_of(replay_state_query()), deadline);
    co_return outcome.succeeded(0) ? read_replay_state(outcome.segments[0], 0).last_term() : 0;
}

task<bool> set_conninfo(pg_connection& connection, std::string conninfo, time_point deadline) {
    pg_batch batch =
        batch_of(one(fmt::format("ALTER SYSTEM SET primary_conninfo = '{}'", conninfo)),
                 one("SELECT pg_reload_conf()"));
    const pg_outcome outcome = co_await connection.run(std::move(batch), deadline);
    co_return outcome.succeeded(0) && outcome.succeeded(1);
}

// Waits until the instance follows nobody and has replayed all that it received.
task<std::optional<detach_report>> settled_report(event_loop& loop, pg_connection& connection,
                                                  std::string upstream, fencing_token stamp,
                                                  time_point deadline) {
    while (event_loop::now() < deadline) {
        pg_segment state = one("SELECT pg_is_in_recovery(), (SELECT count(*) FROM "
                               "pg_stat_wal_receiver), pg_last_wal_receive_lsn(), "
                               "pg_last_wal_replay_lsn()");
        const pg_outcome outcome =
            co_await connection.run(batch_of(state, replay_state_query()), deadline);
        if (!outcome.succeeded(0)) {
            co_return std::nullopt;
        }
        const pg_result& row = outcome.segments[0][0];
        const bool in_recovery = row.field(0, 0) == "t";
        const bool settled = row.field(0, 1) == "0" && row.field(0, 2) == row.field(0, 3);
        if (in_recovery && !settled) {
            co_await sleep_for(loop, settle_pause);
            continue;
        }
        detach_report report{std::move(upstream), {}, in_recovery, false, {}};
        const auto& position = outcome.segments[1];
        report.last.offset = parse_offset(position[0].field(0, 0)).value_or(0);
        // Before the first promotion there is no table of terms.
        replay_state known;
        if (outcome.succeeded(1)) {
            known = read_replay_state(position, 0);
        }
        report.last.term = known.last_term();
        report.last.offset = end_of_earlier_terms(stamp, report.last);
        report.pending = !in_recovery && report.last.term < stamp.pending_term;
        report.terms = known.terms;
        co_return report;
    }
    co_return std::nullopt;
}

task<bool> make_primary(event_loop& loop, pg_connection& connection, time_point deadline) {
    bool ordered = false;
    while (event_loop::now() < deadline) {
        const pg_outcome outcome =
            co_await connection.run(batch_of(one("SELECT pg_is_in_recovery()")), deadline);
        if (!outcome.succeeded(0)) {
            co_return false;
        }
        if (outcome.segments[0][0].field(0, 0) == "f") {
            co_return true;
        }
        if (!ordered) {
            ordered = true;
            co_await connection.run(batch_of(one("SELECT pg_promote(false)")), deadline);
        }
        co_await sleep_for(loop, settle_pause);
    }
    co_return false;
}

task<bool> write_term(pg_connection& connection, std::uint64_t term, std::uint64_t start,
                      time_point deadline) {
    pg_segment segment{
        {"CREATE TABLE IF NOT EXISTS bronzeplank_term (term bigint PRIMARY KEY, start_lsn text "
         "NOT NULL)",
         {}},
        {"CREATE TABLE IF NOT EXISTS bronzeplank_request (workspace text NOT NULL, request_key "
         "text NOT NULL, fingerprint text NOT NULL, answer text NOT NULL, PRIMARY KEY (workspace, "
         "request_key))",
         {}},
        {"INSERT INTO bronzeplank_term (term, start_lsn) VALUES ($1, $2) ON CONFLICT (term) DO "
         "NOTHING",
         {std::to_string(term), format_offset(start)}}};
    const pg_outcome outcome = co_await connection.run(batch_of(segment), deadline);
    co_return outcome.succeeded(0);
}

std::string stamped(const promotion_action& action, const fencing_token& stamp) {
    return "application_name=" + format_fencing_token(action.upstream, stamp);
}

std::string attached(const database_group& group, const promotion_action& action,
                     const fencing_token& stamp) {
    const upstream* target = group.find_upstream(action.target);
    return fmt::format("host={} port={} {}", target->address, target->port, stamped(action, stamp));
}

task<order_result> run_locked(std::shared_ptr<upstream_group> group, pg_connection& connection,
                              promotion_action action, time_point deadline) {
    using kind = promotion_action::kind;
    order_result result;
    const auto stamp = co_await read_stamp(connection, deadline);
    if (!stamp) {
        co_return result;
    }
    // A later orderer has been here. Promoting and writing the term need this term's own stamp.
    const bool needs_own = action.what == kind::promote || action.what == kind::write_term;
    if (stamp->term > action.term || (needs_own && stamp->term != action.term)) {
        result.result = action_result::refused;
        co_return result;
    }
    const std::uint64_t last_term = co_await read_last_term(connection, deadline);
    const fencing_token detached = token_after_detach(*stamp, last_term, action.term);
    const std::uint64_t start = end_of_recorded_terms(action.terms, last_term, action.start);
    const fencing_token pending = token_with_pending_term(*stamp, last_term, action.term, start);
    bool done = false;
    switch (action.what) {
    case kind::detach:
        done = co_await set_conninfo(connection, stamped(action, detached), deadline);
        if (done) {
            result.report = co_await settled_report(group->loop(), connection, action.upstream,
                                                    detached, deadline);
            done = result.report.has_value();
        }
        break;
    case kind::promote:
        // Stamped first: a promotion writes to the log itself, and another orderer that takes over
        // from here must know where the earlier terms end.
        done = co_await set_conninfo(connection, stamped(action, pending), deadline);
        if (done) {
            done = co_await make_primary(group->loop(), connection, deadline);
        }
        break;
    case kind::write_term:
        done = co_await write_term(connection, action.term, action.start, deadline);
        break;
    case kind::attach:
        done = co_await set_conninfo(connection, attached(group->configured(), action, pending),
                                     deadline);
        break;
    case kind::write_record:
        break;
    }
    result.result = done ? action_result::done : action_result::unknown;
    co_return result;
}

} // namespace

task<order_result> carry_out_order(std::shared_ptr<upstream_group> group, promotion_action action,
                                   time_point deadline) {
    order_result result;
    connection_lease lease = co_await group->acquire_control(action.upstream, deadline);
    if (!lease) {
        co_return result;
    }
    const bool locked = co_await take_lock(group->loop(), *lease, deadline);
    if (!locked) {
        lease->close("the order lock was not to be had");
        co_return result;
    }
    result = co_await run_locked(group, *lease, action, deadline);
    const pg_outcome unlocked = co_await lease->run(
        batch_of(one(fmt::format("SELECT pg_advisory_unlock({})", order_lock))), deadline);
    if (!unlocked.succeeded(0)) {
        lease->close("the order lock is in doubt");
    }
    co_return result;
}

} // namespace bronzeplank
