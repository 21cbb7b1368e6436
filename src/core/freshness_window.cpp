#include "bronzeplank/freshness_window.hpp"

namespace bronzeplank {

namespace {

// Longer than any staleness that a route can sensibly allow; older samples are useless.
constexpr duration kept = std::chrono::seconds(30);

} // namespace

void freshness_window::add(time_point asked, const log_position& position) {
    if (!m_samples.empty() && asked <= m_samples.back().asked) {
        return;
    }
    // Positions never go back while one primary follows another without loss.
    const log_position reached =
        m_samples.empty() ? position : std::max(position, m_samples.back().position);
    m_samples.push_back({asked, reached});
    while (m_samples.front().asked < asked - kept) {
        m_samples.pop_front();
    }
}

std::optional<log_position> freshness_window::needed(time_point now, duration staleness) const {
    for (const auto& sample : m_samples) {
        if (sample.asked >= now - staleness) {
            return sample.position;
        }
    }
    return std::nullopt;
}

std::optional<time_point> freshness_window::newest() const {
    return m_samples.empty() ? std::nullopt : std::optional(m_samples.back().asked);
}

} // namespace bronzeplank
