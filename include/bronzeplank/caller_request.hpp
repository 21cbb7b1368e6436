/// \file
/// Parses and validates callers' requests.
#pragma once

#include "bronzeplank/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// A statement with its parameters in text form; an empty optional is NULL.
struct caller_statement {
    std::string text;
    std::vector<std::optional<std::string>> parameters;
    bool operator==(const caller_statement&) const = default;
};

/// The body of a query request.
struct caller_query {
    std::string group;
    caller_statement statement;
    bool operator==(const caller_query&) const = default;
};

/// Whether a statement is a read, judged by its first word only. A replica rejects statements that
/// change data, so a misjudged write fails there.
bool is_read(std::string_view statement);

/// Parses a query's body: `{"database": ..., "statement": ..., "parameters": [...]}`.
/// \param with_group false inside a transaction, whose database group is known
/// \throws request_error of kind malformed_request that names the path, or of kind forbidden for
/// a statement that would change the session or end the transaction.
caller_query read_query(std::string_view body, bool with_group = true);

/// A hash of the request's content. Requests with the same idempotency key must have the same
/// fingerprint.
std::string fingerprint_of(const caller_query& query);

/// Parses a header that holds milliseconds; nothing when it is empty.
/// \throws request_error of kind malformed_request.
std::optional<duration> read_milliseconds(std::string_view text, std::string_view header);

} // namespace bronzeplank
