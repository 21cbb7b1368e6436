#include "service/query_service.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace bronzeplank {

namespace {

// How long a session read waits for a replica to replay the session's position before it goes to
// the primary.
constexpr std::chrono::milliseconds catch_up_timeout{60};
constexpr std::chrono::milliseconds catch_up_poll_interval{3};
// A replica that does not answer within this time is abandoned for the next candidate.
constexpr std::chrono::milliseconds replica_timeout{250};
constexpr std::chrono::milliseconds retry_delay{5};
constexpr std::size_t max_idempotency_key_length = 200;
// SQLSTATE codes.
const char* const unique_violation = "23505";
const char* const read_only_sql_transaction = "25006";

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

bool is_integer_type(unsigned type) {
    return type == 20 || type == 21 || type == 23;
}

void write_field(json_writer& writer, const pg_field& field, unsigned type) {
    constexpr unsigned boolean_type = 16;
    if (!field) {
        writer.Null();
    } else if (is_integer_type(type)) {
        writer.RawValue(field->data(), field->size(), rapidjson::kNumberType);
    } else if (type == boolean_type) {
        writer.Bool(*field == "t");
    } else {
        writer.String(field->data(), static_cast<rapidjson::SizeType>(field->size()));
    }
}

std::string result_json(const pg_result& result) {
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("command");
    writer.String(result.tag.c_str());
    writer.Key("columns");
    writer.StartArray();
    for (const auto& column : result.columns) {
        writer.String(column.name.c_str());
    }
    writer.EndArray();
    writer.Key("rows");
    writer.StartArray();
    for (const auto& row : result.rows) {
        writer.StartArray();
        for (std::size_t i = 0; i < row.size(); ++i) {
            write_field(writer, row[i], result.columns[i].type);
        }
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

// Wraps a result, which may be a recorded one, in the body of an answer.
std::string answer_json(const std::string& result, const std::string& served_by, bool repeated) {
    return fmt::format(R"({{"outcome":"ran","served_by":"{}","repeated":{},"result":{}}})",
                       served_by, repeated, result);
}

std::string bearer_key(const std::string& authorization) {
    const std::string prefix = "Bearer ";
    if (!authorization.starts_with(prefix) || authorization.size() == prefix.size()) {
        throw request_error(error_kind::unauthenticated,
                            "the Authorization header must be \"Bearer <key>\"");
    }
    return authorization.substr(prefix.size());
}

std::string quoted_identifier(const std::string& name) {
    return "\"" + name + "\"";
}

// Whether a replica in this state may serve the read. Without the record of the current term it may
// hold data that will be rolled back. A session position that it does not cover is left to the
// primary: only the primary can tell whether the session's write was lost.
bool can_serve_read(const upstream_group& group, const replay_state& state,
                    const caller_context& caller, const std::string& name) {
    const bool has_term_record = state.last_term() >= group.record().record.ready_term;
    const bool covers_session = covers(state, caller.session.position(name)) == coverage::covered;
    if (!caller.max_staleness) {
        return has_term_record && covers_session;
    }
    const auto age = group.staleness_of({state.last_term(), state.offset});
    return has_term_record && covers_session && age && *age <= *caller.max_staleness;
}

const char* const position_query = "SELECT pg_current_wal_lsn()";

pg_segment position_segment() {
    pg_segment segment;
    segment.push_back({position_query, {}});
    return segment;
}

log_position read_position(const pg_outcome& outcome, std::size_t segment, std::uint64_t term) {
    return {term, parse_offset(outcome.segments[segment][0].field(0, 0)).value_or(0)};
}

} // namespace

http_answer to_http_answer(const request_error& error) {
    const error_answer& row = answer_for(error.kind());
    return {row.http_status,
            fmt::format(R"({{"error":{{"code":"{}","message":{},"outcome":"{}","retry":{}}}}})",
                        row.code, internal::quoted(error.what()), to_string(error.outcome()),
                        row.retry_helps),
            ""};
}

pg_segment with_workspace_role(const std::string& workspace, const caller_statement& statement) {
    return {{"SET ROLE " + quoted_identifier(workspace), {}},
            {statement.text, statement.parameters},
            {"RESET ROLE", {}}};
}

void throw_statement_error(const pg_result& failed) {
    throw request_error(error_kind::statement_failed,
                        fmt::format("{} (SQLSTATE {})", failed.message, failed.sqlstate));
}

query_service::query_service(kernel& services, const settings& host)
    : m_loop(services.loop()), m_host(host),
      m_directory(services.find<directory>(directory::service_name)),
      m_rates(services.find<rate_service>(rate_service::service_name)),
      m_metrics(services.find<metrics>(metrics::service_name)) {
    services.add(std::string(service_name), *this);
}

caller_context query_service::admit(const http_request& request) const {
    const std::string key = bearer_key(request.authorization);
    const auto name = m_directory.keys().workspace_of(key);
    const workspace* workspace_config =
        name ? m_directory.current_configuration().find_workspace(*name) : nullptr;
    if (workspace_config == nullptr) {
        throw request_error(error_kind::unauthenticated, "the API key is unknown or was withdrawn");
    }
    if (request.idempotency_key.size() > max_idempotency_key_length) {
        throw request_error(error_kind::malformed_request,
                            "Idempotency-Key: longer than 200 characters");
    }
    const auto requested_timeout = read_milliseconds(request.deadline, "Bronzeplank-Deadline-Ms");
    const duration timeout = std::min(requested_timeout.value_or(m_host.limits.request_timeout),
                                      m_host.limits.request_timeout);
    return {*workspace_config, decode(request.session, workspace_config->name, m_host.secret),
            event_loop::now() + timeout,
            read_milliseconds(request.staleness, "Bronzeplank-Max-Staleness-Ms"),
            request.idempotency_key};
}

std::shared_ptr<upstream_group> query_service::group_for(const caller_context& caller,
                                                         const std::string& name) const {
    const auto group = m_directory.find_group(name);
    if (group == nullptr || !caller.workspace_config.may_use(name)) {
        throw request_error(error_kind::forbidden,
                            fmt::format("the workspace has no access to a database \"{}\"", name));
    }
    return group;
}

std::string query_service::encode_session(const caller_context& caller,
                                          const session_token& session) const {
    return encode(session, caller.workspace_config.name, m_host.secret);
}

http_answer query_service::make_answer(const caller_context& caller, const session_token& session,
                                       const pg_result& result,
                                       const std::string& served_by) const {
    return {200, answer_json(result_json(result), served_by, false),
            encode_session(caller, session)};
}

task<http_answer> query_service::run(http_request request) {
    const caller_context caller = admit(request);
    const caller_query query = read_query(request.body);
    co_await m_rates.take_token(caller.workspace_config, caller.deadline);
    if (is_read(query.statement.text) && caller.idempotency_key.empty()) {
        co_return co_await read(caller, query);
    }
    if (caller.idempotency_key.empty()) {
        co_return co_await write_without_key(caller, query);
    }
    co_return co_await write_idempotent(caller, query);
}

task<http_answer> query_service::read(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    const read_request requirements{caller.session.position(query.group), caller.max_staleness};
    const time_point catch_up_deadline =
        std::min(caller.deadline, event_loop::now() + catch_up_timeout);
    while (true) {
        for (const auto& upstream : rank_read_targets(group->read_candidates(), requirements)) {
            if (upstream == group->record().record.primary) {
                continue;
            }
            auto answer = co_await read_from_replica(caller, query, group, upstream);
            if (answer) {
                co_return std::move(*answer);
            }
        }
        const bool can_wait = requirements.session.term > 0 &&
                              event_loop::now() < catch_up_deadline &&
                              group->read_candidates().size() > 1;
        if (!can_wait) {
            break;
        }
        // A replica that lags slightly catches up within a few of its replay delays.
        co_await sleep_for(m_loop, catch_up_poll_interval);
    }
    co_return co_await read_primary(caller, query, group);
}

// Returns nothing when another instance should be tried.
task<std::optional<http_answer>>
query_service::read_from_replica(caller_context caller, caller_query query,
                                 std::shared_ptr<upstream_group> group, std::string upstream) {
    const time_point replica_deadline =
        std::min<time_point>(caller.deadline, event_loop::now() + replica_timeout);
    connection_lease lease =
        co_await group->acquire(upstream, caller.workspace_config.name, replica_deadline);
    if (!lease) {
        co_return std::nullopt;
    }
    // The position is queried before the data in the same round trip, so the data is at least as
    // recent as the position.
    const pg_outcome outcome = co_await lease->run(
        batch_of(replay_state_query(),
                 with_workspace_role(caller.workspace_config.name, query.statement)),
        replica_deadline);
    lease.release();
    if (outcome.lost || !outcome.succeeded(0)) {
        co_return std::nullopt;
    }
    const replay_state state = read_replay_state(outcome.segments[0], 0);
    group->record_replica_state(upstream, state);
    if (!can_serve_read(*group, state, caller, query.group)) {
        co_return std::nullopt;
    }
    const pg_result* failed = outcome.first_failure();
    if (failed != nullptr && failed->sqlstate == read_only_sql_transaction) {
        co_return std::nullopt;
    }
    if (failed != nullptr) {
        throw_statement_error(*failed);
    }
    m_metrics.count_read(caller.workspace_config.name, true);
    co_return make_answer(caller, caller.session, outcome.segments[1][1], "replica");
}

task<http_answer> query_service::read_primary(caller_context caller, caller_query query,
                                              std::shared_ptr<upstream_group> group) {
    while (true) {
        primary_lease lease =
            co_await group->acquire_primary(caller.workspace_config.name, caller.deadline);
        const pg_outcome outcome = co_await lease.connection->run(
            batch_of(with_workspace_role(caller.workspace_config.name, query.statement),
                     replay_state_query()),
            caller.deadline);
        lease.connection.release();
        if (outcome.lost && event_loop::now() < caller.deadline) {
            co_await sleep_for(m_loop, retry_delay);
            continue;
        }
        if (outcome.lost) {
            throw request_error(error_kind::deadline_exceeded,
                                "the primary did not answer before the deadline");
        }
        if (const pg_result* failed = outcome.first_failure()) {
            throw_statement_error(*failed);
        }
        const replay_state state = read_replay_state(outcome.segments[1], 0);
        if (covers(state, caller.session.position(query.group)) == coverage::lost) {
            throw request_error(error_kind::session_lost,
                                "the session's last write was lost in a failover");
        }
        // The result may include a write that is not on a majority yet, so the answer waits until
        // everything that the read saw is confirmed.
        const auto confirmed = co_await group->confirm({lease.term, state.offset}, caller.deadline);
        if (confirmed == confirmation_result::undecided) {
            throw request_error(
                error_kind::deadline_exceeded,
                "the data that the read returned was not confirmed before the deadline");
        }
        if (confirmed == confirmation_result::confirmed) {
            m_metrics.count_read(caller.workspace_config.name, false);
            co_return make_answer(caller, caller.session, outcome.segments[0][1], "primary");
        }
    }
}

task<http_answer> query_service::write_without_key(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    primary_lease lease =
        co_await group->acquire_primary(caller.workspace_config.name, caller.deadline);
    const pg_outcome outcome = co_await lease.connection->run(
        batch_of(with_workspace_role(caller.workspace_config.name, query.statement),
                 position_segment()),
        caller.deadline);
    lease.connection.release();
    if (outcome.lost) {
        throw request_error(error_kind::outcome_unknown,
                            "the connection to the primary was lost while the statement ran");
    }
    if (const pg_result* failed = outcome.first_failure()) {
        throw_statement_error(*failed);
    }
    const log_position position = read_position(outcome, 1, lease.term);
    switch (co_await group->confirm(position, caller.deadline)) {
    case confirmation_result::confirmed:
        break;
    case confirmation_result::superseded:
        log(log_event::write_superseded, {{"group", query.group}});
        throw request_error(error_kind::outcome_unknown,
                            "the primary changed before the write was confirmed");
    case confirmation_result::undecided:
        throw request_error(error_kind::not_confirmed,
                            "the write was not confirmed before the deadline");
    }
    co_return make_answer(caller, caller.session.advanced(query.group, position),
                          outcome.segments[0][1], "primary");
}

task<http_answer> query_service::write_idempotent(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    bool attempted = false;
    while (true) {
        try {
            auto answer = co_await attempt_idempotent(caller, query, group);
            if (answer) {
                co_return std::move(*answer);
            }
        } catch (const request_error& error) {
            // An earlier attempt may have been committed, so the outcome "not run" is not certain.
            const bool reported_not_run = error.outcome() == run_outcome::not_run &&
                                          error.kind() != error_kind::statement_failed &&
                                          error.kind() != error_kind::idempotency_mismatch;
            if (attempted && reported_not_run) {
                throw request_error(error_kind::outcome_unknown, error.what());
            }
            throw;
        }
        attempted = true;
        if (event_loop::now() >= caller.deadline) {
            throw request_error(error_kind::outcome_unknown,
                                "no attempt was confirmed before the deadline");
        }
        co_await sleep_for(m_loop, retry_delay);
    }
}

// Returns nothing when the outcome of the attempt is unknown; the idempotency key makes a retry
// safe.
task<std::optional<http_answer>>
query_service::attempt_idempotent(caller_context caller, caller_query query,
                                  std::shared_ptr<upstream_group> group) {
    primary_lease lease =
        co_await group->acquire_primary(caller.workspace_config.name, caller.deadline);
    pg_segment execute_segment{
        {"BEGIN", {}},
        {"INSERT INTO bronzeplank_request (workspace, request_key, fingerprint, "
         "answer) VALUES ($1, $2, $3, '')",
         {caller.workspace_config.name, caller.idempotency_key, fingerprint_of(query)}}};
    const std::size_t key_statement = execute_segment.size() - 1;
    const std::size_t caller_statement_index = execute_segment.size() + 1;
    for (auto& statement : with_workspace_role(caller.workspace_config.name, query.statement)) {
        execute_segment.push_back(std::move(statement));
    }
    const pg_outcome execute_outcome =
        co_await lease.connection->run(batch_of(execute_segment), caller.deadline);
    if (execute_outcome.lost) {
        co_return std::nullopt;
    }
    if (const pg_result* failed = execute_outcome.first_failure()) {
        const bool key_exists = failed == &execute_outcome.segments[0][key_statement] &&
                                failed->sqlstate == unique_violation;
        const pg_result failed_statement = *failed;
        pg_segment rollback{{"ROLLBACK", {}}};
        co_await lease.connection->run(batch_of(rollback), caller.deadline);
        if (key_exists) {
            co_return co_await recorded_answer(caller, query, group, std::move(lease));
        }
        throw_statement_error(failed_statement);
    }
    const pg_result& result = execute_outcome.segments[0][caller_statement_index];
    const std::string recorded = result_json(result);
    pg_segment commit_segment{
        {"UPDATE bronzeplank_request SET answer = $1 WHERE workspace = $2 AND request_key = $3",
         {recorded, caller.workspace_config.name, caller.idempotency_key}},
        {"COMMIT", {}}};
    const pg_outcome commit_outcome = co_await lease.connection->run(
        batch_of(commit_segment, position_segment()), caller.deadline);
    lease.connection.release();
    if (!commit_outcome.succeeded(0) || !commit_outcome.succeeded(1)) {
        co_return std::nullopt;
    }
    const log_position position = read_position(commit_outcome, 1, lease.term);
    if (co_await group->confirm(position, caller.deadline) != confirmation_result::confirmed) {
        co_return std::nullopt;
    }
    co_return http_answer{200, answer_json(recorded, "primary", false),
                          encode_session(caller, caller.session.advanced(query.group, position))};
}

task<std::optional<http_answer>>
query_service::recorded_answer(caller_context caller, caller_query query,
                               std::shared_ptr<upstream_group> group, primary_lease lease) {
    pg_segment lookup{{"SELECT fingerprint, answer FROM bronzeplank_request WHERE workspace = $1 "
                       "AND request_key = $2",
                       {caller.workspace_config.name, caller.idempotency_key}}};
    const pg_outcome outcome =
        co_await lease.connection->run(batch_of(lookup, position_segment()), caller.deadline);
    lease.connection.release();
    if (!outcome.succeeded(0) || !outcome.succeeded(1) || outcome.segments[0][0].rows.empty()) {
        co_return std::nullopt;
    }
    const pg_result& row = outcome.segments[0][0];
    if (row.field(0, 0) != fingerprint_of(query)) {
        throw request_error(error_kind::idempotency_mismatch,
                            "the idempotency key was already used for a different request");
    }
    // The recorded answer itself may not be on a majority yet.
    const log_position position = read_position(outcome, 1, lease.term);
    if (co_await group->confirm(position, caller.deadline) != confirmation_result::confirmed) {
        co_return std::nullopt;
    }
    co_return http_answer{200, answer_json(row.field(0, 1), "primary", true),
                          encode_session(caller, caller.session.advanced(query.group, position))};
}

} // namespace bronzeplank
