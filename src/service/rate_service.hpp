/// \file
/// Rate limits per workspace, divided among the hosts.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "bronzeplank/share_ledger.hpp"
#include "edge/platform_client.hpp"
#include "runtime/kernel.hpp"
#include "runtime/task.hpp"
#include "service/directory.hpp"

#include <map>
#include <string>

namespace bronzeplank {

/// Holds one token bucket for each workspace, filled at this host's leased share of the workspace's
/// rate. The leases are renewed through the share ledger on the platform according to the measured
/// demand. A request that finds no token waits briefly, within its deadline, before it is refused.
/// Usage: `co_await rates.take_token(workspace, deadline);`
class rate_service {
public:
    static constexpr std::string_view service_name = "rates";

    rate_service(kernel& services, const settings& host, platform_client& platform);

    /// Starts the periodic renewal of the leases.
    void start();
    /// Returns the shares to the ledger, so that other hosts can use them at once.
    task<void> release_shares();

    /// Takes one token. \throws request_error of kind rate_limited ("not run") when none becomes
    /// available in time.
    task<void> take_token(workspace entry, time_point deadline);

    std::uint64_t refused_requests() const { return m_refused_requests; }

private:
    bool observe_ledger(const platform_read& read);
    struct workspace_rate {
        leased_bucket bucket;
        std::uint64_t arrivals = 0;
        double demand = 0;
        /// Requests that wait for a token; while there are any, a new request waits too.
        int waiting = 0;
    };

    task<void> renew_periodically();
    task<bool> renew();
    task<bool> write(share_proposal proposal);
    workspace_rate& rate_of(const workspace& entry);
    void measure_demand(time_point now);
    void apply_shares();

    event_loop& m_loop;
    platform_client& m_platform;
    directory& m_directory;
    share_holder m_holder;
    std::map<std::string, workspace_rate> m_workspace_rates;
    time_point m_last_measured;
    std::uint64_t m_refused_requests = 0;
    bool m_stopped = false;
};

} // namespace bronzeplank
