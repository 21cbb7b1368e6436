#include "bronzeplank/failure_rate_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

namespace {

// The weight of one outcome in the moving average: after ten outcomes, about a third of the earlier
// rate remains.
constexpr double smoothing_factor = 0.1;

} // namespace

void failure_rate_estimator::record(bool succeeded, time_point now) {
    m_rate = at(now);
    m_rate += ((succeeded ? 0.0 : 1.0) - m_rate) * smoothing_factor;
    m_recorded_at = now;
}

double failure_rate_estimator::at(time_point now) const {
    const auto elapsed = std::chrono::duration<double>(std::max(now - m_recorded_at, duration(0)));
    return m_rate * std::exp2(-elapsed / std::chrono::duration<double>(half_life));
}

} // namespace bronzeplank
