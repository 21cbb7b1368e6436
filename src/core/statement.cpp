#include "bronzeplank/statement.hpp"

#include <array>

namespace bronzeplank {

std::string_view to_string(upstream_result result) {
    static constexpr std::array<std::string_view, 11> names{
        "done",         "overloaded", "behind", "not_primary", "wrong_instance", "no_connection",
        "unknown_name", "unsent",     "failed", "timed_out",   "unanswered"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace bronzeplank
