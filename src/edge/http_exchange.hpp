/// \file
/// Sends an HTTP request over a libevent connection as a coroutine.
#pragma once

#include "bronzeplank/settings.hpp"
#include "runtime/task.hpp"

#include <map>
#include <string>

struct evhttp_connection;

namespace bronzeplank {

/// The reply to a request; status 0 when none arrived.
struct http_reply {
    int status = 0;
    std::string body;
    std::string session;
    /// The header that the request asked for; empty if the reply has none.
    std::string header;
};

enum class http_method { get, put, post };

/// A request to send.
struct http_exchange {
    http_method method = http_method::get;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The name of a header that the reply is to contain.
    std::string reply_header{};
    /// Closes the connection when the peer acknowledges nothing for this long; 0 keeps the defaults
    /// of the system.
    duration dead_peer_timeout{};
};

/// Sends the request and waits for the reply. Errors of the peer or the network never throw; the
/// reply has status 0 then.
task<http_reply> run_exchange(event_loop& loop, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration timeout);

/// The same with a value that the caller can set to end the wait, which cancels the request.
task<http_reply> run_exchange(event_loop& loop, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration timeout, oneshot<http_reply> done);

} // namespace bronzeplank
