#include "bronzeplank/incarnation_filter.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::hours;
using std::chrono::seconds;

TEST_CASE("a peer that starts again") {
    const time_point here{hours(2)};
    const time_point there{hours(9)};
    message_source source;
    REQUIRE(source.lateness(7, there, here) == duration(0));

    SECTION("is heard at once, whatever its clock shows then") {
        REQUIRE(source.lateness(3, time_point{seconds(1)}, here + seconds(4)) == duration(0));
        SECTION("and its earlier start no more, however often it comes") {
            REQUIRE_FALSE(source.lateness(7, there + seconds(5), here + seconds(5)));
            REQUIRE(source.lateness(3, time_point{seconds(3)}, here + seconds(6)) == duration(0));
            REQUIRE_FALSE(source.lateness(7, there + seconds(6), here + seconds(6)));
        }
    }
    SECTION("many times is heard each time") {
        for (std::uint32_t start = 100; start < 150; ++start) {
            REQUIRE(source.lateness(start, there, here) == duration(0));
            REQUIRE_FALSE(source.lateness(start - 1 == 99 ? 7 : start - 1, there, here));
        }
    }
}
