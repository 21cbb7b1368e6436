/// \file
/// Estimates whether an upstream has a log position by now.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <deque>

namespace bronzeplank {

/// What is expected of an upstream's log.
enum class log_expectation {
    /// It has the position, or is expected to have it.
    reached,
    /// It lagged too far behind when it was last heard.
    lacking,
    /// The same, but that was a while ago.
    was_lacking
};

/// The progress of a group's log at its primary, against which the lag of replicas is measured. A
/// replica counts as lagging only as far as it is known to: it lacked a position that the primary
/// had reached for some time. It is expected to keep up with that lag.
/// Usage: `progress.record_primary(now, position);`
/// `if (progress.expectation(known, known_at, needed, now) == log_expectation::reached) ...`
class replication_progress {
public:
    /// Records that the primary had reached the position by then.
    void record_primary(time_point reached_by, const log_position& position);

    /// Whether an upstream whose log ended at `known` at the time `known_at` has `needed` now.
    log_expectation expectation(const log_position& known, time_point known_at,
                                const log_position& needed, time_point now) const;

private:
    struct progress {
        time_point reached_by;
        log_position position;
    };

    // The least and the greatest lag that an upstream with this position may have had.
    duration known_lag(const log_position& known, time_point known_at) const;
    duration possible_lag(const log_position& known, time_point known_at) const;

    std::deque<progress> m_history;
};

} // namespace bronzeplank
