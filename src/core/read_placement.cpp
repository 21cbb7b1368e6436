#include "bronzeplank/read_placement.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bronzeplank {

namespace {

duration penalty_of(const placement_candidate& candidate, const placement_costs& costs) {
    auto penalty = std::chrono::duration_cast<duration>(costs.failure * candidate.failure_rate);
    if (!candidate.same_domain) {
        penalty += costs.other_domain;
    }
    if (!candidate.same_region) {
        penalty += costs.other_region;
    }
    if (candidate.is_primary) {
        penalty += costs.primary;
    }
    return penalty;
}

duration cost_of(const placement_candidate& candidate, const placement_costs& costs) {
    const int slots = std::max(candidate.slots, 1);
    const duration cost = candidate.reported_wait + costs.work_time * candidate.outstanding / slots;
    return cost + penalty_of(candidate, costs);
}

// Work sent before the report is contained in it, but the report's weight decreases with its age.
// The instance's own work time is added, so that a slow instance is used less also while it has no
// queue.
duration expected_time(const placement_candidate& candidate, const placement_costs& costs) {
    const int slots = std::max(candidate.slots, 1);
    const duration work_time =
        candidate.work_time > duration(0) ? candidate.work_time : costs.work_time;
    const duration wait =
        std::max(candidate.reported_wait + candidate.own_work_since_report / slots,
                 candidate.own_work / slots);
    return wait + work_time + penalty_of(candidate, costs);
}

// Candidates without weight are sampled only if all have none.
constexpr double min_weight = 0.001;

double sampling_weight(const placement_candidate& candidate) {
    return std::max(candidate.slots, 1) * std::max(candidate.weight, min_weight);
}

using candidate_list = std::vector<const placement_candidate*>;

template <class Condition>
candidate_list select(const std::vector<placement_candidate>& candidates, Condition condition) {
    candidate_list selected;
    for (const auto& candidate : candidates) {
        if (condition(candidate)) {
            selected.push_back(&candidate);
        }
    }
    return selected;
}

candidate_list eligible(const std::vector<placement_candidate>& candidates) {
    auto found = select(candidates, [](const auto& candidate) {
        return !candidate.lacks_position && candidate.weight > 0;
    });
    if (found.empty()) {
        found = select(candidates, [](const auto& candidate) { return !candidate.lacks_position; });
    }
    if (found.empty()) {
        found = select(candidates, [](const auto&) { return true; });
    }
    return found;
}

// Removes and returns the candidate in whose part of the sum of the weights `fraction` lies.
const placement_candidate* take_sample(candidate_list& candidates, double fraction) {
    double sum = 0;
    for (const auto* candidate : candidates) {
        sum += sampling_weight(*candidate);
    }
    double remaining = fraction * sum;
    auto chosen = candidates.begin();
    while (std::next(chosen) != candidates.end() && remaining >= sampling_weight(**chosen)) {
        remaining -= sampling_weight(**chosen);
        ++chosen;
    }
    const placement_candidate* taken = *chosen;
    candidates.erase(chosen);
    return taken;
}

double fraction_of(std::uint32_t draw) {
    return draw / (std::numeric_limits<std::uint32_t>::max() + 1.0);
}

} // namespace

std::optional<std::string> place_read(const std::vector<placement_candidate>& candidates,
                                      const placement_costs& costs) {
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const auto& left, const auto& right) {
                                           return cost_of(left, costs) < cost_of(right, costs);
                                       });
    return best == candidates.end() ? std::nullopt : std::optional(best->instance);
}

std::optional<std::string> place_sampled_read(const std::vector<placement_candidate>& candidates,
                                              const placement_costs& costs, std::uint64_t draw) {
    candidate_list remaining = eligible(candidates);
    if (remaining.empty()) {
        return std::nullopt;
    }
    const auto* first = take_sample(remaining, fraction_of(static_cast<std::uint32_t>(draw)));
    if (remaining.empty()) {
        return first->instance;
    }
    const auto* second =
        take_sample(remaining, fraction_of(static_cast<std::uint32_t>(draw >> 32U)));
    // Equal costs keep the first, which was drawn by weight.
    return expected_time(*second, costs) < expected_time(*first, costs) ? second->instance
                                                                        : first->instance;
}

} // namespace bronzeplank
