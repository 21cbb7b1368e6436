/// \file
/// What a host knows of the deployment: the configuration, the instances, the other hosts.
#pragma once

#include "bronzeplank/fleet_configuration.hpp"
#include "bronzeplank/primary_tracker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzeplank {

/// A host that is registered on the platform.
struct registered_host {
    std::string host;
    std::string failure_domain;
    endpoint peers;
    bool operator==(const registered_host&) const = default;
};

/// What one host hands to another that can't ask the platform.
struct directory_copy {
    std::uint64_t configuration_version = 0;
    /// The configuration as the operator wrote it.
    std::string configuration_text;
    std::uint64_t list_revision = 0;
    upstream_list instances;
    std::set<std::string> withdrawn_domains;
    bool operator==(const directory_copy&) const = default;
};

/// Guarantees that versions of the configuration only go up while the process lives, and that an
/// instance that is missing after an outage of the platform is kept until `lapse_grace` is over.
class fleet_directory {
public:
    /// How long after the platform's return a lapsed entry may take to come back.
    static constexpr std::chrono::seconds lapse_grace{2};

    static constexpr std::chrono::seconds size_memory{20};

    /// Puts a version in force; an older one than the present is ignored.
    void accept(std::shared_ptr<const fleet_configuration> configuration);
    /// Null before the first version.
    const std::shared_ptr<const fleet_configuration>& configuration() const {
        return m_configuration;
    }

    /// The whole list, as the platform gave it.
    void list_instances(upstream_list listed, time_point now);
    void list_instance(const upstream_instance& instance);
    void remove_instance(const std::string& id, time_point now);
    /// Until then, entries that are missing may have lapsed during an outage.
    void platform_returned(time_point now) { m_lapses_until = now + lapse_grace; }
    /// Drops entries whose grace is over, and looks at the groups' sizes; called several times a
    /// second.
    void drop_lapsed(time_point now);

    /// The group's instances that stay, those included that were listed in the last
    /// `size_memory`: what is cut off from the platform leaves the list and goes on living.
    std::size_t group_size(const std::string& group) const;

    const upstream_list& instances() const { return m_instances; }
    /// The listed instances of one group.
    const upstream_list& members(const std::string& group) const;
    const upstream_instance* instance(const std::string& id) const;

    void withdraw_domains(std::set<std::string> domains) { m_withdrawn = std::move(domains); }
    const std::set<std::string>& withdrawn_domains() const { return m_withdrawn; }
    /// Whether new work may go to the instance.
    bool takes_work(const upstream_instance& instance) const;

    void register_hosts(std::map<std::string, registered_host> hosts) {
        m_hosts = std::move(hosts);
    }
    const std::map<std::string, registered_host>& hosts() const { return m_hosts; }

    primary_tracker& primary_tracker_for(const std::string& group) { return m_beliefs[group]; }
    std::optional<known_primary> primary(const std::string& group);

    /// The workspace that a key belongs to; nothing for an unknown key.
    std::optional<std::string> owner_of(const std::string& credential) const;
    /// Null when no route serves the database.
    const database_route* route(const std::string& database) const;

private:
    void look_at_sizes(time_point now);

    void forget(const std::string& id);

    std::shared_ptr<const fleet_configuration> m_configuration;
    upstream_list m_instances;
    /// The same instances by group, since statements look at one group only.
    std::map<std::string, upstream_list, std::less<>> m_members;
    std::map<std::string, time_point> m_missing;
    time_point m_lapses_until{};
    struct seen_size {
        std::size_t count = 0;
        time_point seen{};
    };
    std::map<std::string, seen_size> m_sizes;
    std::set<std::string> m_withdrawn;
    std::map<std::string, registered_host> m_hosts;
    std::map<std::string, primary_tracker> m_beliefs;
};

} // namespace bronzeplank
