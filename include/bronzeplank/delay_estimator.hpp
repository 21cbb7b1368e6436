/// \file
/// How late a peer's messages arrive, judged without a common clock.
#pragma once

#include "bronzeplank/time.hpp"

#include <optional>

namespace bronzeplank {

/// Compares each message's time on its way with the quickest one so far. The two clocks may show
/// any times and run apart by up to `greatest_drift`; neither may be set back. A message that a
/// cut has held up shows by how much, once one message has passed quickly.
/// Usage: `if (clock.lateness(sent, received) > limit) drop();`
class peer_clock {
public:
    /// Parts per million by which the clocks of two machines run apart at most.
    static constexpr int greatest_drift = 200;

    /// \param sent on the peer's clock
    /// \param received on this host's clock, not before the message received last
    duration lateness(time_point sent, time_point received);

private:
    std::optional<duration> m_quickest;
    time_point m_received{};
};

} // namespace bronzeplank
