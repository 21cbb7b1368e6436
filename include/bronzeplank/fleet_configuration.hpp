/// \file
/// The configuration that all session hosts share, and the instances that they find.
#pragma once

#include "bronzeplank/settings.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// What a read may miss.
enum class read_consistency {
    /// Nothing that was acknowledged before the read began.
    strict,
    /// What was acknowledged less than the route's staleness ago.
    bounded_staleness,
    /// As bounded_staleness, but nothing that its own session has written.
    read_your_writes
};

/// How sessions of one database are served.
struct database_route {
    std::string database;
    std::string group;
    read_consistency consistency = read_consistency::strict;
    duration statement_timeout{};
    /// The latency that callers expect of a whole operation.
    duration objective{};
    duration max_staleness{};
    /// 0 is served first.
    int priority = 0;
    /// Open to callers without a key.
    bool open = false;
    bool operator==(const database_route&) const = default;
};

/// A workspace's limits over all hosts together, in operations.
struct workspace_policy {
    std::string name;
    double rate_per_second = 0;
    double burst = 0;
    bool operator==(const workspace_policy&) const = default;
};

struct group_policy {
    std::string name;
    /// Connections that one instance takes from all hosts together.
    int max_connections = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    int sync_replicas = 0;
    bool operator==(const group_policy&) const = default;
};

/// One accepted version of the configuration; immutable once read.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::map<std::string, database_route, std::less<>> routes;
    std::map<std::string, group_policy, std::less<>> groups;
    std::map<std::string, workspace_policy, std::less<>> workspaces;
    /// From a key to the name of its workspace.
    std::map<std::string, std::string, std::less<>> key_owners;
    /// A transaction that rests for longer may be ended.
    duration transaction_idle{};
    bool operator==(const fleet_configuration&) const = default;
};

/// An instance of a database group as the platform lists it.
struct upstream_instance {
    std::string id;
    std::string group;
    std::string failure_domain;
    endpoint address;
    /// Statements that it runs at the same time.
    int slots = 1;
    /// It will stop soon and takes no new work.
    bool leaving = false;
    bool says_primary = false;
    /// Unix milliseconds of its start.
    std::int64_t born_ms = 0;
    bool operator==(const upstream_instance&) const = default;
};

/// Everything listed, by id.
using upstream_list = std::map<std::string, upstream_instance, std::less<>>;

} // namespace bronzeplank
