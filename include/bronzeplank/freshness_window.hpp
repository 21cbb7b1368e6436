/// \file
/// Which log position a read needs so that it misses nothing older than it may.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <deque>
#include <optional>

namespace bronzeplank {

/// Samples of a group's log: at `asked` or later, the group's primary had reached `position`, and
/// was known to be the primary. A log that includes the position of a sample asked at `s` lacks
/// no commit that was acknowledged before `s`. Believes no instance's word on its lag.
/// Usage: `window.add(asked, position); const auto needed = window.needed(now, staleness);`
class freshness_window {
public:
    /// Samples must be added in the order in which they were asked.
    void add(time_point asked, const log_position& position);

    /// The oldest position that covers every commit acknowledged before `now - staleness`;
    /// nothing when no sample is young enough.
    std::optional<log_position> needed(time_point now, duration staleness) const;

    /// When the newest sample was asked; nothing without one.
    std::optional<time_point> newest() const;

    /// Drops all samples, as after the process was suspended.
    void clear() { m_samples.clear(); }

private:
    struct sample {
        time_point asked;
        log_position position;
    };
    std::deque<sample> m_samples;
};

} // namespace bronzeplank
