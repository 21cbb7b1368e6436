#include "bronzeplank/failure_rate.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

namespace {

// The part that one outcome has: some ten outcomes change the share fully.
constexpr double newest_part = 0.1;

} // namespace

void failure_share::note(bool good, time_point now) {
    m_share = at(now);
    m_share += ((good ? 0.0 : 1.0) - m_share) * newest_part;
    m_noted = now;
}

double failure_share::at(time_point now) const {
    const auto passed = std::chrono::duration<double>(std::max(now - m_noted, duration(0)));
    return m_share * std::exp2(-passed / std::chrono::duration<double>(half_life));
}

} // namespace bronzeplank
