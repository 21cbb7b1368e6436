/// \file
/// Whether a host has been in contact with a primary's replicas without a gap.
#pragma once

#include "bronzeplank/primary_tracker.hpp"
#include "bronzeplank/time.hpp"

#include <chrono>

namespace bronzeplank::model {

/// A promotion takes effect only after all replicas have been paused for longer than the gap that
/// is allowed here, so that none has taken effect while contact is unbroken.
class contact_tracker {
public:
    static constexpr std::chrono::milliseconds max_gap{200};

    explicit contact_tracker(const known_primary& primary) : m_primary(primary) {}

    bool is_unbroken(const known_primary& primary, time_point now) {
        if (!(primary == m_primary) || now - m_last_request > max_gap) {
            m_primary = primary;
            if (m_unbroken) {
                m_unbroken = false;
                m_broken_since = now;
            }
        }
        return m_unbroken;
    }

    /// Records an established replica's answer that it follows the primary and isn't paused.
    void record_answer(const known_primary& primary, time_point requested_at, time_point now) {
        if (is_unbroken(primary, now)) {
            m_last_request = std::max(m_last_request, requested_at);
        }
    }

    /// Records that no newer primary led when the evidence was requested.
    void restore(const known_primary& primary, time_point requested_at, time_point now) {
        if (!is_unbroken(primary, now) && requested_at >= m_broken_since &&
            now - requested_at <= max_gap) {
            m_unbroken = true;
            m_last_request = requested_at;
        }
    }

private:
    known_primary m_primary;
    bool m_unbroken = true;
    time_point m_last_request{};
    time_point m_broken_since{};
};

} // namespace bronzeplank::model
