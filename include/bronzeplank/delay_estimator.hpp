/// \file
/// Estimates the delay of a peer's messages without synchronized clocks.
#pragma once

#include "bronzeplank/time.hpp"

#include <optional>

namespace bronzeplank {

/// Compares each message's offset (time received minus time sent) with the smallest offset so far.
/// The two clocks may show any times and may drift apart by up to `max_clock_drift_ppm`; neither
/// may be set back. The delay of a message that was held back is detected once one message has
/// arrived without delay.
/// Usage: `if (estimator.excess_delay(sent, received) > limit) drop();`
class delay_estimator {
public:
    /// The highest rate, in parts per million, at which the clocks of two machines drift apart.
    static constexpr int max_clock_drift_ppm = 200;

    /// The message's delay beyond the smallest delay seen.
    /// \param sent on the peer's clock
    /// \param received on this host's clock, not before the previous message was received
    duration excess_delay(time_point sent, time_point received);

private:
    std::optional<duration> m_min_offset;
    time_point m_last_received{};
};

} // namespace bronzeplank
