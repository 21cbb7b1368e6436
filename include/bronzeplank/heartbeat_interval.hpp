/// \file
/// How often a host beats, and how long its silence means nothing.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cstddef>

namespace bronzeplank {

/// Up to this many hosts beat at the full rate.
constexpr std::size_t hosts_at_full_pace = 12;
constexpr std::chrono::milliseconds shortest_beat_period{200};
/// What hosts learn by beats alone (demand, waits, a newer directory) may be this old.
constexpr std::chrono::milliseconds longest_beat_period{1000};

/// Every host beats to every other. The period grows with their number, so that a host sends and
/// receives no more than some sixty beats a second up to five times `hosts_at_full_pace`.
constexpr duration beat_period_for(std::size_t hosts) {
    const duration scaled = duration(shortest_beat_period) * hosts / hosts_at_full_pace;
    return std::clamp<duration>(scaled, shortest_beat_period, longest_beat_period);
}

/// A host that was silent for this long is taken for dead: three beats and a little more.
constexpr duration silence_for(duration beat_period) {
    return beat_period * 13 / 4;
}

} // namespace bronzeplank
