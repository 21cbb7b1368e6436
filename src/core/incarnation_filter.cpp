#include "bronzeplank/incarnation_filter.hpp"

namespace bronzeplank {

bool incarnation_filter::begin(std::uint32_t incarnation) {
    if (m_ended.contains(incarnation)) {
        return false;
    }
    if (m_current != incarnation) {
        if (m_ended.size() >= max_ended_incarnations) {
            m_ended.clear();
        }
        if (m_current != 0) {
            m_ended.insert(m_current);
        }
        m_current = incarnation;
        m_delay = {};
    }
    return true;
}

std::optional<duration> incarnation_filter::excess_delay(std::uint32_t incarnation, time_point sent,
                                                         time_point received) {
    if (!begin(incarnation)) {
        return std::nullopt;
    }
    return m_delay.excess_delay(sent, received);
}

} // namespace bronzeplank
