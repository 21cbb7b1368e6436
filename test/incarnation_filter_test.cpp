#include "bronzeplank/incarnation_filter.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::hours;
using std::chrono::seconds;

TEST_CASE("a restarted peer") {
    const time_point local_time{hours(2)};
    const time_point peer_time{hours(9)};
    incarnation_filter filter;
    REQUIRE(filter.excess_delay(7, peer_time, local_time) == duration(0));

    SECTION("is accepted at once, whatever its clock shows") {
        REQUIRE(filter.excess_delay(3, time_point{seconds(1)}, local_time + seconds(4)) ==
                duration(0));
        SECTION("and its earlier incarnation is rejected, also when its messages alternate") {
            REQUIRE_FALSE(filter.excess_delay(7, peer_time + seconds(5), local_time + seconds(5)));
            REQUIRE(filter.excess_delay(3, time_point{seconds(3)}, local_time + seconds(6)) ==
                    duration(0));
            REQUIRE_FALSE(filter.excess_delay(7, peer_time + seconds(6), local_time + seconds(6)));
        }
    }
    SECTION("is accepted after each of many restarts") {
        for (std::uint32_t incarnation = 100; incarnation < 150; ++incarnation) {
            REQUIRE(filter.excess_delay(incarnation, peer_time, local_time) == duration(0));
            REQUIRE_FALSE(filter.excess_delay(incarnation - 1 == 99 ? 7 : incarnation - 1,
                                              peer_time, local_time));
        }
    }
}
