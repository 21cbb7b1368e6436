#include "bronzeplank/error.hpp"

#include <array>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr run_outcome not_run = run_outcome::not_run;
constexpr run_outcome unknown = run_outcome::unknown;

constexpr std::array answers{
    error_answer{error_kind::malformed_request, "malformed_request", 400, not_run, false},
    error_answer{error_kind::too_large, "too_large", 413, not_run, false},
    error_answer{error_kind::unauthenticated, "unauthenticated", 401, not_run, false},
    error_answer{error_kind::forbidden, "forbidden", 403, not_run, false},
    error_answer{error_kind::not_found, "not_found", 404, not_run, false},
    error_answer{error_kind::rate_limited, "rate_limited", 429, not_run, true},
    error_answer{error_kind::overloaded, "overloaded", 503, not_run, true},
    error_answer{error_kind::stopping, "stopping", 503, not_run, true},
    error_answer{error_kind::deadline_exceeded, "deadline_exceeded", 504, not_run, true},
    error_answer{error_kind::no_primary, "no_primary", 503, not_run, true},
    error_answer{error_kind::not_confirming, "not_confirming", 503, not_run, true},
    error_answer{error_kind::not_confirmed, "not_confirmed", 504, unknown, true},
    error_answer{error_kind::outcome_unknown, "outcome_unknown", 504, unknown, true},
    error_answer{error_kind::session_invalid, "session_invalid", 400, not_run, false},
    error_answer{error_kind::session_lost, "session_lost", 409, not_run, false},
    error_answer{error_kind::idempotency_mismatch, "idempotency_mismatch", 409, not_run, false},
    error_answer{error_kind::transaction_gone, "transaction_gone", 410, not_run, false},
    error_answer{error_kind::statement_failed, "statement_failed", 422, not_run, false},
    error_answer{error_kind::conflict, "conflict", 409, not_run, true},
    error_answer{error_kind::platform_unavailable, "platform_unavailable", 503, not_run, true},
    error_answer{error_kind::not_fresh, "not_fresh", 503, not_run, true},
    error_answer{error_kind::transaction_aborted, "transaction_aborted", 409, not_run, true},
    error_answer{error_kind::unknown_statement, "unknown_statement", 404, not_run, false},
    error_answer{error_kind::internal, "internal", 500, unknown, true},
};

constexpr bool rows_match_kinds() {
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (answers[i].kind != static_cast<error_kind>(i)) {
            return false;
        }
    }
    return answers.back().kind == error_kind::internal;
}

// answer_for() indexes by kind.
static_assert(rows_match_kinds(), "each error kind must have a row, in the order of the kinds");

} // namespace

std::span<const error_answer> error_answers() {
    return answers;
}

const error_answer& answer_for(error_kind kind) {
    return answers.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(run_outcome outcome) {
    switch (outcome) {
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::ran:
        return "ran";
    case run_outcome::unknown:
        break;
    }
    return "unknown";
}

request_error::request_error(error_kind kind, const std::string& message)
    : request_error(kind, answer_for(kind).outcome, message) {}

request_error::request_error(error_kind kind, run_outcome outcome, const std::string& message)
    : std::runtime_error(message), m_kind(kind), m_outcome(outcome) {}

input_error::input_error(std::string path, std::string expected, std::string found)
    : std::runtime_error(
          fmt::format("at {}: expected {}, found {}", path.empty() ? "/" : path, expected, found)),
      m_path(std::move(path)) {}

} // namespace bronzeplank
