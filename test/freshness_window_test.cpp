#include "bronzeplank/freshness_window.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a read gets the least position that is fresh enough") {
    freshness_window window;

    SECTION("none without a sample") {
        REQUIRE_FALSE(window.needed(start, milliseconds(1000)));
    }
    SECTION("the oldest sample that was asked within its staleness") {
        window.add(start, {1, 10});
        window.add(start + milliseconds(400), {1, 20});
        window.add(start + milliseconds(800), {1, 30});
        const auto needed = window.needed(start + milliseconds(1100), milliseconds(1000));
        REQUIRE(needed == log_position{1, 20});
        SECTION("and none once all are older than that") {
            REQUIRE_FALSE(window.needed(start + milliseconds(1801), milliseconds(1000)));
        }
        SECTION("and none after the process was suspended") {
            window.clear();
            REQUIRE_FALSE(window.needed(start + milliseconds(1100), milliseconds(1000)));
        }
    }
    SECTION("never a position behind an earlier sample's") {
        window.add(start, {2, 5});
        window.add(start + milliseconds(1), {1, 900});
        REQUIRE(window.needed(start + milliseconds(1), milliseconds(0)) == log_position{2, 5});
    }
}

TEST_CASE("a read misses no commit that was acknowledged before its staleness") {
    rc::prop("against a log of all commits", [] {
        // Commits at random times, samples at random times; the naive version looks through all.
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
