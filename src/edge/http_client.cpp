#include "edge/http_client.hpp"

#include <event2/http.h>

namespace bronzeplank {

http_client::http_client(event_loop& loop, const endpoint& target)
    : m_loop(loop), m_target(target),
      m_connection(
          evhttp_connection_base_new(loop.base(), nullptr, target.address.c_str(), target.port)) {}

http_client::~http_client() {
    evhttp_connection_free(m_connection);
}

task<http_reply> http_client::get(std::string path, duration timeout) {
    http_exchange request;
    request.path = std::move(path);
    co_return co_await run_exchange(m_loop, m_connection, m_target, std::move(request), timeout);
}

task<http_reply> http_client::post(std::string path, std::map<std::string, std::string> headers,
                                   std::string body, duration timeout) {
    http_exchange request{http_method::post, std::move(path), std::move(headers), std::move(body)};
    co_return co_await run_exchange(m_loop, m_connection, m_target, std::move(request), timeout);
}

} // namespace bronzeplank
