#include "bronzeplank/replication_progress.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

// Longer than the staleness bounds of routes, so that the age of any needed position is known.
constexpr std::chrono::seconds history_retention{6};
// Bounds the history to some hundred entries; replicas are rarely closer than this to the primary.
constexpr std::chrono::milliseconds min_spacing{10};
// A replica catches up quickly once the cause of its lag is gone.
constexpr std::chrono::seconds lag_retention{2};

} // namespace

void replication_progress::record_primary(time_point reached_by, const log_position& position) {
    if (!m_history.empty() && (position <= m_history.back().position ||
                               reached_by < m_history.back().reached_by + min_spacing)) {
        return;
    }
    m_history.push_back({reached_by, position});
    while (m_history.front().reached_by < reached_by - history_retention) {
        m_history.pop_front();
    }
}

duration replication_progress::known_lag(const log_position& known, time_point known_at) const {
    const auto lacked = std::find_if(m_history.begin(), m_history.end(),
                                     [&](const progress& entry) { return entry.position > known; });
    return lacked == m_history.end() ? duration(0)
                                     : std::max(duration(0), known_at - lacked->reached_by);
}

duration replication_progress::possible_lag(const log_position& known, time_point known_at) const {
    const auto reached =
        std::find_if(m_history.rbegin(), m_history.rend(),
                     [&](const progress& entry) { return entry.position <= known; });
    return reached == m_history.rend() ? duration::max()
                                       : std::max(duration(0), known_at - reached->reached_by);
}

log_expectation replication_progress::expectation(const log_position& known, time_point known_at,
                                                  const log_position& needed,
                                                  time_point now) const {
    if (known >= needed) {
        return log_expectation::reached;
    }
    const auto written =
        std::find_if(m_history.begin(), m_history.end(),
                     [&](const progress& entry) { return entry.position >= needed; });
    const time_point written_at = written == m_history.end() ? now : written->reached_by;
    // An upstream that has been seen to lack this very position counts as behind for as long as it
    // may be.
    const duration lag =
        written_at <= known_at ? possible_lag(known, known_at) : known_lag(known, known_at);
    if (lag <= now - written_at) {
        return log_expectation::reached;
    }
    return now - known_at < lag_retention ? log_expectation::lacking : log_expectation::was_lacking;
}

} // namespace bronzeplank
