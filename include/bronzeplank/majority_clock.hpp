/// \file
/// The time of day, as the majority of the fleet's clocks has it.
#pragma once

#include "bronzeplank/time.hpp"

#include <chrono>
#include <map>
#include <string>

namespace bronzeplank {

/// A time of day, in UTC.
using utc_time = std::chrono::sys_time<duration>;

/// Derives the time of day from the boot clock. A host's own time of day may jump by seconds, so it
/// is only one vote: the offset to the boot clock changes when the median of at least three hosts'
/// clocks differs from it. Fewer hosts can't tell which clock is wrong, and keep the last offset.
///
/// Usage: `clock.record_peer(host, now, their_time); const utc_time true_time = clock.at(now);`
class majority_clock {
public:
    /// Network and loop delays stay below this.
    static constexpr std::chrono::milliseconds max_error{100};
    /// Readings of a host that is silent for longer no longer count.
    static constexpr std::chrono::seconds reading_retention{10};

    majority_clock(time_point now, utc_time own_reading);

    /// Records the time of day that this host's clock shows, and adopts the majority's offset.
    void record_own(time_point now, utc_time reading);
    /// Records the time of day that a peer's clock shows now.
    void record_peer(const std::string& host, time_point now, utc_time reading);

    /// The time of day at a time of the boot clock.
    utc_time at(time_point time) const { return utc_time(time.time_since_epoch() + m_offset); }

private:
    struct reading {
        duration offset{};
        time_point received{};
    };

    duration m_offset;
    std::map<std::string, reading> m_readings;
};

} // namespace bronzeplank
