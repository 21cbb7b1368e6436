/// \file
/// A host's view of the deployment: the configuration, the instances and the other hosts.
#pragma once

#include "bronzeplank/entry_history.hpp"
#include "bronzeplank/fleet_configuration.hpp"
#include "bronzeplank/primary_tracker.hpp"
#include "bronzeplank/store_position.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzeplank {

/// A session host as registered on the platform.
struct registered_host {
    std::string host;
    std::string failure_domain;
    endpoint peer_endpoint;
    bool operator==(const registered_host&) const = default;
};

/// How new each part of a host's directory is.
struct directory_versions {
    std::uint64_t configuration = 0;
    store_position instances;
    store_position withdrawals;
    bool operator==(const directory_versions&) const = default;
};

/// The directory's contents, as sent to a host that can't reach the platform.
struct directory_snapshot {
    std::uint64_t configuration_version = 0;
    /// The unparsed configuration document.
    std::string configuration_text;
    store_position list_position;
    upstream_list instances;
    std::set<std::string> withdrawn_domains;
    /// Revision 0 from a host that doesn't report it: the domains are as of `list_position` then.
    store_position withdrawals_position{};
    bool operator==(const directory_snapshot&) const = default;

    directory_versions versions() const {
        return {configuration_version, list_position, withdrawals_position};
    }
};

/// Holds the latest configuration, instance list and host list, as read from the platform or
/// received from a peer. Guarantees that the configuration version never decreases during the
/// process's lifetime, and that an instance that is missing from the list after a platform outage
/// is kept until `expiry_grace` is over. An entry that is older than one applied before changes
/// nothing.
///
/// Usage: `directory.apply_instance_list(listed, now);`
/// `if (const auto primary = directory.primary(group)) ...`
class fleet_directory {
public:
    /// Entries may expire during a platform outage; their owners have this long to renew them once
    /// the platform is reachable again.
    static constexpr std::chrono::seconds expiry_grace{2};

    /// Replaces the current configuration; a version that is not newer is ignored.
    void accept(std::shared_ptr<const fleet_configuration> configuration);
    /// Null before the first version.
    const std::shared_ptr<const fleet_configuration>& configuration() const {
        return m_configuration;
    }
    /// 0 before the first version.
    std::uint64_t configuration_version() const {
        return m_configuration ? m_configuration->version : 0;
    }

    /// Applies a complete list: unlisted instances are removed.
    void apply_instance_list(upstream_list listed, time_point now);
    void upsert_instance(const upstream_instance& instance);
    void remove_instance(const std::string& id, time_point now);
    /// Starts the grace period in which missing entries are kept.
    void platform_reconnected(time_point now) {
        record_catch_up(now);
        m_expiry_grace_ends = now + expiry_grace;
    }
    /// Records that the list is applied now after a time without changes, from the platform or from
    /// a peer: what is new in it may have happened any time since.
    void record_catch_up(time_point now) { m_caught_up_at = now; }
    time_point caught_up_at() const { return m_caught_up_at; }
    /// Removes missing entries once the grace period is over; whether there were any. Must be
    /// called several times a second.
    bool remove_expired(time_point now);

    const upstream_list& instances() const { return m_instances; }
    /// The listed instances of one group.
    const upstream_list& members(const std::string& group) const;
    const upstream_instance* instance(const std::string& id) const;

    void set_withdrawn_domains(std::set<std::string> domains) {
        m_withdrawn_domains = std::move(domains);
    }
    const std::set<std::string>& withdrawn_domains() const { return m_withdrawn_domains; }
    /// False when the instance is leaving or its failure domain is withdrawn.
    bool accepts_work(const upstream_instance& instance) const;

    void set_registered_hosts(std::map<std::string, registered_host> hosts) {
        m_hosts = std::move(hosts);
    }
    const std::map<std::string, registered_host>& hosts() const { return m_hosts; }

    primary_tracker& primary_tracker_for(const std::string& group) {
        return m_primary_trackers[group];
    }
    std::optional<known_primary> primary(const std::string& group);

    /// The workspace that an API key belongs to; `nullopt` for an unknown key.
    std::optional<std::string> workspace_for_key(const std::string& credential) const;
    /// Null when no route serves the database.
    const database_route* route(const std::string& database) const;

private:
    void erase_instance(const std::string& id);

    std::shared_ptr<const fleet_configuration> m_configuration;
    upstream_list m_instances;
    /// The same instances by group: statements are routed within one group.
    std::map<std::string, upstream_list, std::less<>> m_members;
    std::set<std::string> m_missing;
    entry_history m_entries;
    time_point m_caught_up_at{};
    time_point m_expiry_grace_ends{};
    std::set<std::string> m_withdrawn_domains;
    std::map<std::string, registered_host> m_hosts;
    std::map<std::string, primary_tracker> m_primary_trackers;
};

} // namespace bronzeplank
