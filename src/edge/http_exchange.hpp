/// \file
/// One HTTP request over a libevent connection, as a coroutine.
#pragma once

#include "bronzeplank/settings.hpp"
#include "runtime/task.hpp"

#include <map>
#include <string>

struct evhttp_connection;

namespace bronzeplank {

/// An answer; status 0 when there was none.
struct http_reply {
    int status = 0;
    std::string body;
    std::string session;
};

enum class http_method { get, put, post };

/// What is sent.
struct http_exchange {
    http_method method = http_method::get;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// A far end that has vanished for this long ends the connection; 0 leaves it to the system.
    duration silence{};
};

/// Sends the request and awaits the answer; it never throws for a peer that fails.
task<http_reply> run_exchange(event_loop& loop, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration limit);

} // namespace bronzeplank
