#include "bronzeplank/failover.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <tuple>

namespace bronzeplank {

std::string_view to_string(failover_reason reason) {
    static constexpr std::array<std::string_view, 5> names{"none", "unreachable", "stalled",
                                                           "leaving", "missing"};
    return names.at(static_cast<std::size_t>(reason));
}

bool primary_answers(failover_reason reason) {
    return reason == failover_reason::leaving || reason == failover_reason::stalled;
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
    // Each rank waits this much longer, so that two hosts rarely claim the same term.
    constexpr std::chrono::milliseconds stagger{300};
    // A primary that is missing from the list may be about to report its role. One that was
    // already unreachable before its entry expired is not.
    constexpr std::chrono::milliseconds missing_timeout{1500};
    const bool may_report = reason == failover_reason::missing && before == failover_reason::none;
    return stagger * rank + (may_report ? duration(missing_timeout) : duration(0));
}

bool accounts_for_members(const std::set<std::string>& members,
                          const std::set<std::string>& accounted, const std::string& old_primary,
                          bool old_primary_demoted) {
    const auto open = std::count_if(members.begin(), members.end(), [&](const std::string& id) {
        return id != old_primary && !accounted.contains(id);
    });
    // With the old primary demoted, a single instance has none to acknowledge commits with.
    return open <= (old_primary_demoted ? 1 : 0);
}

namespace {

// A demoted primary that can't do its work can be left out if the others have every commit that may
// be acknowledged: one of them has its whole log, or all of them have answered, since each commit
// has been received by one. What hosts report to have acknowledged decides nothing, because a
// report lags behind the commits.
bool can_do_without(const paused_replica& old_primary, const failover_choice& choice,
                    const std::set<std::string>& accounted) {
    const bool others_answered =
        choice.members_complete &&
        accounts_for_members(choice.members, accounted, choice.old_primary, false);
    return others_answered ||
           std::any_of(choice.answered.begin(), choice.answered.end(),
                       [&](const paused_replica& replica) {
                           return replica.instance != old_primary.instance &&
                                  replica.status.received >= old_primary.status.received;
                       });
}

// Whole parts only, so that no character is cut.
std::string joined_within(const std::vector<std::string>& parts, std::size_t limit) {
    static constexpr std::string_view omission = " ...";
    std::string text;
    for (const auto& part : parts) {
        if (text.size() + part.size() + omission.size() > limit) {
            return text.append(omission);
        }
        text += part;
    }
    return text;
}

} // namespace

std::string to_text(const failover_choice& choice) {
    std::vector<std::string> parts;
    for (const auto& replica : choice.answered) {
        parts.push_back(fmt::format("{}{} {} term {}", parts.empty() ? "" : ", ", replica.instance,
                                    to_text(replica.status.received), replica.status.term));
    }
    parts.push_back(fmt::format("; acknowledged {}; old {}; of", to_text(choice.acknowledged),
                                choice.old_primary));
    for (const auto& member : choice.members) {
        parts.push_back(" " + member);
    }
    return joined_within(parts, max_choice_text);
}

std::optional<std::string> choose_successor(const failover_choice& choice) {
    std::set<std::string> accounted;
    for (const auto& replica : choice.answered) {
        accounted.insert(replica.instance);
    }
    const auto old_primary =
        std::find_if(choice.answered.begin(), choice.answered.end(),
                     [&](const auto& replica) { return replica.instance == choice.old_primary; });
    const bool demoted = old_primary != choice.answered.end();
    // One that has started again without its log has none of the commits that it acknowledged.
    const bool has_log = demoted && old_primary->status.received != log_position{};
    if (!accounts_for_members(choice.members, accounted, choice.old_primary, has_log)) {
        return std::nullopt;
    }
    if (choice.old_primary_unfit && !choice.members_complete && !demoted) {
        return std::nullopt;
    }
    std::vector<paused_replica> candidates = choice.answered;
    if (demoted && choice.old_primary_unfit && can_do_without(*old_primary, choice, accounted)) {
        std::erase_if(candidates, [&](const paused_replica& replica) {
            return replica.instance == choice.old_primary;
        });
    }
    const auto received = [](const paused_replica& replica) { return replica.status.received; };
    const auto rank = [&](const paused_replica& replica) {
        return std::tuple(received(replica), choice.requested_before.contains(replica.instance),
                          replica.preferred);
    };
    const auto best = std::max_element(
        candidates.begin(), candidates.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    if (best == candidates.end() || received(*best) < choice.acknowledged) {
        return std::nullopt;
    }
    return best->instance;
}

} // namespace bronzeplank
