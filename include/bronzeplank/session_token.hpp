/// \file
/// The token that carries a session's log positions between requests and hosts.
#pragma once

#include "bronzeplank/log_position.hpp"

#include <map>
#include <string>
#include <string_view>

namespace bronzeplank {

/// The secret, shared by all hosts, that authenticates tokens; any length.
struct session_secret {
    std::string value;
    bool operator==(const session_secret&) const = default;
};

/// Holds the position of a session's last write in each database group. The caller carries the
/// token, so that hosts keep no session state and any host can serve the session. encode()
/// authenticates a token; decode() refuses one that was modified or belongs to another workspace.
/// Usage: `const auto next = token.advanced("stock", position); encode(next, "desk", secret);`
class session_token {
public:
    session_token() = default;

    /// Returns the session's position in the group; {0, 0} if it wrote nothing there.
    log_position position(const std::string& group) const;

    /// Returns a token that includes the position; a lower position changes nothing.
    session_token advanced(const std::string& group, const log_position& position) const;

    const std::map<std::string, log_position>& positions() const { return m_positions; }

    bool operator==(const session_token&) const = default;

private:
    std::map<std::string, log_position> m_positions;
};

/// Formats the token for the workspace, authenticated with keyed BLAKE2b.
std::string encode(const session_token& token, std::string_view workspace,
                   const session_secret& secret);

/// Parses a token; an empty text is a new session.
/// \throws request_error of kind session_invalid if the token was modified or truncated, or belongs
/// to another workspace.
session_token decode(std::string_view text, std::string_view workspace,
                     const session_secret& secret);

namespace internal {

/// Encodes any payload as encode() does a token's.
std::string sign(std::string_view payload, std::string_view workspace,
                 const session_secret& secret);

} // namespace internal

} // namespace bronzeplank
