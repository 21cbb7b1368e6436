/// \file
/// The requirements of a pool on a connection to an instance.
#pragma once

#include "session/upstream_work.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeplank {

/// The workspace on whose behalf a host sends commands and status requests.
constexpr std::string_view control_workspace = "bronzeplank";

/// A replication command that changes something isn't sent this long after it was given to the
/// connection: it may contradict a later one by then.
constexpr std::chrono::milliseconds command_send_limit{500};

/// Such a command is given up with its connection when it has had no answer for this long. Shorter
/// than `command_send_limit`, within which it ends, since it is checked periodically.
constexpr std::chrono::milliseconds command_answer_limit{450};

/// A connection to an instance on behalf of one workspace. Requests are answered in the order in
/// which they were sent; when the connection closes, each unanswered request gets `unanswered`, and
/// then the handler that was passed to the constructor for this is called.
template <class Connection>
concept upstream_connection = requires(Connection connection, const statement& to_run,
                                       const std::string& text, const statement_shape& shape,
                                       std::optional<log_position> position,
                                       answer_handler on_answer, status_handler on_status) {
    connection.clear_session();
    connection.set_value(text, text);
    connection.prepare(text, shape);
    connection.begin(true, position, on_answer);
    connection.rollback();
    connection.run(to_run, text, position, on_answer);
    connection.send_command(replication_command::pause, std::uint64_t{}, on_status);
    connection.close();
};

} // namespace bronzeplank
