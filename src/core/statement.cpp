#include "bronzeplank/statement.hpp"

#include <array>
#include <fmt/format.h>

namespace bronzeplank {

std::string_view to_string(upstream_result result) {
    static constexpr std::array<std::string_view, 11> names{
        "done",         "overloaded", "behind", "not_primary", "wrong_instance", "no_connection",
        "unknown_name", "unsent",     "failed", "timed_out",   "unanswered"};
    return names.at(static_cast<std::size_t>(result));
}

std::string_view to_string(replication_command command) {
    static constexpr std::array<std::string_view, 5> names{"report", "pause", "resume", "demote",
                                                           "hold"};
    return names.at(static_cast<std::size_t>(command));
}

std::string to_text(const log_position& position) {
    return fmt::format("{}.{}", position.term, position.offset);
}

std::string to_text(const replication_status& status) {
    return fmt::format("{} term {} received {} paused by {}",
                       status.role == replication_role::primary ? "primary" : "replica",
                       status.term, to_text(status.received), status.paused_by);
}

} // namespace bronzeplank
