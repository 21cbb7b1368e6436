/// \file
/// Ranks the hosts that can be the gateway of an instance.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// A host that can be a gateway, with its state as known to another host.
struct gateway_candidate {
    std::string host;
    std::string failure_domain;
    /// The host reports that it can't reach the instance.
    bool reports_unreachable = false;
    bool operator==(const gateway_candidate&) const = default;
};

/// The hosts in order of preference: hosts that reach the instance before those that don't, then
/// hosts in its failure domain, then by rendezvous hashing (Thaler and Ravishankar, 1998), so that
/// a host that joins or leaves moves only its own share of the instances. The first is the gateway.
std::vector<std::string> order_gateways(std::string_view instance, std::string_view failure_domain,
                                        const std::vector<gateway_candidate>& candidates);

/// A hash that is equal on all hosts and in all versions of the program.
std::uint64_t stable_hash(std::string_view left, std::string_view right);

} // namespace bronzeplank
