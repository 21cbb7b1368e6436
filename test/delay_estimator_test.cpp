#include "bronzeplank/delay_estimator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the excess delay of a peer's messages") {
    const time_point local_time{hours(5)};
    const time_point peer_time{hours(90)};
    delay_estimator estimator;

    SECTION("is zero when all take equally long, whatever the clocks show") {
        for (int i = 0; i < 10; ++i) {
            REQUIRE(estimator.excess_delay(peer_time + i * seconds(1),
                                           local_time + i * seconds(1)) == duration(0));
        }
    }
    SECTION("is the time for which a partition held a message back") {
        estimator.excess_delay(peer_time, local_time);
        REQUIRE(estimator.excess_delay(peer_time + seconds(1), local_time + seconds(9)) >
                milliseconds(7990));
        SECTION("and zero for the next message without delay") {
            REQUIRE(estimator.excess_delay(peer_time + seconds(9), local_time + seconds(9)) ==
                    duration(0));
        }
    }
    SECTION("is zero for a prompt message after a delayed first one") {
        estimator.excess_delay(peer_time, local_time + seconds(3));
        REQUIRE(estimator.excess_delay(peer_time + seconds(4), local_time + seconds(4)) ==
                duration(0));
        REQUIRE(estimator.excess_delay(peer_time + seconds(5), local_time + seconds(6)) >
                milliseconds(990));
    }
}

TEST_CASE("the longest that a peer's message can have taken") {
    const time_point local_time{hours(5)};
    const time_point peer_time{hours(90)};
    delay_estimator estimator;

    SECTION("is unknown before a round trip") {
        estimator.excess_delay(peer_time, local_time);
        REQUIRE_FALSE(estimator.max_delay(peer_time, local_time));
    }
    SECTION("is the round trip for the message that ends it") {
        estimator.record_round_trip(peer_time, local_time, milliseconds(30));
        REQUIRE(estimator.max_delay(peer_time, local_time) == milliseconds(30));
    }
    SECTION("covers a first message that was held up") {
        const duration round_trip = seconds(8) + milliseconds(50);
        estimator.record_round_trip(peer_time, local_time, round_trip);
        REQUIRE(estimator.max_delay(peer_time, local_time) == round_trip);
        SECTION("and prompt messages show it more exactly") {
            estimator.record_round_trip(peer_time + seconds(8), local_time, milliseconds(30));
            REQUIRE(estimator.max_delay(peer_time, local_time) == seconds(8) + milliseconds(30));
            REQUIRE(estimator.max_delay(peer_time + seconds(8), local_time) == milliseconds(30));
        }
    }
    SECTION("keeps the shortest round trip and grows with the drift of the clocks") {
        estimator.record_round_trip(peer_time, local_time, milliseconds(30));
        estimator.record_round_trip(peer_time + seconds(1), local_time + seconds(3), seconds(3));
        const auto later = estimator.max_delay(peer_time + seconds(10), local_time + seconds(10));
        REQUIRE(later >= milliseconds(30));
        REQUIRE(later <= milliseconds(32));
    }
}

TEST_CASE("the clock drift of a peer") {
    rc::prop("is not taken for delay, over a day", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const auto gaps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 1'500'000));
        delay_estimator estimator;
        time_point local_time{hours(1)};
        time_point peer_time{hours(7)};
        for (const int gap : gaps) {
            const duration elapsed = milliseconds(gap);
            local_time += elapsed;
            peer_time += elapsed + elapsed * drift / 1'000'000;
            RC_ASSERT(estimator.excess_delay(peer_time, local_time) < milliseconds(1));
        }
    });
    rc::prop("does not hide a delay when messages arrived during the last minute", [] {
        const int drift = *rc::gen::inRange(-190, 191);
        const int delay = *rc::gen::inRange(100, 60'000);
        delay_estimator estimator;
        time_point local_time{hours(1)};
        time_point peer_time{hours(7)};
        for (int i = 0; i < 300; ++i) {
            local_time += milliseconds(200);
            peer_time += milliseconds(200) + duration(200'000) * drift / 1'000'000;
            estimator.excess_delay(peer_time, local_time);
        }
        const duration found = estimator.excess_delay(peer_time, local_time + milliseconds(delay));
        RC_ASSERT(found > milliseconds(delay) - milliseconds(50));
    });
}
