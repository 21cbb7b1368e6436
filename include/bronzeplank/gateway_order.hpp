/// \file
/// Ranks the hosts that can be the gateway of an instance.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// What a host announces of its machine.
struct host_resources {
    /// Cores that the host may use; nothing if it doesn't announce them.
    std::optional<double> cores;
    /// The bandwidth of its link; nothing if it doesn't announce it.
    std::optional<double> link_mbps;
    bool operator==(const host_resources&) const = default;
};

/// The resources as others receive them: hundredths of cores, whole Mbit/s, at least 1 each.
host_resources as_announced(const host_resources& resources);

/// The capacity of a host as a gateway or relay relative to hosts that announce the same resources:
/// the product of cores and bandwidth, since it needs both; 0 if it announces neither.
double relative_capacity(const host_resources& resources);

/// A host that can be a gateway, with its state as known to another host.
struct gateway_candidate {
    std::string host;
    std::string failure_domain;
    /// The host reports that it can't reach the instance.
    bool reports_unreachable = false;
    host_resources resources{};
    bool operator==(const gateway_candidate&) const = default;
};

/// The hosts in order of preference: hosts that reach the instance before those that don't, then
/// hosts in its failure domain, then by rendezvous hashing (Thaler and Ravishankar, 1998) weighted
/// by capacity, so that a host that joins or leaves moves only its own share of the instances. The
/// first is the gateway. With equal capacities, as when no host announces any, the order is that of
/// the hashes alone. A host that leaves a resource out counts with the least that another
/// announces.
std::vector<std::string> order_gateways(std::string_view instance, std::string_view failure_domain,
                                        const std::vector<gateway_candidate>& candidates);

/// A hash that is equal on all hosts and in all versions of the program.
std::uint64_t stable_hash(std::string_view left, std::string_view right);

} // namespace bronzeplank
