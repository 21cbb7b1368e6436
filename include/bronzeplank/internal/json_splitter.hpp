/// \file
/// Splits JSON text into the texts of its parts.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace bronzeplank::internal {

/// A member of a JSON object: its name without quotes, and the text of its value.
struct json_member {
    std::string_view name;
    std::string_view value;
    bool operator==(const json_member&) const = default;
};

/// Splits the text of an object or an array at its outermost level. The parts are not interpreted,
/// so that each can be parsed by itself; they refer to `text`. Returns nothing if the brackets and
/// commas of that level are not as JSON has them, or the text is of another type.
std::optional<std::vector<json_member>> split_object(std::string_view text);
std::optional<std::vector<std::string_view>> split_array(std::string_view text);

} // namespace bronzeplank::internal
