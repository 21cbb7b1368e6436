/// \file
/// Measured work times of statements, by kind.
#pragma once

#include "bronzeplank/time.hpp"

#include <compare>
#include <map>

namespace bronzeplank {

enum class work_kind { read, write, transaction_statement };

/// Statements that are expected to take about the same time.
struct work_class {
    work_kind kind = work_kind::read;
    int priority = 0;
    auto operator<=>(const work_class&) const = default;
};

/// The mean time for which a statement occupies a slot, by class. A class without measurements is
/// expected to take the mean over all classes.
class slot_times {
public:
    void record(const work_class& measured, duration taken) {
        // Starts at the mean over all classes: the first statement of a class may be an outlier.
        add(m_by_class.try_emplace(measured, m_overall).first->second, taken);
        add(m_overall, taken);
    }

    duration expected(const work_class& wanted) const {
        const auto found = m_by_class.find(wanted);
        return found == m_by_class.end() ? m_overall : found->second;
    }

    duration overall() const { return m_overall; }

private:
    // Exponential moving average with weight 1/8: about twenty answers replace the estimate.
    static void add(duration& mean, duration taken) { mean += (taken - mean) / 8; }

    // Between those of the known deployments, 3 to 34 ms.
    duration m_overall = std::chrono::milliseconds(15);
    std::map<work_class, duration> m_by_class;
};

} // namespace bronzeplank
