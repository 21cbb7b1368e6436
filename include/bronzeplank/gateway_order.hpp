/// \file
/// Which host holds the connections to an instance.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// A host that can be a gateway, as another host sees it.
struct gateway_candidate {
    std::string host;
    std::string failure_domain;
    /// It reports that it can't reach the instance.
    bool cut_off = false;
    bool operator==(const gateway_candidate&) const = default;
};

/// The hosts in the order in which they serve an instance: those that reach it first, then those
/// of its failure domain, then by rendezvous hashing (Thaler and Ravishankar, 1998), so that a
/// host that comes or goes moves only its own share of the instances.
std::vector<std::string> order_gateways(std::string_view instance, std::string_view failure_domain,
                                        const std::vector<gateway_candidate>& candidates);

/// A hash that is the same on every host and in every version.
std::uint64_t stable_hash(std::string_view left, std::string_view right);

} // namespace bronzeplank
