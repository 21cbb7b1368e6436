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

    /// Records that the message, and an earlier one to the peer, took this long together.
    void record_round_trip(time_point sent, time_point received, duration round_trip);

    /// The longest that the message can have taken. Unlike the excess delay, it doesn't take the
    /// first messages for prompt ones. Nothing before the first round trip.
    std::optional<duration> max_delay(time_point sent, time_point received) const;

private:
    std::optional<duration> m_min_offset;
    time_point m_last_received{};
    /// The highest known lower bound of the offset of a message without delay, and its time.
    std::optional<duration> m_offset_bound;
    time_point m_bound_at{};
};

} // namespace bronzeplank
