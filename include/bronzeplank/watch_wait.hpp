/// \file
/// How long a watch of the platform's store waits for a change.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace bronzeplank {

/// The average time between two returns of any host's watch of one kind, up to
/// `max_watch_wait / watch_return_interval` hosts; the longest is twice as long.
constexpr std::chrono::milliseconds watch_return_interval{500};
/// Also bounds how long a host without peers can miss a change because a watch or its answer was
/// lost.
constexpr std::chrono::milliseconds min_watch_wait{2000};
constexpr std::chrono::milliseconds max_watch_wait{20000};

/// The longest wait of a watch in a fleet of this size. A lost watch looks like one that waits, and
/// is noticed when its wait is over. Hosts tell each other about changes, so it suffices that
/// some host's watch returns in time, which `watch_turn` takes care of: the wait grows with the
/// number of hosts, and the fleet's calls don't, up to forty hosts.
///
/// \param hosts the hosts that hear each other, this one included
constexpr duration watch_wait_for(std::size_t hosts) {
    const duration scaled = duration(watch_return_interval) * hosts;
    return std::clamp<duration>(scaled, min_watch_wait, max_watch_wait);
}

/// A host's place among the hosts that tell each other about changes.
struct watch_turn {
    /// The hosts, this one included.
    std::size_t hosts = 1;
    /// This host's index among them, the same on all of them.
    std::size_t index = 0;
    auto operator<=>(const watch_turn&) const = default;

    /// Which share of the longest wait this host waits once after an event that has ended the
    /// watches of all hosts, such as a change. The hosts' shares differ, and full waits keep their
    /// returns apart from then on.
    ///
    /// \param position the place between this host's share and the next one's, from 0 up to 1
    constexpr double share(double position) const {
        const double place = static_cast<double>(index) + position;
        return std::clamp(place / static_cast<double>(std::max<std::size_t>(hosts, 1)), 0.0, 1.0);
    }
};

} // namespace bronzeplank
