#include "service/transaction_service.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <array>
#include <fmt/format.h>
#include <sodium.h>

namespace bronzeplank {

namespace {

constexpr std::size_t id_bytes = 16;
constexpr std::chrono::milliseconds expiry_check_interval{100};

std::string random_id(const std::string& host) {
    std::array<unsigned char, id_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(id_bytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return host + "." + hex;
}

std::string read_group(const std::string& body) {
    try {
        const rapidjson::Document document = internal::parse_json(body);
        auto object = internal::json_node(document, "").object();
        std::string group = object.required("database").name();
        object.finish();
        return group;
    } catch (const input_error& error) {
        throw request_error(error_kind::malformed_request, error.what());
    }
}

pg_segment single_statement(const char* text) {
    pg_segment segment;
    segment.push_back({text, {}});
    return segment;
}

// Marks the transaction as in use while a request runs in it.
class busy_guard {
public:
    explicit busy_guard(bool& flag) : m_flag(flag) { m_flag = true; }
    ~busy_guard() { m_flag = false; }
    busy_guard(const busy_guard&) = delete;
    busy_guard& operator=(const busy_guard&) = delete;

private:
    bool& m_flag;
};

} // namespace

transaction_service::transaction_service(kernel& services, const settings& host)
    : m_loop(services.loop()), m_host(host),
      m_queries(services.find<query_service>(query_service::service_name)),
      m_rates(services.find<rate_service>(rate_service::service_name)) {
    services.add(std::string(service_name), *this);
    spawn(expire_idle());
}

std::string transaction_service::owning_host(const std::string& id) {
    const auto dot = id.rfind('.');
    return dot == std::string::npos ? "" : id.substr(0, dot);
}

task<http_answer> transaction_service::open(http_request request) {
    const caller_context caller = m_queries.admit(request);
    const std::string name = read_group(request.body);
    const auto group = m_queries.group_for(caller, name);
    co_await m_rates.take_token(caller.workspace_config, caller.deadline);
    primary_lease lease =
        co_await group->acquire_primary(caller.workspace_config.name, caller.deadline, true);
    pg_segment begin{{"BEGIN", {}},
                     {fmt::format("SET ROLE \"{}\"", caller.workspace_config.name), {}}};
    const pg_outcome begin_outcome =
        co_await lease.connection->run(batch_of(begin), caller.deadline);
    if (!begin_outcome.succeeded(0)) {
        // BEGIN may have succeeded: the connection would be pooled inside a failed transaction.
        lease.connection->close("the transaction could not be opened");
        throw request_error(error_kind::no_primary, "the transaction could not be opened");
    }
    const std::string id = random_id(m_host.host);
    const auto open = std::make_shared<open_transaction>();
    open->workspace = caller.workspace_config.name;
    open->group = name;
    open->lease = std::move(lease);
    open->last_used = event_loop::now();
    m_open[id] = open;
    co_return http_answer{201, fmt::format(R"({{"transaction":"{}"}})", id),
                          m_queries.encode_session(caller, caller.session)};
}

std::shared_ptr<transaction_service::open_transaction>
transaction_service::find(const caller_context& caller, const std::string& id) {
    const auto found = m_open.find(id);
    // Another workspace cannot tell this transaction from one that does not exist.
    if (found == m_open.end() || found->second->workspace != caller.workspace_config.name) {
        throw request_error(error_kind::transaction_gone,
                            "the transaction does not exist or was rolled back");
    }
    if (found->second->busy) {
        throw request_error(error_kind::conflict,
                            "another request is still running in this transaction");
    }
    return found->second;
}

task<http_answer> transaction_service::run_action(http_request request, std::string id,
                                                  std::string action) {
    const caller_context caller = m_queries.admit(request);
    const auto open = find(caller, id);
    const busy_guard guard(open->busy);
    open->last_used = event_loop::now();
    if (action == "query") {
        co_return co_await query(caller, open, id, request.body);
    }
    m_open.erase(id);
    if (action == "commit") {
        co_return co_await commit(caller, open);
    }
    const pg_outcome end_outcome = co_await open->lease.connection->run(
        batch_of(single_statement("ROLLBACK"), single_statement("RESET ROLE")), caller.deadline);
    if (!end_outcome.succeeded(0) || !end_outcome.succeeded(1)) {
        open->lease.connection->close("the rollback failed or was not answered");
    }
    open->lease.connection.release();
    // PostgreSQL rolls back the transaction of a closed connection.
    co_return http_answer{200, R"({"outcome":"not_run"})",
                          m_queries.encode_session(caller, caller.session)};
}

task<http_answer> transaction_service::query(caller_context caller,
                                             std::shared_ptr<open_transaction> open, std::string id,
                                             std::string body) {
    const caller_query request = read_query(body, false);
    co_await m_rates.take_token(caller.workspace_config, caller.deadline);
    pg_segment segment{{request.statement.text, request.statement.parameters}};
    const pg_outcome outcome =
        co_await open->lease.connection->run(batch_of(segment), caller.deadline);
    open->last_used = event_loop::now();
    if (outcome.lost) {
        m_open.erase(id);
        throw request_error(
            error_kind::transaction_gone,
            "the connection to the primary was lost; the transaction was rolled back");
    }
    if (const pg_result* failed = outcome.first_failure()) {
        throw_statement_error(*failed);
    }
    co_return m_queries.make_answer(caller, caller.session, outcome.segments[0][0], "primary");
}

task<http_answer> transaction_service::commit(caller_context caller,
                                              std::shared_ptr<open_transaction> open) {
    const auto group = m_queries.group_for(caller, open->group);
    const pg_outcome end_outcome = co_await open->lease.connection->run(
        batch_of(single_statement("COMMIT"), single_statement("SELECT pg_current_wal_lsn()"),
                 single_statement("RESET ROLE")),
        caller.deadline);
    const std::uint64_t term = open->lease.term;
    open->lease.connection.release();
    if (end_outcome.lost || !end_outcome.succeeded(1)) {
        throw request_error(error_kind::outcome_unknown,
                            "the connection to the primary was lost during the commit");
    }
    if (const pg_result* failed = end_outcome.first_failure()) {
        throw_statement_error(*failed);
    }
    if (end_outcome.segments[0][0].tag != "COMMIT") {
        throw request_error(error_kind::statement_failed,
                            "an earlier statement failed; the transaction was rolled back");
    }
    const log_position position{term,
                                parse_offset(end_outcome.segments[1][0].field(0, 0)).value_or(0)};
    const auto confirmed = co_await group->confirm(position, caller.deadline);
    if (confirmed == confirmation_result::superseded) {
        throw request_error(error_kind::outcome_unknown,
                            "the primary changed before the transaction was confirmed");
    }
    if (confirmed == confirmation_result::undecided) {
        throw request_error(error_kind::not_confirmed,
                            "the transaction was not confirmed before the deadline");
    }
    co_return http_answer{
        200, R"({"outcome":"ran"})",
        m_queries.encode_session(caller, caller.session.advanced(open->group, position))};
}

task<void> transaction_service::expire_idle() {
    while (true) {
        const time_point expiry_threshold =
            event_loop::now() - m_host.limits.transaction_idle_timeout;
        for (auto item = m_open.begin(); item != m_open.end();) {
            if (item->second->busy || item->second->last_used > expiry_threshold) {
                ++item;
                continue;
            }
            // Closing the connection always rolls back; the pool opens a replacement.
            item->second->lease.connection->close("the transaction exceeded its idle timeout");
            item = m_open.erase(item);
        }
        co_await sleep_for(m_loop, expiry_check_interval);
    }
}

} // namespace bronzeplank
