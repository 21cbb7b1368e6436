/// \file
/// A queue with admission control for requests that wait for a slot of an instance.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
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

/// Orders the requests of an overloaded instance: requests that can still meet their soft deadline
/// precede those that have missed it, then by priority, then by the earliest soft deadline. A
/// request is admitted only if its expected wait ends before its deadlines; the rest is refused at
/// once, while the caller still has time for another instance or a retry.
/// Usage: `if (!queue.admits(urgency, now, work_time, slots)) refuse(); queue.push(item, urgency);`
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

    void push(Item item, const work_urgency& urgency) {
        m_waiting.push_back({std::move(item), urgency});
    }

    /// Removes and returns the most urgent item for which `usable` is true; nothing without one.
    template <class Usable>
    std::optional<Item> pop(time_point now, Usable usable) {
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

private:
    struct entry {
        Item item;
        work_urgency urgency;
    };

    static bool precedes(const work_urgency& left, const work_urgency& right, time_point now) {
        const bool left_late = left.due <= now;
        const bool right_late = right.due <= now;
        return std::tie(left_late, left.priority, left.due) <
               std::tie(right_late, right.priority, right.due);
    }

    Item take(typename std::vector<entry>::iterator position) {
        Item item = std::move(position->item);
        m_waiting.erase(position);
        return item;
    }

    std::size_t m_capacity;
    std::vector<entry> m_waiting;
};

} // namespace bronzeplank
