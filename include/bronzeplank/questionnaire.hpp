/// \file
/// Generates a configuration from a questionnaire that an operator has filled in.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "bronzeplank/key_ring.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// The digest of a key that a workspace's callers present.
struct answered_key {
    std::string workspace;
    key_digest digest;
    bool operator==(const answered_key&) const = default;
};

/// The result of a questionnaire: a configuration and the digests of keys.
struct questionnaire {
    configuration generated;
    std::vector<answered_key> keys;
    bool operator==(const questionnaire&) const = default;
};

/// Parses a filled-in questionnaire (JSON with comments) and generates its configuration, with
/// version 0.
/// \throws input_error naming the path, what was expected and what was found.
questionnaire read_questionnaire(std::string_view text);

} // namespace bronzeplank
