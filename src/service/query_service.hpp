/// \file
/// Authentication, routing and execution of callers' queries.
#pragma once

#include "bronzeplank/caller_request.hpp"
#include "bronzeplank/configuration.hpp"
#include "bronzeplank/session_token.hpp"
#include "edge/http_server.hpp"
#include "runtime/kernel.hpp"
#include "service/directory.hpp"
#include "service/metrics.hpp"
#include "service/rate_service.hpp"

#include <optional>
#include <string>

namespace bronzeplank {

/// An authenticated request: its workspace, session and limits.
struct caller_context {
    workspace workspace_config;
    session_token session;
    time_point deadline;
    std::optional<duration> max_staleness;
    std::string idempotency_key;
};

/// Serves `POST /v1/query`: authenticates the request, counts it against the workspace's rate limit
/// and runs it on a replica that covers the session, or on the primary. A write is answered once a
/// majority has it. A request with an idempotency key takes effect at most once, no matter how
/// often it is sent or which host receives it. Usage: `co_return co_await queries.run(request);`
class query_service {
public:
    static constexpr std::string_view service_name = "query";

    query_service(kernel& services, const settings& host);

    /// Checks the API key, the session token and the headers.
    /// \throws request_error when the key is not valid or a header is malformed.
    caller_context admit(const http_request& request) const;

    /// Counts the request against the rate limit and runs the query.
    task<http_answer> run(http_request request);

    /// The group of that name. \throws request_error of kind forbidden when the workspace may not
    /// use it.
    std::shared_ptr<upstream_group> group_for(const caller_context& caller,
                                              const std::string& name) const;

    /// The answer to a statement that succeeded.
    http_answer make_answer(const caller_context& caller, const session_token& session,
                            const pg_result& result, const std::string& served_by) const;

    std::string encode_session(const caller_context& caller, const session_token& session) const;

private:
    task<http_answer> read(caller_context caller, caller_query query);
    task<std::optional<http_answer>> read_from_replica(caller_context caller, caller_query query,
                                                       std::shared_ptr<upstream_group> group,
                                                       std::string upstream);
    task<http_answer> read_primary(caller_context caller, caller_query query,
                                   std::shared_ptr<upstream_group> group);
    task<http_answer> write_without_key(caller_context caller, caller_query query);
    task<http_answer> write_idempotent(caller_context caller, caller_query query);
    task<std::optional<http_answer>> attempt_idempotent(caller_context caller, caller_query query,
                                                        std::shared_ptr<upstream_group> group);
    task<std::optional<http_answer>> recorded_answer(caller_context caller, caller_query query,
                                                     std::shared_ptr<upstream_group> group,
                                                     primary_lease lease);

    event_loop& m_loop;
    const settings& m_host;
    directory& m_directory;
    rate_service& m_rates;
    metrics& m_metrics;
};

/// The HTTP answer that reports the error to a caller.
http_answer to_http_answer(const request_error& error);

/// Wraps a caller's statement so that it runs under the workspace's database role.
pg_segment with_workspace_role(const std::string& workspace, const caller_statement& statement);

/// \throws request_error of kind statement_failed with the message and SQLSTATE of the result.
[[noreturn]] void throw_statement_error(const pg_result& failed);

} // namespace bronzeplank
