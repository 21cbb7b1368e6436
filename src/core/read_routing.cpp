#include "bronzeplank/read_routing.hpp"

#include <algorithm>
#include <tuple>

namespace bronzeplank {

namespace {

// The granularity of the load comparison: loads in the same step count as equal.
constexpr std::size_t load_step = 4;

enum class rank { covers, may_cover, primary };

rank rank_of(const read_candidate& candidate, const read_request& request) {
    if (candidate.is_primary) {
        return rank::primary;
    }
    const bool covered = covers(candidate.state, request.session) == coverage::covered;
    return covered ? rank::covers : rank::may_cover;
}

bool fresh_enough(const read_candidate& candidate, const read_request& request) {
    if (candidate.is_primary || !request.max_staleness) {
        return true;
    }
    return candidate.staleness && *candidate.staleness <= *request.max_staleness;
}

} // namespace

std::vector<std::string> rank_read_targets(const std::vector<read_candidate>& candidates,
                                           const read_request& request) {
    using sort_key = std::tuple<rank, std::size_t, bool, std::string>;
    std::vector<sort_key> keys;
    for (const auto& candidate : candidates) {
        if (candidate.usable && fresh_enough(candidate, request)) {
            keys.emplace_back(rank_of(candidate, request), candidate.load / load_step,
                              !candidate.same_domain, candidate.upstream);
        }
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::string> order;
    for (const auto& key : keys) {
        order.push_back(std::get<std::string>(key));
    }
    return order;
}

} // namespace bronzeplank
