#include "bronzeplank/demand_share.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

namespace {

constexpr double even = 0.1;
/// Time constant of the average of demand.
constexpr double averaged_seconds = 1.0;

double seconds_between(time_point from, time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void demand_share::set_view(double others_demand, std::size_t heard, std::size_t known) {
    m_others = std::max(0.0, others_demand);
    m_heard = std::max<double>(1.0, static_cast<double>(heard));
    m_known = std::max<double>(m_heard, static_cast<double>(known));
}

double demand_share::demand(time_point now) const {
    return m_demand * std::exp(-seconds_between(m_counted, now) / averaged_seconds);
}

double demand_share::part(time_point now) const {
    const double own = demand(now);
    const double all = own + m_others;
    // Below one operation a second there is no demand to follow.
    const double followed = all < 1.0 ? 1.0 / m_heard : own / all;
    return (even / m_heard + (1.0 - even) * followed) * m_heard / m_known;
}

bool demand_share::admit(time_point now, double rate_per_second, double burst) {
    m_demand = demand(now) + 1.0 / averaged_seconds;
    m_counted = now;
    const double share = part(now);
    const double capacity = std::max(1.0, burst * share);
    if (m_tokens < 0) {
        m_tokens = capacity;
    } else {
        m_tokens += seconds_between(m_filled, now) * rate_per_second * share;
    }
    m_filled = now;
    m_tokens = std::min(m_tokens, capacity);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace bronzeplank
