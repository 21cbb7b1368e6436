/// \file
/// The settings of one host: its addresses, failure domain and limits, and the platform's address.
#pragma once

#include "bronzeplank/session_token.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// An IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const endpoint&) const = default;
    std::string to_text() const;
};

/// Limits on the resources that callers' requests can use on a host.
struct host_limits {
    std::size_t body_bytes = 1U << 20U;
    int connections = 4096;
    int waiting_requests = 4096;
    /// The process's memory; half of it is the budget of bytes for requests.
    std::size_t memory_mb = 256;
    /// The time within which a request must be received completely.
    duration receive_timeout = std::chrono::seconds(30);
    duration request_timeout = std::chrono::seconds(10);
    duration transaction_idle_timeout = std::chrono::seconds(5);
    duration drain_time = std::chrono::seconds(10);
    /// The time for which the listener stays open after the host has reported that it is not ready,
    /// so that load balancers stop sending requests to it first.
    duration balancer_time = std::chrono::seconds(1);
    bool operator==(const host_limits&) const = default;
};

/// The content of a host's settings file.
struct settings {
    std::string host;
    std::string failure_domain;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    endpoint platform;
    /// Peers to contact when the platform lists none, as a new host may start during its outage.
    std::vector<endpoint> known_peers;
    session_secret secret;
    host_limits limits;
    bool operator==(const settings&) const = default;
};

/// Parses and validates settings (JSON with comments).
/// \throws input_error naming the path, what was expected and what was found.
settings read_settings(std::string_view text);

} // namespace bronzeplank
