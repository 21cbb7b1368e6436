/// \file
/// A queue with admission control for requests that wait for a slot of an instance.
#pragma once

#include "bronzeplank/service_shares.hpp"
#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace bronzeplank {

/// Scheduling parameters of a queued item.
struct work_urgency {
    /// 0 is the highest priority.
    int priority = 0;
    /// The soft deadline: an answer after it misses the latency objective.
    time_point due;
    /// The hard deadline: the caller stops waiting.
    time_point expires_at;
    auto operator<=>(const work_urgency&) const = default;
};

/// The workspace that an item is served for, and what the item costs.
struct work_share {
    std::string workspace;
    /// The workspace's part of the slots in relation to that of others, such as its rate limit.
    double weight = 1;
    /// The expected time for which the item occupies a slot.
    duration cost{};
    bool operator==(const work_share&) const = default;
};

/// The slots of an instance, as far as they are in use.
struct slot_use {
    int slots = 1;
    int running = 0;
    /// The mean time for which an item occupies a slot.
    duration mean_cost{};
};

/// Orders the requests of an overloaded instance: requests that can still meet their soft deadline
/// precede those that have missed it, then by priority, then by the earliest soft deadline. A
/// request is admitted only if its expected wait ends before its deadlines; the rest is refused at
/// once, while the caller still has time for another instance or a retry.
/// Usage: `if (!queue.admits(urgency, now, work_time, slots)) refuse(); queue.push(item, urgency);`
///
/// With fair sharing, requests that can still meet their soft deadline are served in proportion to
/// the weights of their workspaces, by start-time fair queueing with a tolerance: of the workspaces
/// that are at most `fairness_tolerance` of slot time ahead of the least served one, the request
/// with the highest priority and then the earliest soft deadline is next. Priorities share the
/// slots by weights as well, so that none starves. A request that can't meet its soft deadline is
/// served only when no other request waits.
template <class Item>
class work_queue {
public:
    explicit work_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// The expected time that a new item of this urgency would wait for a slot.
    /// \param work_time the mean time for which one item occupies a slot
    duration expected_wait(const work_urgency& urgency, time_point now, duration work_time,
                           int slots) const {
        const auto ahead =
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const entry& other) {
                return precedes(other.urgency, urgency, now);
            });
        return work_time * ahead / std::max(slots, 1);
    }

    /// Whether the queue has space and the item is expected to get a slot before its deadlines.
    bool admits(const work_urgency& urgency, time_point now, duration work_time, int slots) const {
        const duration wait = expected_wait(urgency, now, work_time, slots);
        return m_waiting.size() < m_capacity &&
               now + wait < std::min(urgency.due, urgency.expires_at);
    }

    void push(Item item, const work_urgency& urgency, work_share share = {}) {
        m_waiting.push_back({std::move(item), urgency, std::move(share)});
    }

    /// Whether items are served in proportion to their workspaces' weights.
    void share_fairly(bool enabled) { m_fair = enabled; }

    /// With fair sharing: the expected time until a new item gets a slot.
    duration expected_fair_wait(const work_urgency& urgency, const work_share& share,
                                time_point now, const slot_use& use) const {
        const double tolerance = to_cost(fairness_tolerance);
        std::map<std::string_view, queued_cost> queued;
        double least = m_served.served(share.workspace);
        for (const entry& other : m_waiting) {
            if (is_late(other, now)) {
                continue;
            }
            queued_cost& sum = queued[other.share.workspace];
            sum.weight = other.share.weight;
            sum.all += to_cost(other.share.cost);
            sum.urgent += other.urgency < urgency ? to_cost(other.share.cost) : 0;
            least = std::min(least, m_served.served(other.share.workspace));
        }
        // The item is served once its workspace has received the work that precedes it there. Until
        // then, every other workspace receives as much by its weight.
        const double own = queued[share.workspace].urgent;
        const double starts_at = m_served.served(share.workspace) + own / share.weight;
        double ahead = own + (use.running > use.slots ? to_cost(use.mean_cost) : 0);
        for (const auto& [workspace, sum] : queued) {
            if (workspace == share.workspace) {
                continue;
            }
            const double served = m_served.served(std::string(workspace));
            const double lead = (starts_at - tolerance / share.weight - served) * sum.weight;
            const double before = std::min(sum.all, std::max(0.0, lead));
            const double competing = std::max(0.0, lead + 2 * tolerance);
            ahead += std::max(before, std::min(sum.urgent, competing));
        }
        return duration(static_cast<duration::rep>(ahead / std::max(use.slots, 1)));
    }

    /// With fair sharing: whether the item is expected to be served before its soft deadline, or
    /// nothing else waits.
    bool admits_fairly(const work_urgency& urgency, const work_share& share, time_point now,
                       const slot_use& use) const {
        const duration wait = expected_fair_wait(urgency, share, now, use);
        if (now + wait >= urgency.expires_at) {
            return false;
        }
        return m_waiting.empty() || now + wait + share.cost <= urgency.due;
    }

    /// With fair sharing: if the queue is full, removes and returns the last item of the workspace
    /// that has the most queued work for its weight. Returns nothing if that is the workspace of
    /// the new item, which must then be refused.
    std::optional<Item> make_room(const work_share& share) {
        std::map<std::string_view, double> queued;
        const auto add = [&](const work_share& added) {
            return queued[added.workspace] += to_cost(added.cost) / added.weight;
        };
        add(share);
        for (const entry& other : m_waiting) {
            add(other.share);
        }
        const auto most =
            std::max_element(queued.begin(), queued.end(), [](const auto& left, const auto& right) {
                return left.second < right.second;
            });
        if (most->first == share.workspace) {
            return std::nullopt;
        }
        auto last = m_waiting.end();
        for (auto position = m_waiting.begin(); position != m_waiting.end(); ++position) {
            const bool matches = position->share.workspace == most->first;
            if (matches && (last == m_waiting.end() || last->urgency < position->urgency)) {
                last = position;
            }
        }
        return take(last);
    }

    /// With fair sharing: removes and returns the items that can't meet their soft deadline any
    /// more while others wait. One is left if all of them are late.
    template <class Evictable>
    std::vector<Item> take_late(time_point now, Evictable evictable) {
        std::vector<Item> late;
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            if (m_waiting.size() == 1 || !is_late(*position, now) || !evictable(position->item)) {
                ++position;
                continue;
            }
            const auto index = position - m_waiting.begin();
            late.push_back(take(position));
            position = m_waiting.begin() + index;
        }
        return late;
    }

    /// Removes and returns the first item for which `wanted` is true.
    template <class Wanted>
    std::optional<Item> take_if(Wanted wanted) {
        const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                        [&](const entry& other) { return wanted(other.item); });
        return found == m_waiting.end() ? std::nullopt : std::optional(take(found));
    }

    /// With fair sharing: counts service that a workspace receives without queueing, while others
    /// wait.
    void charge(const work_share& share) {
        if (m_fair && !m_waiting.empty()) {
            m_served.charge(share.workspace, to_cost(share.cost) / share.weight);
        }
    }

    /// Removes and returns the most urgent item for which `usable` is true; nothing without one.
    template <class Usable>
    std::optional<Item> pop(time_point now, Usable usable) {
        if (m_fair) {
            return pop_fairly(now, usable);
        }
        return pop_by_deadline(now, usable);
    }

    /// Removes and returns the items whose callers no longer wait.
    std::vector<Item> take_expired(time_point now) {
        std::vector<Item> expired;
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            if (position->urgency.expires_at > now) {
                ++position;
                continue;
            }
            const auto index = position - m_waiting.begin();
            expired.push_back(take(position));
            position = m_waiting.begin() + index;
        }
        return expired;
    }

    std::size_t size() const { return m_waiting.size(); }
    bool full() const { return m_waiting.size() >= m_capacity; }

private:
    // Lets priorities and deadlines decide between a few statements of different workspaces, which
    // take 3 to 34 ms each.
    static constexpr std::chrono::milliseconds fairness_tolerance{50};
    // Each priority gets this many times as much slot time as the next lower one while both wait:
    // enough for the lower one to go on, little enough to leave the higher one its slots.
    static constexpr double priority_ratio = 8;
    // Keeps the weights of a priority that no deployment uses within the range of a double.
    static constexpr int lowest_weighted_priority = 16;

    struct entry {
        Item item;
        work_urgency urgency;
        work_share share;
    };
    using entry_position = typename std::vector<entry>::iterator;

    struct queued_cost {
        double weight = 1;
        double all = 0;
        /// Of the items that precede a new one by priority and deadline.
        double urgent = 0;
    };

    static double to_cost(duration value) { return static_cast<double>(value.count()); }

    static double weight_of_priority(int priority) {
        return std::pow(priority_ratio, -std::clamp(priority, 0, lowest_weighted_priority));
    }

    static bool is_late(const entry& waiting, time_point now) {
        return waiting.urgency.due < now + waiting.share.cost;
    }

    template <class Usable>
    std::optional<Item> pop_fairly(time_point now, Usable usable) {
        std::vector<entry_position> candidates;
        for (auto position = m_waiting.begin(); position != m_waiting.end(); ++position) {
            if (!is_late(*position, now) && usable(position->item)) {
                candidates.push_back(position);
            }
        }
        if (candidates.empty()) {
            return pop_by_deadline(now, usable);
        }
        // The least served workspaces, then the priority that is furthest behind its weight, then
        // the earliest deadline.
        double least = std::numeric_limits<double>::max();
        for (const auto& candidate : candidates) {
            least = std::min(least, m_served.served(candidate->share.workspace));
        }
        m_served.raise_floor(least);
        std::erase_if(candidates, [&](const auto& candidate) {
            const double ahead = m_served.served(candidate->share.workspace) - least;
            return ahead * candidate->share.weight > to_cost(fairness_tolerance);
        });
        const auto rank = [this](const auto& candidate) {
            const work_urgency& urgency = candidate->urgency;
            return std::tuple(m_served_priorities.served(urgency.priority), urgency.priority,
                              urgency.due);
        };
        const auto best = *std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
        const int priority = best->urgency.priority;
        const double cost = to_cost(best->share.cost);
        m_served_priorities.raise_floor(m_served_priorities.served(priority));
        m_served_priorities.charge(priority, cost / weight_of_priority(priority));
        m_served.charge(best->share.workspace, cost / best->share.weight);
        return take(best);
    }

    template <class Usable>
    std::optional<Item> pop_by_deadline(time_point now, Usable usable) {
        auto best = m_waiting.end();
        for (auto position = m_waiting.begin(); position != m_waiting.end(); ++position) {
            const bool better =
                best == m_waiting.end() || precedes(position->urgency, best->urgency, now);
            if (better && usable(position->item)) {
                best = position;
            }
        }
        return best == m_waiting.end() ? std::nullopt : std::optional(take(best));
    }

    static bool precedes(const work_urgency& left, const work_urgency& right, time_point now) {
        const bool left_late = left.due <= now;
        const bool right_late = right.due <= now;
        return std::tie(left_late, left.priority, left.due) <
               std::tie(right_late, right.priority, right.due);
    }

    Item take(entry_position position) {
        Item item = std::move(position->item);
        m_waiting.erase(position);
        if (m_waiting.empty()) {
            m_served.clear();
            m_served_priorities.clear();
        }
        return item;
    }

    std::size_t m_capacity;
    bool m_fair = false;
    service_shares<std::string> m_served;
    service_shares<int> m_served_priorities;
    std::vector<entry> m_waiting;
};

} // namespace bronzeplank
