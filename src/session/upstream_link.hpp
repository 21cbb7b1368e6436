/// \file
/// What a lane needs of a connection to an instance.
#pragma once

#include "session/upstream_work.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeplank {

/// A connection to an instance on behalf of one workspace. Requests are answered in their order;
/// when the connection ends, each unanswered one gets `unanswered`, and then `closed` is called.
template <class Link>
concept upstream_link = requires(Link link, const statement& what, const std::string& text,
                                 const statement_shape& shape, std::optional<log_position> position,
                                 answer_handler answered, status_handler reported) {
    link.clear_session();
    link.set_value(text, text);
    link.prepare(text, shape);
    link.begin(true, position, answered);
    link.rollback();
    link.run(what, text, position, answered);
    link.order(replication_command::pause, std::uint64_t{}, reported);
    link.close();
};

} // namespace bronzeplank
