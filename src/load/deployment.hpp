/// \file
/// Direct access to the platform and the upstreams of the deployment under test.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "edge/http_client.hpp"
#include "edge/pg_connection.hpp"
#include "edge/platform_client.hpp"
#include "load/history.hpp"
#include "load/scenario.hpp"

#include <map>
#include <string>
#include <vector>

namespace bronzeplank::load {

/// Accesses the platform and the upstreams without going through a host. Creates the test tables,
/// injects faults and reads the rows of each group after the run. Faults other than configuration
/// changes and key withdrawals need the stand-ins, since they use their control interface.
/// Usage: `co_await deployment.load_configuration(); co_await deployment.create_tables(groups);`
class deployment {
public:
    deployment(event_loop& loop, const endpoint& platform);

    /// Reads the configuration from the platform, with retries.
    /// \throws std::runtime_error when the platform returns none.
    task<void> load_configuration();
    /// Waits for a primary of each group and creates the test tables there.
    /// \throws std::runtime_error when a group has no primary that accepts them.
    task<void> create_tables(std::vector<std::string> groups);
    /// Reads all rows of the test tables from the group's primary, with retries.
    /// \throws std::runtime_error when they can't be read.
    task<group_contents> read_contents(std::string group);
    /// Injects a fault. One that has a duration is removed when that has passed.
    task<void> inject_fault(fault injected);

    const configuration& current_configuration() const { return m_configuration; }

private:
    task<std::unique_ptr<pg_connection>> connect(std::string group, std::string upstream);
    task<std::string> read_primary(std::string group);
    task<bool> run_statement(std::string group, std::string upstream, std::string statement);
    task<void> set_upstream_control(std::string group, std::string upstream, std::string name,
                                    std::string value);
    task<void> set_replica_lag(std::string group, std::string lag_ms);
    task<void> set_platform_control(std::string body);
    task<void> set_partition(std::string domain, bool partitioned);
    task<void> set_domain_state(std::string domain, service_state state);
    task<void> withdraw_key(std::string key);

    event_loop& m_loop;
    endpoint m_platform_address;
    platform_client m_platform;
    configuration m_configuration;
};

} // namespace bronzeplank::load
