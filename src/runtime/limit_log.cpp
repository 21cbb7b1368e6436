#include "runtime/limit_log.hpp"

#include "runtime/log.hpp"

#include <array>
#include <string>

namespace bronzeplank {

namespace {

constexpr std::array rows{
    limit_row{limit_kind::first_line_timeout, "first_line_timeout",
              "Callers closed since they sent no first line in time."},
    limit_row{limit_kind::line_timeout, "line_timeout",
              "Callers closed since they did not complete a line in time."},
    limit_row{limit_kind::line_bytes, "line_bytes", "Lines of callers over the limit."},
    limit_row{limit_kind::unread_answers, "unread_answers",
              "Callers closed since they did not read their answers."},
    limit_row{limit_kind::input_budget, "input_budget",
              "Connections closed since the budget's input was short."},
    limit_row{limit_kind::output_budget, "output_budget",
              "Connections closed since the budget's output was short."},
    limit_row{limit_kind::statement_budget, "statement_budget",
              "Statements delayed or refused since the budget was short."},
    limit_row{limit_kind::session_bytes, "session_bytes",
              "Session values and prepared statements refused for their size."},
    limit_row{limit_kind::answer_bytes, "answer_bytes", "Answers of instances over the limit."},
    limit_row{limit_kind::store_reply_bytes, "store_reply_bytes",
              "Replies to HTTP calls of this host over the limit."},
    limit_row{limit_kind::request_bytes, "request_bytes",
              "HTTP requests whose head or body was over the limit."},
    limit_row{limit_kind::request_timeout, "request_timeout",
              "HTTP connections closed since a request was not complete in time."},
};

std::array<std::uint64_t, rows.size()> counts{};

} // namespace

std::span<const limit_row> limit_rows() {
    return rows;
}

void record_limit(limit_kind kind, std::size_t bytes) {
    const auto index = static_cast<std::size_t>(kind);
    ++counts.at(index);
    log(log_event::limit_reached,
        {{"limit", std::string(rows.at(index).name)}, {"bytes", std::to_string(bytes)}});
}

std::uint64_t limit_count(limit_kind kind) {
    return counts.at(static_cast<std::size_t>(kind));
}

} // namespace bronzeplank
