/// \file
/// Chooses the instance of a group that serves a read.
#pragma once

#include "bronzeplank/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// An instance that could serve a read, with its state as known to this host.
struct placement_candidate {
    std::string instance;
    bool is_primary = false;
    bool same_domain = false;
    /// The queue wait of new work, as last reported by the instance's gateway.
    duration reported_wait{};
    /// Requests that this host has sent to the instance and that are not answered yet.
    int outstanding = 0;
    int slots = 1;
    /// The fraction of its recent statements that failed or hang, from 0 to 1.
    double failure_rate = 0;
    bool same_region = true;
    /// The mean time for which a statement occupies one of its slots; zero if unknown.
    duration work_time{};
    /// The expected work time of all requests that this host waits for, and of those that it has
    /// sent since the report.
    duration own_work{};
    duration own_work_since_report{};
    /// Its log is expected to lack a position that the read needs.
    bool lacks_position = false;
    /// Scales its chance to be sampled; less than 1 after failures or a lag, 0 while ejected.
    double weight = 1;
    bool operator==(const placement_candidate&) const = default;
};

/// Penalties, in time, that are added to the expected wait of an instance.
struct placement_costs {
    /// The time for which one statement is assumed to occupy a slot.
    duration work_time = std::chrono::milliseconds(15);
    /// For traffic and latency between failure domains.
    duration other_domain = std::chrono::milliseconds(25);
    /// Keeps reads off the primary, as only the primary can serve writes.
    duration primary = std::chrono::milliseconds(20);
    /// The time that a failed or hanging statement costs its caller; scaled by the failure rate.
    duration failure = std::chrono::milliseconds(400);
    /// For traffic and latency between regions, in addition to `other_domain`.
    duration other_region{};
    bool operator==(const placement_costs&) const = default;
};

/// The costs for place_sampled_read(). Another domain costs a few round trips, so that it decides
/// between equally busy instances only; with 25 ms, a domain with many hosts would keep its
/// instance at a queue of ten statements. Another region costs its round trip and a part of the
/// link between the regions.
constexpr placement_costs sampled_placement_costs() {
    placement_costs costs;
    costs.other_domain = std::chrono::milliseconds(4);
    costs.other_region = std::chrono::milliseconds(30);
    return costs;
}

/// The candidate with the lowest cost: its expected wait plus the penalties. This balances load
/// over replicas that several hosts use without seeing each other's requests, and avoids instances
/// that pass health checks but fail some of their statements. Failures add a cost and exclude no
/// instance, so a group whose instances all fail is still used. Among equal costs the first
/// candidate wins; the result is empty without candidates.
std::optional<std::string> place_read(const std::vector<placement_candidate>& candidates,
                                      const placement_costs& costs);

/// Samples two candidates, weighted by their slots, and returns the one with the lower cost. This
/// balances load over instances that so many hosts use that they would all send their reads to the
/// same minimum until the next reports. Instances that lack the position are candidates only if all
/// do. The result is empty without candidates.
/// \param draw a uniformly distributed random number
std::optional<std::string> place_sampled_read(const std::vector<placement_candidate>& candidates,
                                              const placement_costs& costs, std::uint64_t draw);

} // namespace bronzeplank
