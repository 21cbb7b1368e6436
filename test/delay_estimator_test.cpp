#include "bronzeplank/delay_estimator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a peer's messages") {
    const time_point here{hours(5)};
    const time_point there{hours(90)};
    peer_clock clock;

    SECTION("that are all as quick are not late, whatever the clocks show") {
        for (int i = 0; i < 10; ++i) {
            REQUIRE(clock.lateness(there + i * seconds(1), here + i * seconds(1)) == duration(0));
        }
    }
    SECTION("that a cut held up are late by that time") {
        clock.lateness(there, here);
        REQUIRE(clock.lateness(there + seconds(1), here + seconds(9)) > milliseconds(7990));
        SECTION("and the next quick one is not") {
            REQUIRE(clock.lateness(there + seconds(9), here + seconds(9)) == duration(0));
        }
    }
    SECTION("are not late because the first one was") {
        clock.lateness(there, here + seconds(3));
        REQUIRE(clock.lateness(there + seconds(4), here + seconds(4)) == duration(0));
        REQUIRE(clock.lateness(there + seconds(5), here + seconds(6)) > milliseconds(990));
    }
}

TEST_CASE("a peer whose clock runs apart") {
    rc::prop("is never late by that alone, over a day", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const auto gaps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 1'500'000));
        peer_clock clock;
        time_point here{hours(1)};
        time_point there{hours(7)};
        for (const int gap : gaps) {
            const duration passed = milliseconds(gap);
            here += passed;
            there += passed + passed * drift / 1'000'000;
            RC_ASSERT(clock.lateness(there, here) < milliseconds(1));
        }
    });
    rc::prop("is late by a delay all the same, when messages came in the last minute", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const int late = *rc::gen::inRange(100, 60'000);
        peer_clock clock;
        time_point here{hours(1)};
        time_point there{hours(7)};
        for (int i = 0; i < 300; ++i) {
            here += milliseconds(200);
            there += milliseconds(200) + duration(200'000) * drift / 1'000'000;
            clock.lateness(there, here);
        }
        const duration found = clock.lateness(there, here + milliseconds(late));
        RC_ASSERT(found > milliseconds(late) - milliseconds(50));
    });
}
