/// \file
/// The closed list of error kinds, and the table from kind to answer.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bronzeplank {

/// Every way in which a request can fail. The list is closed: a new kind gets a row in the table.
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
/// `not_run` is a promise: the request had no effect and never will have one.
enum class run_outcome { not_run, ran, unknown };

/// One row of the table: the answer that belongs to a kind.
struct error_answer {
    error_kind kind;
    std::string_view code;
    int http_status;
    run_outcome outcome;
    bool retry_helps;
};

/// All rows, one for each kind, in the order of the kinds.
std::span<const error_answer> error_answers();

/// The row of one kind.
const error_answer& answer_for(error_kind kind);

std::string_view to_string(run_outcome outcome);

/// A failed request. The outcome defaults to the one of its kind's row.
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

/// A value in a document is not what its reader needs. `path` is a JSON pointer.
class input_error : public std::runtime_error {
public:
    input_error(std::string path, std::string expected, std::string found);

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace bronzeplank
