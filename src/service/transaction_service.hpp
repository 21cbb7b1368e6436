/// \file
/// Transactions that span several requests.
#pragma once

#include "service/query_service.hpp"

#include <map>
#include <memory>
#include <string>

namespace bronzeplank {

/// Manages open transactions, each with its own connection to a primary. A transaction is held by
/// the host that opened it, and its id contains the name of that host. It belongs to one workspace,
/// runs one request at a time, and is rolled back when it exceeds the idle timeout or its
/// connection fails. Usage: `co_return co_await transactions.open(request);`
class transaction_service {
public:
    static constexpr std::string_view service_name = "transactions";

    transaction_service(kernel& services, const settings& host);

    /// Serves `POST /v1/transactions`.
    task<http_answer> open(http_request request);
    /// Serves `POST /v1/transactions/<id>/query|commit|rollback`.
    task<http_answer> run_action(http_request request, std::string id, std::string action);

    /// The host that holds the transaction, taken from its id; empty when the id is malformed.
    static std::string owning_host(const std::string& id);

    std::size_t open_count() const { return m_open.size(); }

private:
    struct open_transaction {
        std::string workspace;
        std::string group;
        primary_lease lease;
        time_point last_used;
        bool busy = false;
    };

    std::shared_ptr<open_transaction> find(const caller_context& caller, const std::string& id);
    task<http_answer> query(caller_context caller, std::shared_ptr<open_transaction> open,
                            std::string id, std::string body);
    task<http_answer> commit(caller_context caller, std::shared_ptr<open_transaction> open);
    task<void> expire_idle();

    event_loop& m_loop;
    const settings& m_host;
    query_service& m_queries;
    rate_service& m_rates;
    std::map<std::string, std::shared_ptr<open_transaction>> m_open;
};

} // namespace bronzeplank
