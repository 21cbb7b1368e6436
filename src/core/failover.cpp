#include "bronzeplank/failover.hpp"

#include <algorithm>
#include <array>

namespace bronzeplank {

std::string_view to_string(failover_reason reason) {
    static constexpr std::array<std::string_view, 5> names{"none", "unreachable", "stalled",
                                                           "leaving", "missing"};
    return names.at(static_cast<std::size_t>(reason));
}

failover_reason failover_reason_for(const failover_evidence& evidence) {
    if (!evidence.listed) {
        return failover_reason::missing;
    }
    if (evidence.unreachable_here && 2 * evidence.unreachable_count > evidence.host_count) {
        return failover_reason::unreachable;
    }
    if (evidence.stalled) {
        return failover_reason::stalled;
    }
    return evidence.leaving ? failover_reason::leaving : failover_reason::none;
}

duration failover_delay(failover_reason reason, failover_reason before, int rank) {
    // Each place in the order waits this much longer, so that rarely two claim a term.
    constexpr std::chrono::milliseconds stagger{300};
    // A primary that is missing from the list may be about to say that it is one; one that could
    // not be reached before its entry lapsed is not.
    constexpr std::chrono::milliseconds missing_patience{1500};
    const bool patient = reason == failover_reason::missing && before == failover_reason::none;
    return stagger * rank + (patient ? duration(missing_patience) : duration(0));
}

std::optional<std::string> choose_successor(const failover_choice& choice) {
    const auto received = [](const paused_replica& replica) { return replica.status.received; };
    const auto best = std::max_element(choice.answered.begin(), choice.answered.end(),
                                       [&](const auto& left, const auto& right) {
                                           return std::pair(received(left), left.preferred) <
                                                  std::pair(received(right), right.preferred);
                                       });
    if (best == choice.answered.end() || received(*best) < choice.acknowledged) {
        return std::nullopt;
    }
    // The old primary alone can't acknowledge; with any other instance it can.
    const std::size_t accounted = choice.answered.size() + choice.unreachable + 1;
    const bool certain = choice.unanswered == 0 && accounted >= choice.instances;
    return certain ? std::optional(best->instance) : std::nullopt;
}

} // namespace bronzeplank
