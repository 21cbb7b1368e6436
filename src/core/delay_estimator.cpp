#include "bronzeplank/delay_estimator.hpp"

#include <algorithm>

namespace bronzeplank {

duration peer_clock::lateness(time_point sent, time_point received) {
    const duration way = received - sent;
    if (!m_quickest) {
        m_quickest = way;
    }
    // The quickest way, as both clocks would show it now.
    const duration drifted = (received - m_received) * greatest_drift / 1'000'000;
    m_quickest = std::min(way, *m_quickest + (m_received == time_point{} ? duration(0) : drifted));
    m_received = received;
    return way - *m_quickest;
}

} // namespace bronzeplank
