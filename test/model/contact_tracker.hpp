/// \file
/// A host's contact with a group under the primary that it knows.
#pragma once

#include "bronzeplank/primary_tracker.hpp"
#include "bronzeplank/time.hpp"
#include "bronzeplank/unbroken_contact.hpp"

namespace bronzeplank::model {

/// Contact with one primary; that with the one before counts for nothing.
class contact_tracker {
public:
    bool is_unbroken(const known_primary& primary, time_point now) {
        if (primary != m_primary) {
            m_primary = primary;
            m_contact.reset();
        }
        return m_contact.unbroken(now);
    }

    /// Records an established replica's answer that it follows the primary and isn't paused.
    void record_answer(const known_primary& primary, time_point requested_at, time_point now) {
        if (is_unbroken(primary, now)) {
            m_contact.record_confirmation(requested_at, now);
        }
    }

    /// Records that no newer primary led when the evidence was requested.
    void restore(const known_primary& primary, time_point requested_at, time_point now) {
        if (!is_unbroken(primary, now)) {
            m_contact.restore(requested_at);
        }
    }

private:
    known_primary m_primary;
    unbroken_contact m_contact;
};

} // namespace bronzeplank::model
