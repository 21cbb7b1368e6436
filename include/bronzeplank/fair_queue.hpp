/// \file
/// A fair queue for the requests of many workspaces that wait for a connection.
#pragma once

#include "bronzeplank/time.hpp"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bronzeplank {

/// Serves workspaces by deficit round robin (Shreedhar and Varghese, 1995), so that a workspace
/// with many waiting requests delays only its own. An item is not returned after its deadline. The
/// queue is bounded: a push to a full queue evicts the newest item of the longest workspace queue,
/// which may be the item just pushed.
/// Usage: `auto evicted = queue.push("desk", item, deadline); auto next = queue.pop(now);`
template <class Item>
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity, double quantum = 1.0)
        : m_capacity(capacity), m_quantum(quantum) {}

    /// Adds an item; returns the evicted item if the queue was full.
    std::optional<Item> push(const std::string& workspace, Item item, time_point deadline,
                             double cost = 1.0) {
        workspace_queue& target = m_queues[workspace];
        if (target.waiting.empty()) {
            target.deficit = 0;
            m_active.push_back(workspace);
        }
        target.waiting.push_back({std::move(item), deadline, cost});
        ++m_size;
        return m_size > m_capacity ? std::optional(evict()) : std::nullopt;
    }

    /// Removes and returns the next item whose deadline has not passed. Expired items are kept for
    /// take_expired().
    std::optional<Item> pop(time_point now) {
        while (!m_active.empty()) {
            const std::string workspace = m_active.front();
            workspace_queue& current = m_queues[workspace];
            move_expired(current, now);
            if (current.waiting.empty()) {
                deactivate(workspace);
                continue;
            }
            if (current.deficit < current.waiting.front().cost) {
                current.deficit += m_quantum;
                m_active.splice(m_active.end(), m_active, m_active.begin());
                continue;
            }
            current.deficit -= current.waiting.front().cost;
            Item item = std::move(current.waiting.front().item);
            current.waiting.pop_front();
            --m_size;
            if (current.waiting.empty()) {
                deactivate(workspace);
            }
            return item;
        }
        return std::nullopt;
    }

    /// Removes and returns the items whose deadline has passed.
    std::vector<Item> take_expired(time_point now) {
        for (auto& [workspace, current] : m_queues) {
            move_expired(current, now);
        }
        return std::exchange(m_expired, {});
    }

    std::size_t size() const { return m_size; }
    std::size_t waiting_of(const std::string& workspace) const {
        const auto found = m_queues.find(workspace);
        return found == m_queues.end() ? 0 : found->second.waiting.size();
    }

private:
    struct entry {
        Item item;
        time_point deadline;
        double cost;
    };
    struct workspace_queue {
        std::deque<entry> waiting;
        double deficit = 0;
    };

    Item evict() {
        const auto longest = std::max_element(
            m_queues.begin(), m_queues.end(), [](const auto& left, const auto& right) {
                return left.second.waiting.size() < right.second.waiting.size();
            });
        Item item = std::move(longest->second.waiting.back().item);
        longest->second.waiting.pop_back();
        --m_size;
        if (longest->second.waiting.empty()) {
            deactivate(longest->first);
        }
        return item;
    }

    void move_expired(workspace_queue& current, time_point now) {
        for (auto position = current.waiting.begin(); position != current.waiting.end();) {
            if (position->deadline > now) {
                ++position;
                continue;
            }
            m_expired.push_back(std::move(position->item));
            position = current.waiting.erase(position);
            --m_size;
        }
    }

    // Takes the name by value: a reference could point to the key that is erased here.
    void deactivate(const std::string workspace) {
        m_active.remove(workspace);
        m_queues.erase(workspace);
    }

    std::size_t m_capacity;
    double m_quantum;
    std::size_t m_size = 0;
    std::map<std::string, workspace_queue> m_queues;
    // The workspaces with waiting items, in the order in which they are served.
    std::list<std::string> m_active;
    std::vector<Item> m_expired;
};

} // namespace bronzeplank
