/// \file
/// How many of an instance's connections a host may open.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cstddef>

namespace bronzeplank {

/// What a host knows of the hosts that may connect to an instance.
struct connection_rivals {
    /// The host takes itself for the instance's preferred gateway.
    bool preferred = false;
    /// Hosts that are alive, and hosts that are alive or may be alive but unreachable; both include
    /// this one.
    std::size_t live = 1;
    std::size_t presumed = 1;
    bool operator==(const connection_rivals&) const = default;
};

/// The connections that a host of a large fleet may open to an instance, its control connection
/// included.
///
/// The preferred gateway opens three quarters of the cap. All other hosts divide the rest, with at
/// least one connection for statements each. After a mass restart, and on the smaller side of a
/// partition, several hosts take themselves for the preferred gateway. A host that sees no more
/// than half of the hosts therefore gets only the part of the rest that belongs to the hosts that
/// it sees.
constexpr int connection_share(int cap, const connection_rivals& rivals) {
    const int gateway_share = std::max(2, cap * 3 / 4);
    if (rivals.preferred && 2 * rivals.live > rivals.presumed) {
        return gateway_share;
    }
    const auto rest = static_cast<std::size_t>(std::max(0, cap - gateway_share));
    const std::size_t known = std::max(rivals.live, rivals.presumed);
    const std::size_t share =
        rivals.preferred ? rest * rivals.live / known : rest / std::max<std::size_t>(known - 1, 1);
    return 1 + static_cast<int>(std::max<std::size_t>(share, 1));
}

/// Random, growing pauses after refused connections, so that the hosts that an instance has refused
/// don't all return at once (Metcalfe and Boggs 1976).
class connection_backoff {
public:
    /// \param random uniformly distributed between 0 and 1
    duration next_pause(double random) {
        const duration longest = first_pause * (1U << m_refused_count);
        m_refused_count = std::min(m_refused_count + 1, max_doublings);
        return duration(
            static_cast<duration::rep>(static_cast<double>(longest.count()) * (0.5 + random / 2)));
    }

    void reset() { m_refused_count = 0; }

private:
    // A connection takes 12 ms of a slot.
    static constexpr duration first_pause = std::chrono::milliseconds(100);
    // Up to 1.6 s, within which the directory of gateways has settled after a restart.
    static constexpr unsigned max_doublings = 4;

    unsigned m_refused_count = 0;
};

} // namespace bronzeplank
