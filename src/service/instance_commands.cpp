#include "service/instance_commands.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

// The advisory lock that serializes the commands of all coordinators at an instance.
constexpr int command_lock_key = 7311;
constexpr int max_lock_attempts = 10;
constexpr std::chrono::milliseconds lock_retry_delay{20};
constexpr std::chrono::milliseconds state_poll_interval{5};

pg_segment single_statement(std::string text) {
    pg_segment segment;
    segment.push_back({std::move(text), {}});
    return segment;
}

task<bool> acquire_lock(event_loop& loop, pg_connection& connection, time_point deadline) {
    const std::string try_lock = fmt::format("SELECT pg_try_advisory_lock({})", command_lock_key);
    const std::string terminate_holder =
        fmt::format("SELECT pg_terminate_backend(pid) FROM pg_locks WHERE "
                    "locktype = 'advisory' AND objid = {}",
                    command_lock_key);
    for (int i = 0; i < max_lock_attempts; ++i) {
        const pg_outcome outcome =
            co_await connection.run(batch_of(single_statement(try_lock)), deadline);
        if (!outcome.succeeded(0)) {
            co_return false;
        }
        if (outcome.segments[0][0].field(0, 0) == "t") {
            co_return true;
        }
        // The holder may be a suspended process. Without its session it can't carry out the rest
        // of its command when it resumes.
        co_await connection.run(batch_of(single_statement(terminate_holder)), deadline);
        co_await sleep_for(loop, lock_retry_delay);
    }
    co_return false;
}

task<std::optional<fencing_token>> read_fencing_token(pg_connection& connection,
                                                      time_point deadline) {
    const pg_outcome outcome = co_await connection.run(
        batch_of(single_statement("SELECT current_setting('primary_conninfo')")), deadline);
    if (!outcome.succeeded(0)) {
        co_return std::nullopt;
    }
    co_return parse_fencing_token(outcome.segments[0][0].field(0, 0));
}

// Returns 0 before the first promotion, when the table of terms does not exist yet.
task<std::uint64_t> read_last_term(pg_connection& connection, time_point deadline) {
    const pg_outcome outcome = co_await connection.run(batch_of(replay_state_query()), deadline);
    co_return outcome.succeeded(0) ? read_replay_state(outcome.segments[0], 0).last_term() : 0;
}

task<bool> set_primary_conninfo(pg_connection& connection, std::string conninfo,
                                time_point deadline) {
    pg_batch batch = batch_of(
        single_statement(fmt::format("ALTER SYSTEM SET primary_conninfo = '{}'", conninfo)),
        single_statement("SELECT pg_reload_conf()"));
    const pg_outcome outcome = co_await connection.run(std::move(batch), deadline);
    co_return outcome.succeeded(0) && outcome.succeeded(1);
}

// Waits until the instance no longer receives a log and has replayed all that it received.
task<std::optional<detach_report>> wait_for_detach_report(event_loop& loop,
                                                          pg_connection& connection,
                                                          std::string upstream, fencing_token token,
                                                          time_point deadline) {
    while (event_loop::now() < deadline) {
        pg_segment state = single_statement("SELECT pg_is_in_recovery(), (SELECT count(*) FROM "
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
            co_await sleep_for(loop, state_poll_interval);
            continue;
        }
        detach_report report{std::move(upstream), {}, in_recovery, false, {}};
        const auto& position = outcome.segments[1];
        report.last.offset = parse_offset(position[0].field(0, 0)).value_or(0);
        // Before the first promotion the table of terms does not exist, and the query fails.
        replay_state recorded;
        if (outcome.succeeded(1)) {
            recorded = read_replay_state(position, 0);
        }
        report.last.term = recorded.last_term();
        report.last.offset = end_of_earlier_terms(token, report.last);
        report.pending = !in_recovery && report.last.term < token.pending_term;
        report.terms = recorded.terms;
        co_return report;
    }
    co_return std::nullopt;
}

task<bool> promote_and_wait(event_loop& loop, pg_connection& connection, time_point deadline) {
    bool requested = false;
    while (event_loop::now() < deadline) {
        const pg_outcome outcome = co_await connection.run(
            batch_of(single_statement("SELECT pg_is_in_recovery()")), deadline);
        if (!outcome.succeeded(0)) {
            co_return false;
        }
        if (outcome.segments[0][0].field(0, 0) == "f") {
            co_return true;
        }
        if (!requested) {
            requested = true;
            co_await connection.run(batch_of(single_statement("SELECT pg_promote(false)")),
                                    deadline);
        }
        co_await sleep_for(loop, state_poll_interval);
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

std::string conninfo_without_primary(const promotion_action& action, const fencing_token& token) {
    return "application_name=" + format_fencing_token(action.upstream, token);
}

std::string conninfo_of_primary(const database_group& group, const promotion_action& action,
                                const fencing_token& token) {
    const upstream* target = group.find_upstream(action.target);
    return fmt::format("host={} port={} {}", target->address, target->port,
                       conninfo_without_primary(action, token));
}

task<command_result> execute_locked(std::shared_ptr<upstream_group> group,
                                    pg_connection& connection, promotion_action action,
                                    time_point deadline) {
    using kind = promotion_action::kind;
    command_result result;
    const auto token = co_await read_fencing_token(connection, deadline);
    if (!token) {
        co_return result;
    }
    // A token of a later term means that another coordinator has taken over. A promotion and a
    // term's record require a token of exactly this term.
    const bool needs_own_token = action.what == kind::promote || action.what == kind::write_term;
    if (token->term > action.term || (needs_own_token && token->term != action.term)) {
        result.result = action_result::refused;
        co_return result;
    }
    const std::uint64_t last_term = co_await read_last_term(connection, deadline);
    const fencing_token detached_token = token_after_detach(*token, last_term, action.term);
    const std::uint64_t start = end_of_recorded_terms(action.terms, last_term, action.start);
    const fencing_token pending_token =
        token_with_pending_term(*token, last_term, action.term, start);
    bool done = false;
    switch (action.what) {
    case kind::detach:
        done = co_await set_primary_conninfo(
            connection, conninfo_without_primary(action, detached_token), deadline);
        if (done) {
            result.report = co_await wait_for_detach_report(
                group->loop(), connection, action.upstream, detached_token, deadline);
            done = result.report.has_value();
        }
        break;
    case kind::promote:
        // The token is stored before the promotion: the promotion itself writes to the log, and a
        // coordinator that takes over afterwards must know where the earlier terms end.
        done = co_await set_primary_conninfo(
            connection, conninfo_without_primary(action, pending_token), deadline);
        if (done) {
            done = co_await promote_and_wait(group->loop(), connection, deadline);
        }
        break;
    case kind::write_term:
        done = co_await write_term(connection, action.term, action.start, deadline);
        break;
    case kind::attach:
        done = co_await set_primary_conninfo(
            connection, conninfo_of_primary(group->configured(), action, pending_token), deadline);
        break;
    case kind::write_record:
        break;
    }
    result.result = done ? action_result::done : action_result::unknown;
    co_return result;
}

} // namespace

task<command_result> execute_command(std::shared_ptr<upstream_group> group, promotion_action action,
                                     time_point deadline) {
    command_result result;
    connection_lease lease = co_await group->acquire_control(action.upstream, deadline);
    if (!lease) {
        co_return result;
    }
    const bool locked = co_await acquire_lock(group->loop(), *lease, deadline);
    if (!locked) {
        lease->close("the command lock could not be acquired");
        co_return result;
    }
    result = co_await execute_locked(group, *lease, action, deadline);
    const pg_outcome unlocked = co_await lease->run(
        batch_of(single_statement(fmt::format("SELECT pg_advisory_unlock({})", command_lock_key))),
        deadline);
    if (!unlocked.succeeded(0)) {
        lease->close("the command lock may still be held");
    }
    co_return result;
}

} // namespace bronzeplank
