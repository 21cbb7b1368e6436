/// \file
/// What an instance remembers of the orders that it took.
#pragma once

#include "bronzeplank/log_position.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// Written into primary_conninfo by each order, as `application_name=name:term[:pending:end]`.
struct fencing_token {
    /// The term of the last order; an instance refuses a lower one.
    std::uint64_t term = 0;
    /// The instance was promoted or attached under this term. Until it has that term's record, what
    /// lies behind `pending_end` may be what a promotion wrote by itself.
    std::uint64_t pending_term = 0;
    std::uint64_t pending_end = 0;
    bool operator==(const fencing_token&) const = default;
};

/// The stamp in a primary_conninfo or an application name; term 0 without one.
fencing_token parse_fencing_token(std::string_view conninfo);

/// The application name that carries the stamp.
std::string format_fencing_token(std::string_view upstream, const fencing_token& stamp);

/// Where the earlier terms' data ends at an instance whose log ends at `last`.
std::uint64_t end_of_earlier_terms(const fencing_token& stamp, const log_position& last);

/// The stamp after a detach under the term.
fencing_token token_after_detach(const fencing_token& before, std::uint64_t last_term,
                                 std::uint64_t term);

/// The stamp after a promotion or an attachment under the term, whose earlier terms end at `start`.
fencing_token token_with_pending_term(const fencing_token& before, std::uint64_t last_term,
                                      std::uint64_t term, std::uint64_t start);

/// Where what the instance has a record of ends in the log that it is about to follow: the start
/// of the first term that it lacks, or `start`, the end of all earlier terms.
/// \param terms the terms of the log to follow
/// \param last_term the last term that the instance has a record of
std::uint64_t end_of_recorded_terms(const std::vector<term_start>& terms, std::uint64_t last_term,
                                    std::uint64_t start);

} // namespace bronzeplank
