#include "bronzeplank/freshness_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

} // namespace

TEST_CASE("the required position of a read with bounded staleness") {
    freshness_window window;

    SECTION("is nothing without an observation") {
        REQUIRE_FALSE(window.needed(start, milliseconds(1000)));
    }
    SECTION("is that of the oldest observation within the staleness") {
        window.add(start, {1, 10});
        window.add(start + milliseconds(400), {1, 20});
        window.add(start + milliseconds(800), {1, 30});
        const auto needed = window.needed(start + milliseconds(1100), milliseconds(1000));
        REQUIRE(needed == log_position{1, 20});
        SECTION("and nothing once all observations are older") {
            REQUIRE_FALSE(window.needed(start + milliseconds(1801), milliseconds(1000)));
        }
        SECTION("and nothing after the process was suspended") {
            window.clear();
            REQUIRE_FALSE(window.needed(start + milliseconds(1100), milliseconds(1000)));
        }
    }
    SECTION("is never lower than that of an earlier observation") {
        window.add(start, {2, 5});
        window.add(start + milliseconds(1), {1, 900});
        REQUIRE(window.needed(start + milliseconds(1), milliseconds(0)) == log_position{2, 5});
    }
}

TEST_CASE("a read misses no commit acknowledged before its staleness bound") {
    rc::prop("for random commits and observations", [] {
        // The reference implementation searches all commits.
        const auto gaps = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<bool, int>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(1, 200))));
        const milliseconds staleness(*rc::gen::inRange(0, 3000));
        freshness_window window;
        std::vector<std::pair<time_point, log_position>> commits;
        time_point now = start;
        log_position newest{1, 0};
        for (const auto& [commits_now, gap] : gaps) {
            now += milliseconds(gap);
            if (commits_now) {
                ++newest.offset;
                commits.emplace_back(now, newest);
            } else {
                window.add(now, newest);
            }
        }
        const auto needed = window.needed(now, staleness);
        if (!needed) {
            return;
        }
        for (const auto& [acknowledged, position] : commits) {
            if (acknowledged < now - staleness) {
                RC_ASSERT(position <= *needed);
            }
        }
    });
}
