#include "bronzeplank/delay_estimator.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

duration max_drift(duration elapsed) {
    return elapsed * delay_estimator::max_clock_drift_ppm / 1'000'000;
}

} // namespace

duration delay_estimator::excess_delay(time_point sent, time_point received) {
    const duration offset = received - sent;
    if (!m_min_offset) {
        m_min_offset = offset;
    }
    // The smallest offset may grow by the largest drift since the previous message, so that clock
    // drift alone never counts as delay.
    const duration drift =
        m_last_received == time_point{} ? duration(0) : max_drift(received - m_last_received);
    m_min_offset = std::min(offset, *m_min_offset + drift);
    m_last_received = received;
    return offset - *m_min_offset;
}

void delay_estimator::record_round_trip(time_point sent, time_point received, duration round_trip) {
    const duration bound = received - sent - round_trip;
    if (!m_offset_bound || bound >= *m_offset_bound - max_drift(received - m_bound_at)) {
        m_offset_bound = bound;
        m_bound_at = received;
    }
}

std::optional<duration> delay_estimator::max_delay(time_point sent, time_point received) const {
    if (!m_offset_bound) {
        return std::nullopt;
    }
    return received - sent - (*m_offset_bound - max_drift(received - m_bound_at));
}

} // namespace bronzeplank
