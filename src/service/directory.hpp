/// \file
/// This host's copy of the shared state: configuration, groups, keys.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "bronzeplank/key_ring.hpp"
#include "bronzeplank/settings.hpp"
#include "edge/platform_client.hpp"
#include "runtime/kernel.hpp"
#include "service/upstream_group.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzeplank {

/// Watches the platform's objects, accepts updates from peers, and holds the state in force on this
/// host: the configuration of the highest version, an upstream_group for each group, and the keys.
/// A configuration of a lower version or a record of a lower term never replaces a higher one.
/// Usage: `directory shared(kernel, host, platform); shared.start(); shared.find_group("main");`
class directory {
public:
    static constexpr std::string_view service_name = "directory";

    directory(kernel& services, const settings& host, platform_client& platform);

    /// Starts watching the platform's objects.
    void start();
    void stop();

    /// Applies the configuration if it is valid and its version is higher; returns whether it did.
    bool offer_configuration(const std::string& text);
    /// Applies the group's record unless one of its terms is lower.
    void offer_record(const std::string& group, const versioned_record& record);
    void assign_key(const key_digest& digest, const std::string& workspace);
    /// Withdraws the key permanently; returns false if it was already withdrawn.
    bool withdraw_key(const key_digest& digest);

    /// Whether a configuration is in force.
    bool ready() const { return m_configuration.version > 0; }
    const configuration& current_configuration() const { return m_configuration; }
    const std::string& configuration_text() const { return m_configuration_text; }
    const key_ring& keys() const { return m_keys; }
    const std::map<std::string, std::shared_ptr<upstream_group>>& groups() const {
        return m_groups;
    }
    /// Returns nullptr if there is no such group.
    std::shared_ptr<upstream_group> find_group(const std::string& name) const;
    /// Whether the platform answered the last request for changes.
    bool platform_reachable() const { return m_platform_reachable; }

private:
    task<void> watch_platform();
    void apply_object(const platform_object& object);
    void apply_key(const platform_object& object);
    void apply_groups();
    void set_platform_reachable(bool reachable);

    event_loop& m_loop;
    const settings& m_host;
    platform_client& m_platform;
    bool m_stopped = false;
    bool m_platform_reachable = false;
    configuration m_configuration;
    std::string m_configuration_text;
    key_ring m_keys;
    std::map<std::string, std::shared_ptr<upstream_group>> m_groups;
    std::map<std::string, versioned_record> m_records;
};

} // namespace bronzeplank
