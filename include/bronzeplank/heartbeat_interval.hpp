/// \file
/// The interval between a host's heartbeats, and the timeout after which a host counts as dead.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cstddef>

namespace bronzeplank {

/// Up to this many hosts send heartbeats at the shortest interval.
constexpr std::size_t hosts_at_min_interval = 12;
constexpr std::chrono::milliseconds min_heartbeat_interval{200};
/// Also bounds the age of what only heartbeats carry: demand, waits, the version of the directory.
constexpr std::chrono::milliseconds max_heartbeat_interval{1000};

/// The interval for a fleet of this size. Every host sends heartbeats to every other one, so the
/// interval grows with the number of hosts: a host sends and receives at most about sixty
/// heartbeats a second, up to five times `hosts_at_min_interval` hosts.
constexpr duration heartbeat_interval_for(std::size_t hosts) {
    const duration scaled = duration(min_heartbeat_interval) * hosts / hosts_at_min_interval;
    return std::clamp<duration>(scaled, min_heartbeat_interval, max_heartbeat_interval);
}

/// The time without a heartbeat after which a host counts as dead: a little more than three
/// intervals.
constexpr duration heartbeat_timeout_for(duration heartbeat_interval) {
    return heartbeat_interval * 13 / 4;
}

} // namespace bronzeplank
