/// \file
/// A host's share of a workspace's rate, in proportion to the demand that the host sees.
#pragma once

#include "bronzeplank/time.hpp"

#include <cstddef>

namespace bronzeplank {

/// Measures the demand of one workspace on one host, and limits it to the host's share of the
/// workspace's rate and burst with a token bucket. The share follows the host's fraction of the
/// demand of all hosts; a tenth of the rate is divided equally, so that a host whose demand has
/// just begun can admit operations before the other hosts know of it. Hosts that can't be reached
/// may still be spending their share, so the reachable hosts divide only what remains: the shares
/// of all hosts add up to one while their views agree, also during a network partition.
/// Usage: `share.set_peer_demand(demand, reachable, known); if (share.admit(now, rate, burst)) ...`
class demand_share {
public:
    /// \param peer_demand operations a second at the other reachable hosts
    /// \param reachable_hosts the number of reachable hosts, including this one
    /// \param presumed_hosts the number of all hosts that may be spending a share of the rate
    void set_peer_demand(double peer_demand, std::size_t reachable_hosts,
                         std::size_t presumed_hosts);

    /// Records one operation of demand and takes a token for it; false when there is none left.
    bool admit(time_point now, double rate_per_second, double burst);

    /// This host's demand, admitted or refused, in operations a second.
    double demand(time_point now) const;

    /// This host's share of the rate and the burst, from 0 to 1.
    double current_share(time_point now) const;

private:
    double m_peer_demand = 0;
    double m_reachable_hosts = 1;
    double m_presumed_hosts = 1;
    double m_demand = 0;
    /// Negative until the first operation, which finds a full bucket.
    double m_tokens = -1;
    time_point m_demand_updated_at{};
    time_point m_refilled_at{};
};

} // namespace bronzeplank
