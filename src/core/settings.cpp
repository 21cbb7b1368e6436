#include "bronzeplank/settings.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <array>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

using internal::json_node;
using internal::json_object;

constexpr std::size_t min_secret_characters = 16;

bool is_ip_address(const std::string& text) {
    return !text.empty() && text.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos;
}

endpoint read_endpoint(const json_node& node) {
    const std::string text = node.text();
    const auto colon = text.rfind(':');
    const std::string expected = "an IP address and a port, such as \"127.0.0.1:8080\"";
    if (colon == std::string::npos || !is_ip_address(text.substr(0, colon))) {
        node.fail(expected);
    }
    const std::string digits = text.substr(colon + 1);
    const bool numeric = !digits.empty() && digits.size() <= 5 &&
                         digits.find_first_not_of("0123456789") == std::string::npos;
    const int port = numeric ? std::stoi(digits) : 0;
    if (port < 1 || port > 65535) {
        node.fail(expected);
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

duration read_milliseconds(json_object& object, const std::string& name, duration fallback) {
    return std::chrono::milliseconds(
        object.integer_or(name, to_milliseconds(fallback), 1, 86'400'000));
}

host_limits read_limits(const json_node& node) {
    auto object = node.object();
    const host_limits defaults;
    host_limits limits;
    limits.body_bytes = static_cast<std::size_t>(object.integer_or(
        "body_bytes", static_cast<std::int64_t>(defaults.body_bytes), 1024, 64 << 20));
    limits.connections =
        static_cast<int>(object.integer_or("connections", defaults.connections, 1, 1'000'000));
    limits.waiting_requests = static_cast<int>(
        object.integer_or("waiting_requests", defaults.waiting_requests, 1, 1'000'000));
    limits.memory_mb = static_cast<std::size_t>(
        object.integer_or("memory_mb", static_cast<std::int64_t>(defaults.memory_mb), 32, 1 << 20));
    limits.receive_timeout =
        read_milliseconds(object, "receive_timeout_ms", defaults.receive_timeout);
    limits.request_timeout =
        read_milliseconds(object, "request_timeout_ms", defaults.request_timeout);
    limits.transaction_idle_timeout =
        read_milliseconds(object, "transaction_idle_timeout_ms", defaults.transaction_idle_timeout);
    limits.drain_time = read_milliseconds(object, "drain_time_ms", defaults.drain_time);
    limits.balancer_time = read_milliseconds(object, "balancer_time_ms", defaults.balancer_time);
    object.finish();
    return limits;
}

} // namespace

std::string endpoint::to_text() const {
    return fmt::format("{}:{}", address, port);
}

settings read_settings(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    auto object = json_node(document, "").object();
    settings result;
    result.host = object.required("host").name();
    result.failure_domain = object.required("failure_domain").name();
    result.callers = read_endpoint(object.required("callers"));
    result.operators = read_endpoint(object.required("operators"));
    result.peers = read_endpoint(object.required("peers"));
    result.platform = read_endpoint(object.required("platform"));
    if (const auto known = object.optional("known_peers")) {
        for (const auto& node : known->array()) {
            result.known_peers.push_back(read_endpoint(node));
        }
    }
    const json_node secret = object.required("session_secret");
    result.secret.value = secret.text();
    if (result.secret.value.size() < min_secret_characters) {
        secret.fail("at least 16 characters", "fewer");
    }
    if (const auto limits = object.optional("limits")) {
        result.limits = read_limits(*limits);
    }
    object.finish();
    return result;
}

} // namespace bronzeplank
