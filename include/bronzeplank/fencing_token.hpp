/// \file
/// The fencing token that an instance stores with its replication settings.
#pragma once

#include "bronzeplank/log_position.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// Makes an instance refuse commands of superseded coordinators. Each command stores the token in
/// primary_conninfo, as `application_name=name:term[:pending_term:pending_end]`.
/// Usage: `const auto token = parse_fencing_token(conninfo); if (token.term > command_term) ...`
struct fencing_token {
    /// The term of the last command; the instance refuses commands of a lower term.
    std::uint64_t term = 0;
    /// The term under which the instance was promoted or attached. Until that term's record has
    /// arrived, log data past `pending_end` may be internal records of a promotion.
    std::uint64_t pending_term = 0;
    std::uint64_t pending_end = 0;
    bool operator==(const fencing_token&) const = default;
};

/// Parses the token in a primary_conninfo or an application name; term 0 if there is none.
fencing_token parse_fencing_token(std::string_view conninfo);

/// Formats the application name that carries the token.
std::string format_fencing_token(std::string_view upstream, const fencing_token& token);

/// Returns where the data of earlier terms ends at an instance whose log ends at `last`.
std::uint64_t end_of_earlier_terms(const fencing_token& token, const log_position& last);

/// Returns the token after a detach under the term.
fencing_token token_after_detach(const fencing_token& before, std::uint64_t last_term,
                                 std::uint64_t term);

/// Returns the token after a promotion or an attachment under the term, with the earlier terms
/// ending at `start`.
fencing_token token_with_pending_term(const fencing_token& before, std::uint64_t last_term,
                                      std::uint64_t term, std::uint64_t start);

/// Returns where the terms that the instance has a record of end in the log that it is about to
/// follow: the start of the first term that it lacks, or `start`, the end of all earlier terms.
/// \param terms the terms of the log to follow
/// \param last_term the last term that the instance has a record of
std::uint64_t end_of_recorded_terms(const std::vector<term_start>& terms, std::uint64_t last_term,
                                    std::uint64_t start);

} // namespace bronzeplank
