#include "bronzeplank/work_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point now{std::chrono::hours(1)};

work_urgency urgency(int priority, int due_ms, int expires_ms = 10'000) {
    return {priority, now + milliseconds(due_ms), now + milliseconds(expires_ms)};
}

const auto any = [](int) { return true; };

} // namespace

TEST_CASE("waiting items are popped") {
    work_queue<int> queue(8);

    SECTION("by priority") {
        queue.push(1, urgency(2, 100));
        queue.push(2, urgency(1, 900));
        REQUIRE(queue.pop(now, any) == 2);
    }
    SECTION("by soft deadline within a priority") {
        queue.push(1, urgency(1, 900));
        queue.push(2, urgency(1, 100));
        REQUIRE(queue.pop(now, any) == 2);
    }
    SECTION("before items that have already missed their soft deadline") {
        queue.push(1, urgency(1, -1));
        queue.push(2, urgency(2, 100));
        REQUIRE(queue.pop(now, any) == 2);
        REQUIRE(queue.pop(now, any) == 1);
    }
    SECTION("only if they are usable now") {
        queue.push(1, urgency(1, 100));
        queue.push(2, urgency(2, 100));
        REQUIRE(queue.pop(now, [](int item) { return item != 1; }) == 2);
        REQUIRE_FALSE(queue.pop(now, [](int item) { return item != 1; }));
        REQUIRE(queue.size() == 1);
    }
    SECTION("not after their callers have stopped waiting") {
        queue.push(1, urgency(1, 10, 20));
        queue.push(2, urgency(1, 10, 2000));
        REQUIRE(queue.take_expired(now + milliseconds(20)) == std::vector<int>{1});
        REQUIRE(queue.size() == 1);
    }
}

TEST_CASE("an item is refused at once") {
    work_queue<int> queue(4);
    const auto admits = [&](const work_urgency& wanted) {
        return queue.admits(wanted, now, milliseconds(50), 2);
    };

    SECTION("when the items before it would make it miss its deadline") {
        queue.push(1, urgency(1, 300));
        queue.push(2, urgency(1, 300));
        REQUIRE(queue.expected_wait(urgency(1, 400), now, milliseconds(50), 2) == milliseconds(50));
        REQUIRE_FALSE(admits(urgency(2, 40)));
        REQUIRE(admits(urgency(2, 60)));
    }
    SECTION("but not when it precedes the others") {
        queue.push(1, urgency(2, 300));
        queue.push(2, urgency(2, 300));
        REQUIRE(admits(urgency(1, 40)));
    }
    SECTION("when the queue is full") {
        for (int i = 0; i < 4; ++i) {
            queue.push(i, urgency(5, 300));
        }
        REQUIRE_FALSE(admits(urgency(1, 300)));
    }
}

TEST_CASE("no item is lost or popped twice") {
    rc::prop("for any items", [](const std::vector<std::pair<std::uint8_t, std::int16_t>>& work) {
        work_queue<int> queue(work.size());
        for (std::size_t i = 0; i < work.size(); ++i) {
            queue.push(static_cast<int>(i), urgency(work[i].first, work[i].second, work[i].second));
        }
        std::vector<int> returned = queue.take_expired(now);
        while (auto next = queue.pop(now, any)) {
            returned.push_back(*next);
        }
        std::sort(returned.begin(), returned.end());
        RC_ASSERT(returned.size() == work.size());
        RC_ASSERT(std::adjacent_find(returned.begin(), returned.end()) == returned.end());
    });
}
