/// \file
/// The HTTP server for callers and operators, on libevhtp.
#pragma once

#include "bronzeplank/settings.hpp"
#include "edge/memory_guard.hpp"
#include "runtime/task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace bronzeplank {

/// A received request. Absent headers are empty.
struct http_request {
    std::string method;
    std::string path;
    std::string body;
    std::string authorization;
    std::string session;
    std::string idempotency_key;
    std::string deadline;
    std::string staleness;
};

/// The answer to a request.
struct http_answer {
    int status = 200;
    std::string body;
    std::string session;
    std::string content_type = "application/json";
};

/// The answers to requests that don't reach the handler.
struct http_refusals {
    /// The body exceeds the limit.
    http_answer too_large;
    /// The budget has no room for another running request.
    http_answer overloaded;
};

/// Listens on one address and passes each complete request to the handler. It limits the size of a
/// head and a body, the number of connections and the time that a client may take to send a
/// request. When the guard's budget is short, it closes the connection whose body takes the most.
/// Usage: `http_server server(loop, address, limits, oversized, handler); ... server.close();`
class http_server {
public:
    using handler = std::function<task<http_answer>(http_request)>;

    /// \param guard accounts for bodies and running requests; not used if null
    /// \throws std::runtime_error when the address cannot be listened on
    http_server(event_loop& loop, const endpoint& listen, const host_limits& limits,
                http_refusals refusals, handler handle_request, memory_guard* guard = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Stops listening; running requests continue.
    void close();

    int open_connections() const { return static_cast<int>(m_connections.size()); }
    int running_requests() const { return m_running_requests; }

private:
    struct callbacks;
    struct connection;
    friend struct callbacks;

    task<void> serve_request(evhtp_request* request, http_request parsed_request, std::size_t cost);
    void close_late_connections();

    host_limits m_limits;
    http_refusals m_refusals;
    std::string m_oversized_mark;
    handler m_handler;
    evhtp* m_server;
    bool m_listening = false;
    std::map<const evhtp_connection*, std::unique_ptr<connection>> m_connections;
    event_loop& m_loop;
    memory_guard* m_guard;
    timer m_late_timer;
    int m_running_requests = 0;
};

} // namespace bronzeplank
