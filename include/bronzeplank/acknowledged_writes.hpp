/// \file
/// The commits that a host has acknowledged lately, to find those that a new primary's log lacks.
#pragma once

#include "bronzeplank/primary_tracker.hpp"
#include "bronzeplank/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// A commit that this host has acknowledged to a caller.
struct acknowledged_write {
    /// The caller's id of the request.
    std::string id;
    /// The instance that confirmed the commit.
    std::string instance;
    /// The commit's position, or the lowest one that it can have.
    log_position position;
    time_point acknowledged_at{};
    auto operator<=>(const acknowledged_write&) const = default;
};

/// Keeps a group's newest acknowledged commits, a bounded number for each of the newest terms.
///
/// Usage: `writes.record({id, instance, position, now});`
/// `for (const auto& lost : writes.missing_from(beginning, now)) ...`
class acknowledged_writes {
public:
    static constexpr std::size_t kept_per_term = 16;
    static constexpr std::size_t kept_terms = 4;
    static constexpr std::chrono::seconds retention{60};

    void record(acknowledged_write write);

    /// The commits of earlier terms above the position with which the term began, in the order in
    /// which they were acknowledged within each term. None that is older than the retention.
    std::vector<acknowledged_write> missing_from(const term_beginning& beginning,
                                                 time_point now) const;

    bool operator==(const acknowledged_writes&) const = default;

private:
    std::map<std::uint64_t, std::deque<acknowledged_write>> m_terms;
};

} // namespace bronzeplank
