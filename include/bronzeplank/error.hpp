/// \file
/// Error kinds of requests and the table of their answers.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bronzeplank {

/// The ways in which a request can fail. Each kind has a row in the table of answers.
enum class error_kind {
    malformed_request,
    too_large,
    unauthenticated,
    forbidden,
    not_found,
    rate_limited,
    overloaded,
    stopping,
    deadline_exceeded,
    no_primary,
    not_confirming,
    not_confirmed,
    outcome_unknown,
    session_invalid,
    session_lost,
    idempotency_mismatch,
    transaction_gone,
    statement_failed,
    conflict,
    platform_unavailable,
    not_fresh,
    transaction_aborted,
    unknown_statement,
    internal
};

/// What a caller may conclude about the effect of its request.
/// `not_run` is a guarantee: the request had no effect and never will.
enum class run_outcome { not_run, ran, unknown };

/// A row of the table: the answer to a request that fails with the kind.
struct error_answer {
    error_kind kind;
    std::string_view code;
    int http_status;
    run_outcome outcome;
    bool retry_helps;
};

/// Returns all rows, one for each kind, in the order of the kinds.
std::span<const error_answer> error_answers();

/// Returns the row of the kind.
const error_answer& answer_for(error_kind kind);

std::string_view to_string(run_outcome outcome);

/// Reports a failed request. The outcome defaults to that of the kind's row.
class request_error : public std::runtime_error {
public:
    request_error(error_kind kind, const std::string& message);
    request_error(error_kind kind, run_outcome outcome, const std::string& message);

    error_kind kind() const { return m_kind; }
    run_outcome outcome() const { return m_outcome; }

private:
    error_kind m_kind;
    run_outcome m_outcome;
};

/// Reports an invalid value in a document. `path` is a JSON pointer to it.
class input_error : public std::runtime_error {
public:
    input_error(std::string path, std::string expected, std::string found);

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace bronzeplank
