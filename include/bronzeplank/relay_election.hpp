/// \file
/// Chooses the hosts of a failure domain that relay what its other hosts need from outside.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bronzeplank {

/// A live host of the failure domain.
struct relay_candidate {
    std::string host;
    /// Relative capacity; 0 if unknown.
    double capacity = 0;
    bool operator==(const relay_candidate&) const = default;
};

/// The relays of a failure domain, first choice first: the hosts with the highest capacity, and
/// among equals those with the lowest name. Hosts that see the same live hosts choose the same
/// relays without a message; a host that sees others may choose differently for a heartbeat
/// timeout, so relaying must be safe to do twice or not at all for that long.
/// \param live the domain's live hosts that are not leaving, in any order
std::vector<std::string> choose_relays(std::vector<relay_candidate> live, std::size_t count);

} // namespace bronzeplank
