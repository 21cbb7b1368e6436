#include "edge/platform_client.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <event2/http.h>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds call_timeout{1500};
// Added to the wait of a long poll, so that the platform can answer it first.
constexpr std::chrono::seconds long_poll_margin{2};

platform_status status_of(int http_status) {
    switch (http_status) {
    case 200:
        return platform_status::ok;
    case 404:
        return platform_status::not_found;
    case 409:
        return platform_status::conflict;
    default:
        return platform_status::unanswered;
    }
}

// Throws input_error for a malformed object; such an answer is reported as `unanswered`.
platform_object read_object(const rapidjson::Value& value) {
    auto object = internal::json_node(value, "").object();
    platform_object result;
    result.kind = object.required("kind").text();
    result.name = object.required("name").text();
    result.version = static_cast<std::uint64_t>(object.required("version").integer(1, INT64_MAX));
    result.value = internal::to_text(object.required("value").value());
    return result;
}

std::uint64_t read_number(const rapidjson::Value& value, const std::string& name) {
    auto object = internal::json_node(value, "").object();
    return static_cast<std::uint64_t>(object.required(name).integer(0, INT64_MAX));
}

} // namespace

platform_client::platform_client(event_loop& loop, endpoint platform, std::string user_agent)
    : m_loop(loop), m_platform(std::move(platform)), m_user_agent(std::move(user_agent)) {}

task<http_reply> platform_client::call(http_method method, std::string path, std::string body,
                                       duration timeout) {
    ++m_calls;
    evhttp_connection* connection = evhttp_connection_base_new(
        m_loop.base(), nullptr, m_platform.address.c_str(), m_platform.port);
    evhttp_connection_free_on_completion(connection);
    http_exchange request;
    request.method = method;
    request.path = std::move(path);
    request.headers["User-Agent"] = m_user_agent;
    request.headers["Connection"] = "close";
    request.body = std::move(body);
    co_return co_await run_exchange(m_loop, connection, m_platform, std::move(request), timeout);
}

task<platform_read> platform_client::get(std::string kind, std::string name) {
    const http_reply reply = co_await call(
        http_method::get, fmt::format("/v1/objects/{}/{}", kind, name), "", call_timeout);
    platform_read result{status_of(reply.status), {}};
    if (result.status != platform_status::ok) {
        co_return result;
    }
    try {
        result.object = read_object(internal::parse_json(reply.body));
    } catch (const input_error&) {
        result.status = platform_status::unanswered;
    }
    co_return result;
}

task<platform_write> platform_client::put(std::string kind, std::string name,
                                          std::uint64_t expected_version, std::string value) {
    const std::string path =
        fmt::format("/v1/objects/{}/{}?version={}", kind, name, expected_version);
    const http_reply reply = co_await call(http_method::put, path, std::move(value), call_timeout);
    platform_write result{status_of(reply.status), 0};
    if (result.status == platform_status::unanswered) {
        co_return result;
    }
    try {
        result.version = read_number(internal::parse_json(reply.body), "version");
    } catch (const input_error&) {
        result.status = platform_status::unanswered;
    }
    co_return result;
}

task<platform_changes> platform_client::changes(std::uint64_t since, std::string kinds,
                                                duration max_wait) {
    const std::string path = fmt::format("/v1/objects?since={}&kinds={}&wait_ms={}", since, kinds,
                                         to_milliseconds(max_wait));
    const http_reply reply = co_await call(http_method::get, path, "", max_wait + long_poll_margin);
    platform_changes result{status_of(reply.status), 0, {}};
    if (result.status != platform_status::ok) {
        co_return result;
    }
    try {
        const rapidjson::Document document = internal::parse_json(reply.body);
        auto object = internal::json_node(document, "").object();
        result.revision =
            static_cast<std::uint64_t>(object.required("revision").integer(0, INT64_MAX));
        for (const auto& item : object.required("objects").array()) {
            result.objects.push_back(read_object(item.value()));
        }
    } catch (const input_error&) {
        co_return platform_changes();
    }
    co_return result;
}

task<platform_write> platform_client::report_host(std::string host, std::string value) {
    const http_reply reply = co_await call(http_method::put, fmt::format("/v1/hosts/{}", host),
                                           std::move(value), call_timeout);
    co_return platform_write{status_of(reply.status), 0};
}

task<std::string> platform_client::hosts() {
    const http_reply reply = co_await call(http_method::get, "/v1/hosts", "", call_timeout);
    if (reply.status != 200) {
        co_return std::string();
    }
    co_return reply.body;
}

} // namespace bronzeplank
