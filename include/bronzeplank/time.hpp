/// \file
/// The core library's time types: time points on the boot clock, in microseconds.
#pragma once

#include <chrono>

namespace bronzeplank {

/// A tag for the clock that also advances while the machine is suspended (CLOCK_BOOTTIME). The core
/// never reads it: the runtime passes the current time as an argument.
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Whole milliseconds of a duration, rounded down.
constexpr long long to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace bronzeplank
