/// \file
/// Work that waits for an instance's slots: who is served next, and who is refused at once.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace bronzeplank {

/// What decides an item's place.
struct work_urgency {
    /// 0 is served first.
    int priority = 0;
    /// When its answer turns late.
    time_point due;
    /// When its caller no longer waits.
    time_point give_up;
    auto operator<=>(const work_urgency&) const = default;
};

/// Answers the load of a full instance: work that can still be on time goes before work that is
/// late already, then by priority, then by the earliest due time. Work is admitted only while its
/// expected wait leaves it a chance; the rest is refused at once, so that callers learn it while
/// another instance or another try can help.
/// Usage: `if (!queue.admits(urgency, now, work_time, slots)) refuse(); queue.push(item, urgency);`
template <class Item>
class work_queue {
public:
    explicit work_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// The time that new work of this urgency would wait for a slot.
    /// \param work_time the mean time that one item holds a slot
    duration expected_wait(const work_urgency& urgency, time_point now, duration work_time,
                           int slots) const {
        const auto ahead =
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const entry& other) {
                return goes_before(other.urgency, urgency, now);
            });
        return work_time * ahead / std::max(slots, 1);
    }

    /// Whether the work would get a slot while its answer is still of use.
    bool admits(const work_urgency& urgency, time_point now, duration work_time, int slots) const {
        const duration wait = expected_wait(urgency, now, work_time, slots);
        return m_waiting.size() < m_capacity && now + wait < std::min(urgency.due, urgency.give_up);
    }

    void push(Item item, const work_urgency& urgency) {
        m_waiting.push_back({std::move(item), urgency});
    }

    /// Removes and yields the first item, by urgency, of those that are usable now.
    template <class Usable>
    std::optional<Item> pop(time_point now, Usable usable) {
        auto best = m_waiting.end();
        for (auto place = m_waiting.begin(); place != m_waiting.end(); ++place) {
            const bool better =
                best == m_waiting.end() || goes_before(place->urgency, best->urgency, now);
            if (better && usable(place->item)) {
                best = place;
            }
        }
        return best == m_waiting.end() ? std::nullopt : std::optional(take(best));
    }

    /// Removes and yields the items that nobody waits for any more.
    std::vector<Item> take_expired(time_point now) {
        std::vector<Item> expired;
        for (auto place = m_waiting.begin(); place != m_waiting.end();) {
            if (place->urgency.give_up > now) {
                ++place;
                continue;
            }
            const auto index = place - m_waiting.begin();
            expired.push_back(take(place));
            place = m_waiting.begin() + index;
        }
        return expired;
    }

    std::size_t size() const { return m_waiting.size(); }

private:
    struct entry {
        Item item;
        work_urgency urgency;
    };

    static bool goes_before(const work_urgency& left, const work_urgency& right, time_point now) {
        const bool left_late = left.due <= now;
        const bool right_late = right.due <= now;
        return std::tie(left_late, left.priority, left.due) <
               std::tie(right_late, right.priority, right.due);
    }

    Item take(typename std::vector<entry>::iterator place) {
        Item item = std::move(place->item);
        m_waiting.erase(place);
        return item;
    }

    std::size_t m_capacity;
    std::vector<entry> m_waiting;
};

} // namespace bronzeplank
