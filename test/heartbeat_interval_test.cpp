#include "bronzeplank/heartbeat_interval.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("the pace of beats") {
    SECTION("is full for a few hosts") {
        REQUIRE(beat_period_for(1) == duration(shortest_beat_period));
        REQUIRE(beat_period_for(hosts_at_full_pace) == duration(shortest_beat_period));
    }
    SECTION("keeps what a host hears bounded up to sixty hosts, and is never too slow") {
        rc::prop("whatever their number", [] {
            const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 1000));
            const duration period = beat_period_for(hosts);
            RC_ASSERT(period <= duration(longest_beat_period));
            RC_ASSERT(period >= duration(shortest_beat_period));
            if (hosts <= 60) {
                const double a_second =
                    static_cast<double>(hosts) * 1e6 / static_cast<double>(period.count());
                RC_ASSERT(a_second <= 60.1);
            }
        });
    }
    SECTION("lets a host miss two beats without being taken for dead") {
        REQUIRE(silence_for(shortest_beat_period) > 3 * duration(shortest_beat_period));
    }
}
