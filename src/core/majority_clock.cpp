#include "bronzeplank/majority_clock.hpp"

#include <algorithm>
#include <vector>

namespace bronzeplank {

namespace {

// A clock of two that differ may be either one.
constexpr std::size_t min_readings = 3;

duration offset_of(time_point now, utc_time reading) {
    return reading.time_since_epoch() - now.time_since_epoch();
}

} // namespace

majority_clock::majority_clock(time_point now, utc_time own_reading)
    : m_offset(offset_of(now, own_reading)) {}

void majority_clock::record_own(time_point now, utc_time reading) {
    std::erase_if(m_readings, [&](const auto& entry) {
        return now - entry.second.received > reading_retention;
    });
    std::vector<duration> offsets{offset_of(now, reading)};
    for (const auto& [host, known] : m_readings) {
        offsets.push_back(known.offset);
    }
    if (offsets.size() < min_readings) {
        return;
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    if (std::chrono::abs(*middle - m_offset) > max_error) {
        m_offset = *middle;
    }
}

void majority_clock::record_peer(const std::string& host, time_point now, utc_time reading) {
    m_readings[host] = {offset_of(now, reading), now};
}

} // namespace bronzeplank
