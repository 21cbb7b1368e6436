#include "bronzeplank/demand_share.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

namespace {

/// The fraction of the rate that is divided equally, whatever the demand.
constexpr double even_fraction = 0.1;
/// The time constant of the exponential moving average of the demand.
constexpr double averaging_seconds = 1.0;

double seconds_between(time_point from, time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void demand_share::set_peer_demand(double peer_demand, std::size_t reachable_hosts,
                                   std::size_t presumed_hosts) {
    m_peer_demand = std::max(0.0, peer_demand);
    m_reachable_hosts = std::max<double>(1.0, static_cast<double>(reachable_hosts));
    m_presumed_hosts = std::max<double>(m_reachable_hosts, static_cast<double>(presumed_hosts));
}

double demand_share::demand(time_point now) const {
    return m_demand * std::exp(-seconds_between(m_demand_updated_at, now) / averaging_seconds);
}

double demand_share::current_share(time_point now) const {
    const double own = demand(now);
    const double total = own + m_peer_demand;
    // Below one operation a second there is no demand to follow: the shares are equal.
    const double demand_fraction = total < 1.0 ? 1.0 / m_reachable_hosts : own / total;
    return (even_fraction / m_reachable_hosts + (1.0 - even_fraction) * demand_fraction) *
           m_reachable_hosts / m_presumed_hosts;
}

bool demand_share::admit(time_point now, double rate_per_second, double burst) {
    m_demand = demand(now) + 1.0 / averaging_seconds;
    m_demand_updated_at = now;
    const double fraction = current_share(now);
    const double capacity = std::max(1.0, burst * fraction);
    if (m_tokens < 0) {
        m_tokens = capacity;
    } else {
        m_tokens += seconds_between(m_refilled_at, now) * rate_per_second * fraction;
    }
    m_refilled_at = now;
    m_tokens = std::min(m_tokens, capacity);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace bronzeplank
