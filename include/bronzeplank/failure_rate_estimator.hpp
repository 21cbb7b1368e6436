/// \file
/// The recent failure rate of an instance's statements.
#pragma once

#include "bronzeplank/time.hpp"

namespace bronzeplank {

/// An exponential moving average of statement outcomes, from 0 (all succeeded) to 1 (all failed or
/// hung). It detects an instance that passes health checks but fails some of its statements. It
/// also decays with time, so that an instance that is avoided because of it is tried again.
/// Usage: `rate.record(succeeded, now); if (rate.at(now) > 0.3) ...`
class failure_rate_estimator {
public:
    /// The time without an outcome after which the rate has halved.
    static constexpr std::chrono::milliseconds half_life{1500};

    /// Records the outcome of one statement.
    void record(bool succeeded, time_point now);
    /// The failure rate at that time.
    double at(time_point now) const;

private:
    double m_rate = 0;
    time_point m_recorded_at{};
};

} // namespace bronzeplank
