/// \file
/// The usual time to an answer, and when a missing one is unusual.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <chrono>

namespace bronzeplank {

/// Estimates when an answer is clearly later than usual, by the mean of measured times and four
/// mean deviations, as TCP computes its retransmission timeout (Jacobson 1988).
class answer_time {
public:
    void record(duration taken) {
        if (!m_measured) {
            m_measured = true;
            m_mean = taken;
            m_deviation = taken / 2;
            return;
        }
        const duration error = taken - m_mean;
        m_mean += error / 8;
        m_deviation += (std::chrono::abs(error) - m_deviation) / 4;
    }

    /// An answer is later than usual after this time.
    duration unusual_after() const {
        return std::max<duration>(min_unusual, m_mean + 4 * m_deviation);
    }

private:
    // Shorter silences are usual on hosts with an eighth of a core.
    static constexpr std::chrono::milliseconds min_unusual{100};

    bool m_measured = false;
    duration m_mean{};
    duration m_deviation{};
};

} // namespace bronzeplank
