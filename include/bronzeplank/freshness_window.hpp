/// \file
/// The log position that a read requires for its staleness bound.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <deque>
#include <optional>

namespace bronzeplank {

/// Verified positions of a group's log: at `requested_at` or later, the group's checked primary had
/// reached `position`. A log that includes a position requested at `t` has every commit that was
/// acknowledged before `t`. The lag that instances report themselves is not used.
/// Usage: `window.add(requested_at, position); const auto needed = window.needed(now, staleness);`
class freshness_window {
public:
    /// Adds a verified position; positions must be added in the order of their requests.
    void add(time_point requested_at, const log_position& position);

    /// Returns the oldest position that covers every commit acknowledged before `now - staleness`;
    /// nothing if no observation is recent enough.
    std::optional<log_position> needed(time_point now, duration staleness) const;

    /// Returns when the newest observation was requested; nothing without one.
    std::optional<time_point> newest() const;

    /// Drops all observations, as after the process was suspended.
    void clear() { m_observations.clear(); }

private:
    struct observation {
        time_point requested_at;
        log_position position;
    };
    std::deque<observation> m_observations;
};

} // namespace bronzeplank
