/// \file
/// Ranks the instances that can serve a read.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// What a host knows about one instance when it routes a read.
struct read_candidate {
    std::string upstream;
    bool is_primary = false;
    bool same_domain = false;
    /// A connection is open or can be opened, and the instance accepts new work.
    bool usable = false;
    /// The last observed replay state. A replica only moves forward, so it is a lower bound.
    replay_state state;
    /// The age of the instance's data at that observation; nothing when it is unknown.
    std::optional<duration> staleness;
    std::size_t load = 0;
    bool operator==(const read_candidate&) const = default;
};

/// The consistency that a read requires.
struct read_request {
    /// The position of the session's last write, which the read must see.
    log_position session;
    /// The largest age of data that the caller accepts; nothing when any age is accepted.
    std::optional<duration> max_staleness;
    bool operator==(const read_request&) const = default;
};

/// The instances to try, in order of preference: replicas known to cover the session's position,
/// then replicas that may have replayed it by now, then the primary; among equals the less loaded
/// instance, then one in the same failure domain. Whether the instance covers the position is
/// checked when the read runs there.
std::vector<std::string> rank_read_targets(const std::vector<read_candidate>& candidates,
                                           const read_request& request);

} // namespace bronzeplank
