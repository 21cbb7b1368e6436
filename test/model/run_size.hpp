/// \file
/// The number and the first seed of the randomized runs: few in CI, more in scripts/prove.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace bronzeplank::model {

/// The number in an environment variable, or the fallback.
inline std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

inline std::uint64_t walk_count() {
    return from_environment("BRONZEPLANK_RUNS", 20'000);
}
inline std::uint64_t first_seed() {
    return from_environment("BRONZEPLANK_SEED", 20261204);
}

} // namespace bronzeplank::model
