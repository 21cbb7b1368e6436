#include "bronzeplank/incarnation_filter.hpp"

namespace bronzeplank {

std::optional<duration> message_source::lateness(std::uint32_t incarnation, time_point sent,
                                                 time_point received) {
    if (m_over.contains(incarnation)) {
        return std::nullopt;
    }
    if (m_present != incarnation) {
        if (m_over.size() >= remembered) {
            m_over.clear();
        }
        if (m_present != 0) {
            m_over.insert(m_present);
        }
        m_present = incarnation;
        m_clock = {};
    }
    return m_clock.lateness(sent, received);
}

} // namespace bronzeplank
