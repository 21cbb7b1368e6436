#include "load/caller.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <fmt/format.h>

namespace bronzeplank::load {

namespace {

constexpr std::chrono::seconds request_deadline{5};
constexpr std::chrono::seconds client_timeout{8};
constexpr std::chrono::seconds write_retry_timeout{15};
constexpr std::chrono::milliseconds retry_delay{20};
constexpr const char* recent_lookup_max_staleness_ms = "500";
// On average one request in this many goes to a newly chosen host.
constexpr std::uint64_t host_change_interval = 5;

void read_outcome(const http_reply& reply, request_attempt& attempt) {
    attempt.status = reply.status;
    if (reply.status == 0) {
        attempt.error = "no_answer";
        attempt.outcome = run_outcome::unknown;
        return;
    }
    if (reply.status < 300) {
        attempt.outcome = run_outcome::ran;
        attempt.served_by_replica =
            reply.body.find(R"("served_by":"replica")") != std::string::npos;
        return;
    }
    attempt.error = "malformed_answer";
    try {
        const rapidjson::Document document = internal::parse_json(reply.body);
        auto error = internal::json_node(document, "").object().required("error").object();
        attempt.error = error.required("code").text();
        const std::size_t outcome = error.required("outcome").one_of({"not_run", "ran", "unknown"});
        attempt.outcome = static_cast<run_outcome>(outcome);
    } catch (const input_error&) {
        attempt.outcome = run_outcome::unknown;
    }
}

// With an empty group the body names no database, as in a query inside a transaction.
std::string query_body(const std::string& group, const std::string& statement,
                       const std::vector<std::string>& parameters) {
    std::string list;
    for (const auto& parameter : parameters) {
        list += (list.empty() ? "" : ",") + internal::quoted(parameter);
    }
    const std::string database =
        group.empty() ? "" : fmt::format("\"database\":{},", internal::quoted(group));
    return fmt::format("{{{}\"statement\":{},\"parameters\":[{}]}}", database,
                       internal::quoted(statement), list);
}

bool is_permanent_error(const request_attempt& attempt) {
    return attempt.error == "rate_limited" || attempt.error == "unauthenticated" ||
           attempt.error == "statement_failed" || attempt.error == "forbidden" ||
           attempt.error == "session_lost" || attempt.error == "malformed_request";
}

} // namespace

caller::caller(event_loop& loop, std::string name, workspace_history& history,
               const std::vector<std::string>& groups, const std::vector<endpoint>& hosts)
    : m_loop(loop), m_name(std::move(name)), m_history(history), m_groups(groups), m_hosts(hosts) {}

void caller::enqueue(const scheduled_request& request) {
    m_queue.push_back(request);
    if (!m_processing) {
        m_processing = true;
        spawn(process_queue());
    }
}

task<void> caller::process_queue() {
    while (!m_queue.empty()) {
        const scheduled_request request = m_queue.front();
        m_queue.pop_front();
        choose_host(request.random_value);
        switch (request.kind) {
        case request_kind::booking:
            co_await insert_booking(request);
            break;
        case request_kind::lookup:
        case request_kind::recent_lookup:
            co_await look_up_bookings(request);
            break;
        case request_kind::log:
            co_await append_log_entry(request);
            break;
        case request_kind::transaction:
            co_await run_transaction(request);
            break;
        }
    }
    m_processing = false;
}

void caller::choose_host(std::uint64_t random_value) {
    if (m_session_token.empty() || random_value % host_change_interval == 0) {
        m_host_index = (random_value / host_change_interval) % m_hosts.size();
    }
}

http_client& caller::current_client() {
    auto& cached = m_clients[m_host_index];
    if (cached == nullptr) {
        cached = std::make_unique<http_client>(m_loop, m_hosts[m_host_index]);
    }
    return *cached;
}

const std::string& caller::choose_group(std::uint64_t random_value) const {
    return m_groups[(random_value >> 32U) % m_groups.size()];
}

task<caller::exchange> caller::send(scheduled_request request, std::string group, std::string path,
                                    std::string body, std::map<std::string, std::string> headers) {
    headers["Authorization"] = "Bearer " + m_history.load.key;
    headers["Bronzeplank-Deadline-Ms"] = std::to_string(to_milliseconds(request_deadline));
    if (!m_session_token.empty()) {
        headers["Bronzeplank-Session"] = m_session_token;
    }
    exchange completed;
    completed.attempt.arrived_at = request.arrived_at;
    completed.attempt.kind = request.kind;
    completed.attempt.group = std::move(group);
    completed.attempt.sent_at = event_loop::now();
    http_client& connection = current_client();
    completed.reply = co_await connection.post(std::move(path), std::move(headers), std::move(body),
                                               client_timeout);
    completed.attempt.answered_at = event_loop::now();
    read_outcome(completed.reply, completed.attempt);
    if (!completed.reply.session.empty() && completed.attempt.error.empty()) {
        m_session_token = completed.reply.session;
    }
    if (completed.attempt.error == "session_lost") {
        // A new session gives no read-your-writes guarantee for the writes of the lost one.
        m_session_token.clear();
        m_acknowledged_bookings.clear();
    }
    if (completed.reply.status == 0 || completed.attempt.error == "stopping") {
        m_host_index = (m_host_index + 1) % m_hosts.size();
    }
    m_history.attempts.push_back(completed.attempt);
    co_return completed;
}

// Retries a write under its idempotency key until it succeeds, fails permanently or times out. Once
// the outcome of an attempt is unknown, a later `not_run` does not say that the write had no
// effect.
task<run_outcome> caller::write_with_retries(scheduled_request request, std::string group,
                                             std::string key, std::string body) {
    const time_point retry_deadline = event_loop::now() + write_retry_timeout;
    bool outcome_unknown = false;
    while (true) {
        std::map<std::string, std::string> headers{{"Idempotency-Key", key}};
        const exchange completed = co_await send(request, group, "/v1/query", body, headers);
        if (completed.attempt.error.empty()) {
            co_return run_outcome::ran;
        }
        outcome_unknown = outcome_unknown || completed.attempt.outcome == run_outcome::unknown;
        const bool stop =
            is_permanent_error(completed.attempt) || event_loop::now() > retry_deadline;
        if (stop) {
            co_return outcome_unknown ? run_outcome::unknown : run_outcome::not_run;
        }
        co_await sleep_for(m_loop, retry_delay);
    }
}

task<void> caller::insert_booking(scheduled_request request) {
    const std::string group = choose_group(request.random_value);
    const std::string id = fmt::format("{}-{}", m_name, ++m_last_booking_number);
    const std::string body =
        query_body(group, "INSERT INTO booking (id, caller) VALUES ($1, $2)", {id, m_name});
    const run_outcome outcome = co_await write_with_retries(request, group, id, body);
    m_history.bookings[id] = {group, outcome};
    m_acknowledged_bookings[group] += outcome == run_outcome::ran ? 1 : 0;
}

task<void> caller::look_up_bookings(scheduled_request request) {
    const std::string group = choose_group(request.random_value);
    const std::uint64_t nonce = request.random_value >> 1U;
    const std::uint64_t acknowledged_count = m_acknowledged_bookings[group];
    const std::string body = query_body(group, "SELECT $1, count(*) FROM booking WHERE caller = $2",
                                        {std::to_string(nonce), m_name});
    std::map<std::string, std::string> headers;
    if (request.kind == request_kind::recent_lookup) {
        headers["Bronzeplank-Max-Staleness-Ms"] = recent_lookup_max_staleness_ms;
    }
    const exchange completed = co_await send(request, group, "/v1/query", body, headers);
    if (completed.attempt.error.empty()) {
        check_lookup(completed, nonce, acknowledged_count);
    }
}

void caller::check_lookup(const exchange& completed, std::uint64_t nonce,
                          std::uint64_t acknowledged_count) {
    try {
        const rapidjson::Document document = internal::parse_json(completed.reply.body);
        auto result = internal::json_node(document, "").object().required("result").object();
        const auto row = result.required("rows").array().at(0).array();
        m_history.mismatched_answers += row.at(0).text() == std::to_string(nonce) ? 0 : 1;
        m_history.stale_reads += std::stoull(row.at(1).text()) < acknowledged_count ? 1 : 0;
    } catch (const std::exception&) {
        // The answer belongs to another request or is incomplete.
        ++m_history.mismatched_answers;
    }
}

task<void> caller::append_log_entry(scheduled_request request) {
    // Entry n + 1 may be sent only after entry n is known to be stored, since the check expects the
    // entries in order.
    if (m_log_outcome_unknown) {
        co_return;
    }
    const std::string group = m_groups[std::hash<std::string>()(m_name) % m_groups.size()];
    const std::string body = query_body(group, "INSERT INTO delivery (log, entry) VALUES ($1, $2)",
                                        {m_name, std::to_string(m_next_log_entry)});
    const std::string key = fmt::format("{}-log-{}", m_name, m_next_log_entry);
    const run_outcome outcome = co_await write_with_retries(request, group, key, body);
    if (outcome == run_outcome::ran) {
        m_history.last_acknowledged_entries[m_name] = m_next_log_entry++;
    }
    m_log_outcome_unknown = outcome == run_outcome::unknown;
}

task<void> caller::run_transaction(scheduled_request request) {
    const std::string group = choose_group(request.random_value);
    const std::string open_body = fmt::format(R"json({{"database":"{}"}})json", group);
    const exchange opened = co_await send(request, group, "/v1/transactions", open_body, {});
    if (!opened.attempt.error.empty()) {
        co_return;
    }
    const rapidjson::Document document = internal::parse_json(opened.reply.body);
    const std::string path =
        "/v1/transactions/" +
        internal::json_node(document, "").object().required("transaction").text();
    const std::string id = fmt::format("{}-{}", m_name, ++m_last_booking_number);
    const std::string body =
        query_body("", "INSERT INTO booking (id, caller) VALUES ($1, $2)", {id, m_name});
    booking_write& booking = m_history.bookings[id];
    booking = {group, run_outcome::not_run};
    // The rest of the transaction may go to another host, which must relay it.
    m_host_index = (m_host_index + request.random_value % 2) % m_hosts.size();
    const exchange inserted = co_await send(request, group, path + "/query", body, {});
    if (!inserted.attempt.error.empty()) {
        co_await send(request, group, path + "/rollback", "", {});
        co_return;
    }
    const exchange committed = co_await send(request, group, path + "/commit", "", {});
    booking.outcome = committed.attempt.outcome;
    m_acknowledged_bookings[group] += booking.outcome == run_outcome::ran ? 1 : 0;
}

} // namespace bronzeplank::load
