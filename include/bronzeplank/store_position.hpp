/// \file
/// A position in the history of the platform's store.
#pragma once

#include "bronzeplank/time.hpp"

#include <compare>
#include <cstdint>

namespace bronzeplank {

/// A position in the history of the platform's store. An era ends when the store is restored from
/// an older copy; its revisions go back then, and are given out again for other changes. So a
/// revision is an identity and an order only together with its era.
///
/// Usage: `if (received > known) ...`
struct store_position {
    /// Rises with each restoration.
    std::uint64_t era = 0;
    /// Rises with each change within an era; 0 for an object that doesn't exist.
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;

    /// A number that is higher for a later position, also across eras.
    std::uint64_t fencing_token() const;
};

/// The latest era that a host has seen, and since when.
struct store_era {
    /// 0 if the store reports none.
    std::uint64_t number = 0;
    time_point seen_at{};
};

} // namespace bronzeplank
