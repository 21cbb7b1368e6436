#include "bronzeplank/freshness_window.hpp"

namespace bronzeplank {

namespace {

// Longer than any sensible staleness of a route; older observations are never used.
constexpr duration max_age = std::chrono::seconds(30);

} // namespace

void freshness_window::add(time_point requested_at, const log_position& position) {
    if (!m_observations.empty() && requested_at <= m_observations.back().requested_at) {
        return;
    }
    // Positions never decrease, as long as promotions lose no data.
    const log_position reached =
        m_observations.empty() ? position : std::max(position, m_observations.back().position);
    m_observations.push_back({requested_at, reached});
    while (m_observations.front().requested_at < requested_at - max_age) {
        m_observations.pop_front();
    }
}

std::optional<log_position> freshness_window::needed(time_point now, duration staleness) const {
    for (const auto& observation : m_observations) {
        if (observation.requested_at >= now - staleness) {
            return observation.position;
        }
    }
    return std::nullopt;
}

std::optional<time_point> freshness_window::newest() const {
    return m_observations.empty() ? std::nullopt
                                  : std::optional(m_observations.back().requested_at);
}

} // namespace bronzeplank
