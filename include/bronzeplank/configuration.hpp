/// \file
/// The configuration that all hosts share: database groups, workspaces, failure domains.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// Whether a failure domain or an upstream accepts new work.
enum class service_state { active, draining };

struct failure_domain {
    std::string name;
    service_state state = service_state::active;
    bool operator==(const failure_domain&) const = default;
};

/// One database instance.
struct upstream {
    std::string name;
    std::string failure_domain;
    std::string address;
    std::uint16_t port = 0;
    /// The number of connections that the instance accepts from all hosts together.
    int connections = 0;
    service_state state = service_state::active;
    bool operator==(const upstream&) const = default;
};

/// The instances that replicate one database; one of them is the primary.
struct database_group {
    std::string name;
    std::string database;
    std::string user;
    std::vector<upstream> upstreams;
    bool operator==(const database_group&) const = default;

    const upstream* find_upstream(std::string_view upstream_name) const;
};

/// The rate limit of one workspace over all hosts together, and the database groups it may use.
struct workspace {
    std::string name;
    /// Requests per second, over all hosts together.
    double rate = 0;
    /// The largest burst of requests, over all hosts together.
    double burst = 0;
    std::vector<std::string> groups;
    bool operator==(const workspace&) const = default;

    bool may_use(std::string_view group) const;
};

/// One version of the whole configuration. read_configuration() validates it, so code that uses it
/// needs no checks of its own. A host replaces its configuration only by a higher version.
struct configuration {
    std::uint64_t version = 0;
    /// The number of hosts that may hold upstream connections at the same time; each gets an equal
    /// number of an upstream's connections.
    int host_seats = 1;
    std::vector<failure_domain> failure_domains;
    std::vector<database_group> groups;
    std::vector<workspace> workspaces;
    bool operator==(const configuration&) const = default;

    const database_group* find_group(std::string_view name) const;
    const workspace* find_workspace(std::string_view name) const;
    /// False when the upstream or its failure domain is draining.
    bool takes_new_work(const upstream& target) const;
    bool is_domain_active(std::string_view domain) const;
};

/// Parses and validates a configuration (JSON with comments).
/// \throws input_error naming the path, what was expected and what was found.
configuration read_configuration(std::string_view text);

/// Serializes a configuration as JSON, which read_configuration() parses to an equal value.
std::string write_configuration(const configuration& value);

} // namespace bronzeplank
