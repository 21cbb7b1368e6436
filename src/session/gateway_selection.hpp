/// \file
/// Selects the host that serves each instance, and reads what that host reports of it.
#pragma once

#include "session/fleet.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bronzeplank {

/// From how many hosts an instance is reported unreachable, and the number of hosts presumed to
/// exist, including this one and those that sent no message; 0 if no host reports it unreachable.
struct reachability_votes {
    int unreachable_from = 0;
    int presumed_hosts = 0;
    bool unreachable_here = false;

    bool unreachable_from_most() const { return 2 * unreachable_from > presumed_hosts; }
};

/// Usage: call connect() once, then gateway_of() for each statement.
class gateway_selection {
public:
    /// Returns nothing when this host has no pool for the instance.
    using own_pool_status = std::function<std::optional<pool_status>(const std::string&)>;

    gateway_selection(std::string host, std::string failure_domain);

    /// Must be called before any other function.
    void connect(const fleet& peers, own_pool_status own_status);

    /// Called when this host stops: it is no longer chosen unless no other host is live.
    void leave() { m_leaving = true; }

    /// The host that currently serves the instance; this host if there is no other.
    std::string gateway_of(const upstream_instance& instance) const;

    /// The pool status of an instance as its gateway reports it, or as this host sees it.
    pool_status status_of(const upstream_instance& instance) const;

    reachability_votes reachability_of(const std::string& instance) const;

    const std::string& host() const { return m_host; }
    const std::string& failure_domain() const { return m_failure_domain; }

private:
    // The gateway last selected, with those inputs of the selection that the fleet's view doesn't
    // cover.
    struct cached_gateway {
        std::string host;
        bool leaving = false;
        bool unreachable_here = false;
    };

    std::string find_gateway(const upstream_instance& instance, bool unreachable_here) const;

    std::string m_host;
    std::string m_failure_domain;
    const fleet* m_fleet = nullptr;
    own_pool_status m_own_status;
    mutable std::map<std::string, cached_gateway, std::less<>> m_gateway_cache;
    mutable std::uint64_t m_gateway_cache_view = 0;
    bool m_leaving = false;
};

} // namespace bronzeplank
