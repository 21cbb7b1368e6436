/// \file
/// A simulated PostgreSQL instance for tests: wire protocol, limited concurrency, replication and
/// fault injection.
#pragma once

#include "runtime/event_loop.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace standin {

/// The settings of a simulated instance.
struct upstream_options {
    std::string name;
    std::string failure_domain;
    std::string group;
    std::string address = "127.0.0.1";
    std::uint16_t port = 7200;
    bool primary = false;
    /// The instances of the group, name to port; all listen on `address`.
    std::map<std::string, std::uint16_t> peers;
    /// The instance that a replica replicates from at the start; empty on the primary.
    std::string follow;
    /// The port of the platform; 0 disables the supervisor that restarts a former primary as a
    /// replica.
    std::uint16_t platform_port = 0;
    /// The number of statements that are executed at the same time.
    int slots = 2;
    /// The limit of client connections.
    int connections = 16;
    /// The time to establish a connection.
    int connect_ms = 10;
    /// The execution time of a statement.
    int service_us = 500;
    /// The replay delay of a replica.
    int lag_ms = 5;
    /// The one-way network delay between failure domains.
    int domain_delay_us = 1500;
};

/// Accepts and serves connections until the loop stops.
void run_upstream(bronzeplank::event_loop& loop, const upstream_options& options);

} // namespace standin
