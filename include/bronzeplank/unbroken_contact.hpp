/// \file
/// Whether a host has been in contact with a group's replicas without a break.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <chrono>

namespace bronzeplank {

/// Tells whether a promotion may have taken effect unnoticed. A promotion needs every replica to be
/// paused until it takes effect, which takes some hundred milliseconds, and ends the pauses then: a
/// replica that can't hear the successor follows the old primary as if nothing had happened. A host
/// that gets confirmations in shorter intervals can't miss the pause. After a longer interval the
/// primary's leadership has to be proved anew.
///
/// Usage: `contact.record_confirmation(requested_at, now); if (contact.unbroken(now)) ...`
class unbroken_contact {
public:
    /// From the request of one confirmation to the answer of the next; less than the time that
    /// replicas are paused for a promotion.
    static constexpr std::chrono::milliseconds max_interval{200};

    /// Records that an established replica answered that it follows the primary and isn't paused.
    void record_confirmation(time_point requested_at, time_point now) {
        if (!is_recent(now)) {
            m_first_answer_at = now;
            m_proved = false;
        }
        m_last = std::max(m_last, requested_at);
    }

    /// Records that the primary led the group at that time, as proved by other means. The proof may
    /// arrive late if confirmations have followed it closely.
    void restore(time_point proved_at) {
        if (proved_at > m_last) {
            m_first_answer_at = proved_at;
            m_last = proved_at;
        }
        m_proved = m_proved || m_first_answer_at - proved_at <= max_interval;
    }

    /// Forgets all proofs, as when the group has another primary.
    void reset() { *this = unbroken_contact(); }

    /// Whether no promotion has taken effect up to the last confirmation, which is recent.
    bool unbroken(time_point now) const { return m_proved && is_recent(now); }

    /// Whether a confirmation is due lest the contact break.
    bool needs_confirmation(time_point now) const { return now - m_last > max_interval / 4; }

private:
    bool is_recent(time_point now) const {
        return m_last != time_point{} && now - m_last <= max_interval;
    }

    /// Since then confirmations have followed each other closely.
    time_point m_first_answer_at{};
    time_point m_last{};
    /// Whether the primary's leadership was proved since then.
    bool m_proved = false;
};

} // namespace bronzeplank
