/// \file
/// Positions in a database group's replicated log and the history of its terms.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// A position in a group's log: the term in which it was written and the offset in bytes.
/// Positions compare by term first: a record of a later term takes precedence over a longer log.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t offset = 0;
    auto operator<=>(const log_position&) const = default;
};

/// The lowest position that a commit can have which begins when the log ends at `end`.
log_position lowest_after(const log_position& end);

/// Parses an offset in PostgreSQL's `high/low` notation; returns nothing for any other text.
std::optional<std::uint64_t> parse_offset(std::string_view text);

/// Formats an offset in PostgreSQL's `high/low` notation.
std::string format_offset(std::uint64_t offset);

/// The offset at which a term's own records begin in the log.
struct term_start {
    std::uint64_t term = 0;
    std::uint64_t offset = 0;
    auto operator<=>(const term_start&) const = default;
};

/// Whether an instance's data includes a session's writes.
enum class coverage {
    /// The instance has everything up to the session's position.
    covered,
    /// The instance has not replayed up to the session's position yet; it may be retried.
    behind,
    /// The session's position lies past the end of its term: its write was discarded.
    lost
};

/// An instance's replay progress: the replayed offset and the terms it has records of.
struct replay_state {
    std::uint64_t offset = 0;
    std::vector<term_start> terms;
    bool operator==(const replay_state&) const = default;

    /// Returns the highest term that the instance has a record of; 0 without any.
    std::uint64_t last_term() const;
};

/// Decides whether the instance covers the session's position. Never returns `covered` for data
/// that lacks the session's write, whichever instances were promoted since.
coverage covers(const replay_state& instance, const log_position& session);

} // namespace bronzeplank
