#include "bronzeplank/delay_estimator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the excess delay of a peer's messages") {
    const time_point here{hours(5)};
    const time_point there{hours(90)};
    delay_estimator estimator;

    SECTION("is zero when all take equally long, whatever the clocks show") {
        for (int i = 0; i < 10; ++i) {
            REQUIRE(estimator.excess_delay(there + i * seconds(1), here + i * seconds(1)) ==
                    duration(0));
        }
    }
    SECTION("is the time for which a partition held a message back") {
        estimator.excess_delay(there, here);
        REQUIRE(estimator.excess_delay(there + seconds(1), here + seconds(9)) > milliseconds(7990));
        SECTION("and zero for the next message without delay") {
            REQUIRE(estimator.excess_delay(there + seconds(9), here + seconds(9)) == duration(0));
        }
    }
    SECTION("is zero for a prompt message after a delayed first one") {
        estimator.excess_delay(there, here + seconds(3));
        REQUIRE(estimator.excess_delay(there + seconds(4), here + seconds(4)) == duration(0));
        REQUIRE(estimator.excess_delay(there + seconds(5), here + seconds(6)) > milliseconds(990));
    }
}

TEST_CASE("the clock drift of a peer") {
    rc::prop("is not taken for delay, over a day", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const auto gaps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 1'500'000));
        delay_estimator estimator;
        time_point here{hours(1)};
        time_point there{hours(7)};
        for (const int gap : gaps) {
            const duration passed = milliseconds(gap);
            here += passed;
            there += passed + passed * drift / 1'000'000;
            RC_ASSERT(estimator.excess_delay(there, here) < milliseconds(1));
        }
    });
    rc::prop("does not hide a delay when messages arrived during the last minute", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const int late = *rc::gen::inRange(100, 60'000);
        delay_estimator estimator;
        time_point here{hours(1)};
        time_point there{hours(7)};
        for (int i = 0; i < 300; ++i) {
            here += milliseconds(200);
            there += milliseconds(200) + duration(200'000) * drift / 1'000'000;
            estimator.excess_delay(there, here);
        }
        const duration found = estimator.excess_delay(there, here + milliseconds(late));
        RC_ASSERT(found > milliseconds(late) - milliseconds(50));
    });
}
