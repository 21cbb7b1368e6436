/// \file
/// An HTTP client for the command line and the load tool.
#pragma once

#include "edge/http_exchange.hpp"

#include <map>
#include <string>

namespace bronzeplank {

/// A persistent connection to one address that runs one request at a time. The next request reopens
/// a connection that broke. Usage: `co_await client.post("/v1/query", headers, body, 2s);`
class http_client {
public:
    http_client(event_loop& loop, const endpoint& target);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a GET request; the reply has status 0 when none arrives within the timeout.
    task<http_reply> get(std::string path, duration timeout);
    /// Sends a POST request; the reply has status 0 when none arrives within the timeout.
    task<http_reply> post(std::string path, std::map<std::string, std::string> headers,
                          std::string body, duration timeout);

private:
    event_loop& m_loop;
    endpoint m_target;
    evhttp_connection* m_connection;
};

} // namespace bronzeplank
