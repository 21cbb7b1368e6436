/// \file
/// Which instance of a group serves a read.
#pragma once

#include "bronzeplank/time.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// An instance that could serve a read, as this host sees it.
struct placement_candidate {
    std::string instance;
    bool primary = false;
    bool same_domain = false;
    /// How long new work waits there, by its gateway's last word.
    duration reported_wait{};
    /// Work that this host has sent there and has no answer to.
    int outstanding = 0;
    int slots = 1;
    /// The share of its latest statements that failed or hang, from 0 to 1.
    double failing = 0;
    bool operator==(const placement_candidate&) const = default;
};

/// What moves a read away from the instance with the shortest wait.
struct placement_costs {
    /// The time that one statement is taken to hold a slot.
    duration work_time = std::chrono::milliseconds(15);
    /// A read in another domain pays for its bytes and for the way.
    duration other_domain = std::chrono::milliseconds(25);
    /// Writes can be served nowhere else.
    duration primary = std::chrono::milliseconds(20);
    /// What a statement that fails or hangs takes from its caller.
    duration failure = std::chrono::milliseconds(400);
    bool operator==(const placement_costs&) const = default;
};

/// Answers uneven load on the replicas, which several hosts share without seeing each other's
/// work, and instances that look healthy and fail part of their statements: the least cost wins,
/// where each candidate costs its expected wait, what it takes from others, and its share of
/// failures. Since that is a cost and no ban, a group in which all fail is still used. Nothing
/// without candidates. Equal costs go to the first candidate.
std::optional<std::string> place_read(const std::vector<placement_candidate>& candidates,
                                      const placement_costs& costs);

} // namespace bronzeplank
