/// \file
/// The configuration that all session hosts share, and the instances that the platform lists.
#pragma once

#include "bronzeplank/settings.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// Which writes a read must see.
enum class read_consistency {
    /// All writes acknowledged before the read began.
    strict,
    /// All writes acknowledged at least the route's `max_staleness` before the read began.
    bounded_staleness,
    /// As bounded_staleness, and all writes of its own session.
    read_your_writes
};

/// The service parameters of one database.
struct database_route {
    std::string database;
    std::string group;
    read_consistency consistency = read_consistency::strict;
    duration statement_timeout{};
    /// The target latency of a whole operation.
    duration latency_objective{};
    duration max_staleness{};
    /// 0 is the highest priority.
    int priority = 0;
    /// Callers without a key are admitted.
    bool allows_anonymous = false;
    bool operator==(const database_route&) const = default;
};

/// A workspace's rate limit over all hosts together, in operations.
struct workspace_policy {
    std::string name;
    double rate_per_second = 0;
    double burst = 0;
    bool operator==(const workspace_policy&) const = default;
};

struct group_policy {
    std::string name;
    /// The number of connections that one instance accepts from all hosts together.
    int max_connections = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    int sync_replicas = 0;
    bool operator==(const group_policy&) const = default;
};

/// One version of the configuration; immutable once it is parsed.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::map<std::string, database_route, std::less<>> routes;
    std::map<std::string, group_policy, std::less<>> groups;
    std::map<std::string, workspace_policy, std::less<>> workspaces;
    /// The name of the workspace of each key.
    std::map<std::string, std::string, std::less<>> workspace_by_key;
    /// A transaction that is idle for longer may be ended.
    duration transaction_idle_timeout{};
    bool operator==(const fleet_configuration&) const = default;
};

/// An instance of a database group as the platform lists it.
struct upstream_instance {
    std::string id;
    std::string group;
    std::string failure_domain;
    endpoint address;
    /// The number of statements that it runs at the same time.
    int slots = 1;
    /// The instance is draining: it stops soon and accepts no new work.
    bool leaving = false;
    /// The platform lists it as the primary.
    bool says_primary = false;
    /// The time of its start, in Unix milliseconds.
    std::int64_t born_ms = 0;
    /// Rises with each entry that the instance writes after a start; 0 if it is not known.
    std::uint64_t sequence = 0;
    bool operator==(const upstream_instance&) const = default;
};

/// All listed instances, by id.
using upstream_list = std::map<std::string, upstream_instance, std::less<>>;

} // namespace bronzeplank
