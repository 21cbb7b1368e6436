#include "bronzeplank/delay_estimator.hpp"

#include <algorithm>

namespace bronzeplank {

duration delay_estimator::excess_delay(time_point sent, time_point received) {
    const duration offset = received - sent;
    if (!m_min_offset) {
        m_min_offset = offset;
    }
    // The smallest offset may grow by the largest drift since the previous message, so that clock
    // drift alone never counts as delay.
    const duration max_drift = (received - m_last_received) * max_clock_drift_ppm / 1'000'000;
    m_min_offset = std::min(
        offset, *m_min_offset + (m_last_received == time_point{} ? duration(0) : max_drift));
    m_last_received = received;
    return offset - *m_min_offset;
}

} // namespace bronzeplank
