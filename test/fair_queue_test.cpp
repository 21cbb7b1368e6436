#include "bronzeplank/fair_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

namespace {

const time_point start{std::chrono::hours(1)};
const time_point later = start + std::chrono::hours(1);

/// A reference implementation: one queue for each workspace, served round robin.
class reference_queue {
public:
    void push(int workspace, int item) { m_queues[workspace].push_back(item); }
    std::optional<int> pop() {
        for (std::size_t tried = 0; tried < m_active.size(); ++tried) {
            const int workspace = m_active.front();
            m_active.pop_front();
            auto& waiting = m_queues[workspace];
            const int item = waiting.front();
            waiting.pop_front();
            if (!waiting.empty()) {
                m_active.push_back(workspace);
            }
            return item;
        }
        return std::nullopt;
    }
    void activate_if_new(int workspace) {
        if (m_queues[workspace].size() == 1) {
            m_active.push_back(workspace);
        }
    }

private:
    std::map<int, std::deque<int>> m_queues;
    std::deque<int> m_active;
};

} // namespace

TEST_CASE("a fair queue") {
    SECTION("keeps the order within a workspace and loses no item") {
        rc::prop("for any pushed items", [](const std::vector<std::uint8_t>& workspaces) {
            fair_queue<int> queue(1000);
            for (std::size_t i = 0; i < workspaces.size(); ++i) {
                queue.push(std::to_string(workspaces[i] % 4), static_cast<int>(i), later);
            }
            std::map<int, int> last;
            std::size_t popped = 0;
            while (const auto item = queue.pop(start)) {
                const int workspace = workspaces[static_cast<std::size_t>(*item)] % 4;
                RC_ASSERT(!last.contains(workspace) || last[workspace] < *item);
                last[workspace] = *item;
                ++popped;
            }
            RC_ASSERT(popped == workspaces.size());
        });
    }
    SECTION("serves like the reference implementation without pushes in between") {
        rc::prop("with the same share for each workspace",
                 [](const std::vector<std::uint8_t>& workspaces) {
                     fair_queue<int> queue(1000);
                     reference_queue reference;
                     for (std::size_t i = 0; i < workspaces.size(); ++i) {
                         queue.push(std::to_string(workspaces[i] % 4), static_cast<int>(i), later);
                         reference.push(workspaces[i] % 4, static_cast<int>(i));
                         reference.activate_if_new(workspaces[i] % 4);
                     }
                     // After each pop no workspace is more than one item ahead of the reference.
                     std::map<int, int> difference;
                     for (std::size_t i = 0; i < workspaces.size(); ++i) {
                         ++difference[workspaces[static_cast<std::size_t>(*queue.pop(start))] % 4];
                         --difference[workspaces[static_cast<std::size_t>(*reference.pop())] % 4];
                         for (const auto& [workspace, ahead] : difference) {
                             RC_ASSERT(std::abs(ahead) <= 1);
                         }
                     }
                 });
    }
    SECTION("serves a quiet workspace next, however long the queue of another one is") {
        fair_queue<int> queue(1000);
        for (int i = 0; i < 500; ++i) {
            queue.push("noisy", i, later);
        }
        queue.push("quiet", 1000, later);
        std::vector<int> first{*queue.pop(start), *queue.pop(start)};
        REQUIRE(std::count(first.begin(), first.end(), 1000) == 1);
    }
    SECTION("does not return an item after its deadline") {
        fair_queue<int> queue(10);
        queue.push("a", 1, start);
        queue.push("a", 2, later);
        REQUIRE(queue.pop(start) == 2);
        REQUIRE(queue.take_expired(start) == std::vector<int>{1});
    }
    SECTION("evicts the newest item of the longest queue when it is full") {
        fair_queue<int> queue(3);
        queue.push("noisy", 1, later);
        queue.push("noisy", 2, later);
        queue.push("noisy", 3, later);
        REQUIRE(queue.push("quiet", 4, later) == 3);
        REQUIRE(queue.size() == 3);
    }
}
