/// \file
/// Logs and counts the limits that callers, peers, instances or the store have reached.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bronzeplank {

/// A limit, as it appears in the log and in the metrics.
enum class limit_kind {
    first_line_timeout,
    line_timeout,
    line_bytes,
    unread_answers,
    input_budget,
    output_budget,
    statement_budget,
    session_bytes,
    answer_bytes,
    store_reply_bytes,
    request_bytes,
    request_timeout
};

/// A limit with its name and what is counted.
struct limit_row {
    limit_kind kind;
    std::string_view name;
    std::string_view help;
};

/// All limits, in the order of the kinds.
std::span<const limit_row> limit_rows();

/// Counts that the limit was reached and logs it. \param bytes held or received; 0 if not known
void record_limit(limit_kind kind, std::size_t bytes);

/// How often the limit was reached since the process started.
std::uint64_t limit_count(limit_kind kind);

} // namespace bronzeplank
