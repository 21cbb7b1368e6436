/// \file
/// How many of an instance's latest statements went wrong.
#pragma once

#include "bronzeplank/time.hpp"

namespace bronzeplank {

/// Answers the load of an instance that looks healthy and fails or hangs part of its statements:
/// a share from 0 to 1 in which the latest outcomes weigh most. It fades with time, so that an
/// instance that gets no more work because of it is tried again by and by.
/// Usage: `share.note(answered, now); if (share.at(now) > 0.3) ...`
class failure_share {
public:
    /// After this long without an outcome the share has halved.
    static constexpr std::chrono::milliseconds half_life{1500};

    void note(bool good, time_point now);
    double at(time_point now) const;

private:
    double m_share = 0;
    time_point m_noted{};
};

} // namespace bronzeplank
