/// \file
/// Limits how many statements a host sends more than once.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace bronzeplank {

/// Parameters of a retry budget.
struct retry_budget_limits {
    /// Retries per statement.
    double ratio = 0.1;
    /// Retries that are allowed without any statements; a host of a large fleet serves only some
    /// twenty statements a second.
    double constant = 5;
    /// The time in which a statement loses two thirds of its weight.
    duration memory = std::chrono::seconds(10);
    bool operator==(const retry_budget_limits&) const = default;
};

/// Allows at most `ratio` retries per recent statement plus a small constant, over all statements
/// of a host, so that refusals don't multiply the load that caused them. Retries after a refusal
/// and hedged reads share the budget.
/// Usage: `budget.record_statement(now);` for each statement;
/// `if (budget.spend(now)) send_again();`
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits limits = {}) : m_limits(limits) {}

    void record_statement(time_point now) {
        decay(now);
        ++m_statements;
    }

    /// Counts one retry; false if the budget is spent.
    bool spend(time_point now) {
        if (left(now) < 1) {
            ++m_denied_count;
            return false;
        }
        ++m_retries;
        ++m_spent_count;
        return true;
    }

    /// Retries that are still allowed; 0 or more.
    double left(time_point now) {
        decay(now);
        return std::max(0.0, m_limits.constant + m_limits.ratio * m_statements - m_retries);
    }

    std::uint64_t spent_count() const { return m_spent_count; }
    std::uint64_t denied_count() const { return m_denied_count; }

private:
    void decay(time_point now) {
        if (now <= m_decayed_at) {
            return;
        }
        const std::chrono::duration<double> elapsed = now - m_decayed_at;
        const std::chrono::duration<double> memory = m_limits.memory;
        const double kept = std::exp(-elapsed / memory);
        m_statements *= kept;
        m_retries *= kept;
        m_decayed_at = now;
    }

    retry_budget_limits m_limits;
    double m_statements = 0;
    double m_retries = 0;
    time_point m_decayed_at{};
    std::uint64_t m_spent_count = 0;
    std::uint64_t m_denied_count = 0;
};

} // namespace bronzeplank
