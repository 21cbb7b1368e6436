#include "service/query_service.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds replica_patience{60};
constexpr std::chrono::milliseconds replica_pause{3};
// A replica that answers within this time is waited for; another one is tried after it.
constexpr std::chrono::milliseconds replica_limit{250};
constexpr std::chrono::milliseconds retry_pause{5};
constexpr std::size_t maximum_key_characters = 200;
const char* const unique_violation = "23505";
const char* const read_only_transaction = "25006";

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

// The recorded part of an answer and what says how it came about.
std::string answer_json(const std::string& result, const std::string& served_by, bool repeated) {
    return fmt::format(R"({{"outcome":"ran","served_by":"{}","repeated":{},"result":{}}})",
                       served_by, repeated, result);
}

std::string bearer_key(const std::string& authorization) {
    const std::string prefix = "Bearer ";
    if (!authorization.starts_with(prefix) || authorization.size() == prefix.size()) {
        throw request_error(error_kind::unauthenticated,
                            "a request needs a key: Authorization: Bearer <key>");
    }
    return authorization.substr(prefix.size());
}

std::string quoted_identifier(const std::string& name) {
    return "\"" + name + "\"";
}

// A replica without the agreed term's record may still have to drop what it holds, and only the
// primary can say that a session's write was lost.
bool fit_to_answer(const upstream_group& group, const replay_state& state,
                   const caller_context& caller, const std::string& name) {
    const bool current = state.last_term() >= group.record().record.ready_term;
    const bool covered = covers(state, caller.session.position(name)) == coverage::covered;
    if (!caller.maximum_staleness) {
        return current && covered;
    }
    const auto age = group.staleness_of({state.last_term(), state.offset});
    return current && covered && age && *age <= *caller.maximum_staleness;
}

const char* const position_query = "SELECT pg_current_wal_lsn()";

pg_segment position_segment() {
    pg_segment segment;
    segment.push_back({position_query, {}});
    return segment;
}

log_position position_of(const pg_outcome& outcome, std::size_t segment, std::uint64_t term) {
    return {term, parse_offset(outcome.segments[segment][0].field(0, 0)).value_or(0)};
}

} // namespace

http_answer error_response(const request_error& error) {
    const error_answer& row = answer_for(error.kind());
    return {row.http_status,
            fmt::format(R"({{"error":{{"code":"{}","message":{},"outcome":"{}","retry":{}}}}})",
                        row.code, internal::quoted(error.what()), to_string(error.outcome()),
                        row.retry_helps),
            ""};
}

pg_segment as_workspace(const std::string& workspace, const caller_statement& statement) {
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
    const workspace* tenant =
        name ? m_directory.current_configuration().find_workspace(*name) : nullptr;
    if (tenant == nullptr) {
        throw request_error(error_kind::unauthenticated, "the key is not known or was withdrawn");
    }
    if (request.idempotency_key.size() > maximum_key_characters) {
        throw request_error(error_kind::malformed_request,
                            "Idempotency-Key: expected at most 200 characters");
    }
    const auto limit = read_milliseconds(request.deadline, "Bronzeplank-Deadline-Ms");
    const duration allowed =
        std::min(limit.value_or(m_host.limits.request_timeout), m_host.limits.request_timeout);
    return {*tenant, decode(request.session, tenant->name, m_host.secret),
            event_loop::now() + allowed,
            read_milliseconds(request.staleness, "Bronzeplank-Max-Staleness-Ms"),
            request.idempotency_key};
}

std::shared_ptr<upstream_group> query_service::group_for(const caller_context& caller,
                                                         const std::string& name) const {
    const auto group = m_directory.find_group(name);
    if (group == nullptr || !caller.tenant.may_use(name)) {
        throw request_error(error_kind::forbidden,
                            fmt::format("the workspace has no database \"{}\"", name));
    }
    return group;
}

std::string query_service::encode_session(const caller_context& caller,
                                          const session_token& session) const {
    return encode(session, caller.tenant.name, m_host.secret);
}

http_answer query_service::answer(const caller_context& caller, const session_token& session,
                                  const pg_result& result, const std::string& served_by) const {
    return {200, answer_json(result_json(result), served_by, false),
            encode_session(caller, session)};
}

task<http_answer> query_service::run(http_request request) {
    const caller_context caller = admit(request);
    const caller_query query = read_query(request.body);
    co_await m_rates.take(caller.tenant, caller.deadline);
    if (is_read(query.statement.text) && caller.idempotency_key.empty()) {
        co_return co_await read(caller, query);
    }
    if (caller.idempotency_key.empty()) {
        co_return co_await write_once(caller, query);
    }
    co_return co_await write_idempotent(caller, query);
}

task<http_answer> query_service::read(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    const read_request wanted{caller.session.position(query.group), caller.maximum_staleness};
    const time_point patience = std::min(caller.deadline, event_loop::now() + replica_patience);
    while (true) {
        for (const auto& upstream : rank_read_targets(group->read_candidates(), wanted)) {
            if (upstream == group->record().record.primary) {
                continue;
            }
            auto answered = co_await read_at(caller, query, group, upstream);
            if (answered) {
                co_return std::move(*answered);
            }
        }
        const bool can_wait = wanted.session.term > 0 && event_loop::now() < patience &&
                              group->read_candidates().size() > 1;
        if (!can_wait) {
            break;
        }
        // A replica that is a little behind catches up within a few of its replay delays.
        co_await sleep_for(m_loop, replica_pause);
    }
    co_return co_await read_primary(caller, query, group);
}

// Nothing when another instance should be tried.
task<std::optional<http_answer>> query_service::read_at(caller_context caller, caller_query query,
                                                        std::shared_ptr<upstream_group> group,
                                                        std::string upstream) {
    const time_point limit =
        std::min<time_point>(caller.deadline, event_loop::now() + replica_limit);
    connection_lease lease = co_await group->acquire(upstream, caller.tenant.name, limit);
    if (!lease) {
        co_return std::nullopt;
    }
    // The position comes before the data in the same round trip: the data is at least as new.
    const pg_outcome outcome = co_await lease->run(
        batch_of(replay_state_query(), as_workspace(caller.tenant.name, query.statement)), limit);
    lease.release();
    if (outcome.lost || !outcome.succeeded(0)) {
        co_return std::nullopt;
    }
    const replay_state state = read_replay_state(outcome.segments[0], 0);
    group->record_replica_state(upstream, state);
    if (!fit_to_answer(*group, state, caller, query.group)) {
        co_return std::nullopt;
    }
    const pg_result* failed = outcome.first_failure();
    if (failed != nullptr && failed->sqlstate == read_only_transaction) {
        co_return std::nullopt;
    }
    if (failed != nullptr) {
        throw_statement_error(*failed);
    }
    m_metrics.count_read(caller.tenant.name, true);
    co_return answer(caller, caller.session, outcome.segments[1][1], "replica");
}

task<http_answer> query_service::read_primary(caller_context caller, caller_query query,
                                              std::shared_ptr<upstream_group> group) {
    while (true) {
        primary_lease lease = co_await group->acquire_primary(caller.tenant.name, caller.deadline);
        const pg_outcome outcome = co_await lease.connection->run(
            batch_of(as_workspace(caller.tenant.name, query.statement), replay_state_query()),
            caller.deadline);
        lease.connection.release();
        if (outcome.lost && event_loop::now() < caller.deadline) {
            co_await sleep_for(m_loop, retry_pause);
            continue;
        }
        if (outcome.lost) {
            throw request_error(error_kind::deadline_exceeded, "no answer before the deadline");
        }
        if (const pg_result* failed = outcome.first_failure()) {
            throw_statement_error(*failed);
        }
        const replay_state state = read_replay_state(outcome.segments[1], 0);
        if (covers(state, caller.session.position(query.group)) == coverage::lost) {
            throw request_error(error_kind::session_lost,
                                "the session's last write was dropped by a change of primary");
        }
        // The answer may show a write that nobody has acknowledged yet: it waits for that write.
        const auto confirmed = co_await group->confirm({lease.term, state.offset}, caller.deadline);
        if (confirmed == confirmation_result::undecided) {
            throw request_error(error_kind::deadline_exceeded,
                                "what the read saw was not confirmed before the deadline");
        }
        if (confirmed == confirmation_result::confirmed) {
            m_metrics.count_read(caller.tenant.name, false);
            co_return answer(caller, caller.session, outcome.segments[0][1], "primary");
        }
    }
}

task<http_answer> query_service::write_once(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    primary_lease lease = co_await group->acquire_primary(caller.tenant.name, caller.deadline);
    const pg_outcome outcome = co_await lease.connection->run(
        batch_of(as_workspace(caller.tenant.name, query.statement), position_segment()),
        caller.deadline);
    lease.connection.release();
    if (outcome.lost) {
        throw request_error(error_kind::outcome_unknown,
                            "the connection to the primary was lost while the statement ran");
    }
    if (const pg_result* failed = outcome.first_failure()) {
        throw_statement_error(*failed);
    }
    const log_position position = position_of(outcome, 1, lease.term);
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
    co_return answer(caller, caller.session.advanced(query.group, position), outcome.segments[0][1],
                     "primary");
}

task<http_answer> query_service::write_idempotent(caller_context caller, caller_query query) {
    const auto group = group_for(caller, query.group);
    bool sent = false;
    while (true) {
        try {
            auto answered = co_await attempt_idempotent(caller, query, group);
            if (answered) {
                co_return std::move(*answered);
            }
        } catch (const request_error& error) {
            // An earlier attempt may have had its effect: "not run" would be a guess then.
            const bool refusal = error.outcome() == run_outcome::not_run &&
                                 error.kind() != error_kind::statement_failed &&
                                 error.kind() != error_kind::idempotency_mismatch;
            if (sent && refusal) {
                throw request_error(error_kind::outcome_unknown, error.what());
            }
            throw;
        }
        sent = true;
        if (event_loop::now() >= caller.deadline) {
            throw request_error(error_kind::outcome_unknown,
                                "no attempt was confirmed before the deadline");
        }
        co_await sleep_for(m_loop, retry_pause);
    }
}

// Nothing when the attempt's outcome is not known: the key makes another one safe.
task<std::optional<http_answer>>
query_service::attempt_idempotent(caller_context caller, caller_query query,
                                  std::shared_ptr<upstream_group> group) {
    primary_lease lease = co_await group->acquire_primary(caller.tenant.name, caller.deadline);
    pg_segment first{{"BEGIN", {}},
                     {"INSERT INTO bronzeplank_request (workspace, request_key, fingerprint, "
                      "answer) VALUES ($1, $2, $3, '')",
                      {caller.tenant.name, caller.idempotency_key, fingerprint_of(query)}}};
    const std::size_t key_statement = first.size() - 1;
    const std::size_t caller_statement_index = first.size() + 1;
    for (auto& statement : as_workspace(caller.tenant.name, query.statement)) {
        first.push_back(std::move(statement));
    }
    const pg_outcome begun = co_await lease.connection->run(batch_of(first), caller.deadline);
    if (begun.lost) {
        co_return std::nullopt;
    }
    if (const pg_result* failed = begun.first_failure()) {
        const bool repeat =
            failed == &begun.segments[0][key_statement] && failed->sqlstate == unique_violation;
        const pg_result copy = *failed;
        pg_segment rollback{{"ROLLBACK", {}}};
        co_await lease.connection->run(batch_of(rollback), caller.deadline);
        if (repeat) {
            co_return co_await recorded_answer(caller, query, group, std::move(lease));
        }
        throw_statement_error(copy);
    }
    const pg_result& result = begun.segments[0][caller_statement_index];
    const std::string recorded = result_json(result);
    pg_segment second{
        {"UPDATE bronzeplank_request SET answer = $1 WHERE workspace = $2 AND request_key = $3",
         {recorded, caller.tenant.name, caller.idempotency_key}},
        {"COMMIT", {}}};
    const pg_outcome ended =
        co_await lease.connection->run(batch_of(second, position_segment()), caller.deadline);
    lease.connection.release();
    if (!ended.succeeded(0) || !ended.succeeded(1)) {
        co_return std::nullopt;
    }
    const log_position position = position_of(ended, 1, lease.term);
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
                       {caller.tenant.name, caller.idempotency_key}}};
    const pg_outcome outcome =
        co_await lease.connection->run(batch_of(lookup, position_segment()), caller.deadline);
    lease.connection.release();
    if (!outcome.succeeded(0) || !outcome.succeeded(1) || outcome.segments[0][0].rows.empty()) {
        co_return std::nullopt;
    }
    const pg_result& row = outcome.segments[0][0];
    if (row.field(0, 0) != fingerprint_of(query)) {
        throw request_error(error_kind::idempotency_mismatch,
                            "the idempotency key was used for another request");
    }
    // What is recorded here may itself not be on a majority yet.
    const log_position position = position_of(outcome, 1, lease.term);
    if (co_await group->confirm(position, caller.deadline) != confirmation_result::confirmed) {
        co_return std::nullopt;
    }
    co_return http_answer{200, answer_json(row.field(0, 1), "primary", true),
                          encode_session(caller, caller.session.advanced(query.group, position))};
}

} // namespace bronzeplank
