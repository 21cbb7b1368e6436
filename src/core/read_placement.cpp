#include "bronzeplank/read_placement.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

duration cost_of(const placement_candidate& candidate, const placement_costs& costs) {
    const int slots = std::max(candidate.slots, 1);
    duration cost = candidate.reported_wait + costs.work_time * candidate.outstanding / slots;
    cost += std::chrono::duration_cast<duration>(costs.failure * candidate.failure_rate);
    if (!candidate.same_domain) {
        cost += costs.other_domain;
    }
    if (candidate.is_primary) {
        cost += costs.primary;
    }
    return cost;
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

} // namespace bronzeplank
