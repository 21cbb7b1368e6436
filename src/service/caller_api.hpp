/// \file
/// The HTTP routes for callers, and the relay of requests to the host that holds their transaction.
#pragma once

#include "service/membership.hpp"
#include "service/transaction_service.hpp"

#include <map>
#include <string>

namespace bronzeplank {

/// Dispatches each request to the service of its route. A request in a transaction that another
/// host holds is relayed to that host over the peer bus, and its answer is returned the same way.
/// Usage: `http_answer answer = co_await api.serve(request);`
class caller_api {
public:
    caller_api(kernel& services, const settings& host);

    /// Serves one request; failures are returned as error answers, never thrown.
    task<http_answer> serve(http_request request);

    /// Refuses new transactions from now on; open ones may finish.
    void drain() { m_draining = true; }

private:
    struct pending_relay {
        oneshot<http_answer> answer;
    };

    task<http_answer> route(http_request request);
    task<http_answer> relay(http_request request, std::string host);
    void on_relay_message(const wire::envelope& message);
    task<void> serve_relayed(std::string from, std::uint64_t id, http_request request);
    void record_metrics(const http_request& request, const http_answer& answer,
                        duration latency) const;

    event_loop& m_loop;
    const settings& m_host;
    directory& m_directory;
    membership& m_membership;
    query_service& m_queries;
    transaction_service& m_transactions;
    metrics& m_metrics;
    bool m_draining = false;
    std::uint64_t m_next_relay_id = 1;
    std::map<std::uint64_t, pending_relay> m_pending_relays;
};

} // namespace bronzeplank
