#include "bronzeplank/heartbeat_interval.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("the interval between heartbeats") {
    SECTION("is the shortest one for a few hosts") {
        REQUIRE(heartbeat_interval_for(1) == duration(min_heartbeat_interval));
        REQUIRE(heartbeat_interval_for(hosts_at_min_interval) == duration(min_heartbeat_interval));
    }
    SECTION("bounds the heartbeats that a host receives, up to sixty hosts, and has a maximum") {
        rc::prop("for any number of hosts", [] {
            const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 1000));
            const duration period = heartbeat_interval_for(hosts);
            RC_ASSERT(period <= duration(max_heartbeat_interval));
            RC_ASSERT(period >= duration(min_heartbeat_interval));
            if (hosts <= 60) {
                const double heartbeats_per_second =
                    static_cast<double>(hosts) * 1e6 / static_cast<double>(period.count());
                RC_ASSERT(heartbeats_per_second <= 60.1);
            }
        });
    }
    SECTION("lets two heartbeats of a host be lost before it counts as dead") {
        REQUIRE(heartbeat_timeout_for(min_heartbeat_interval) >
                3 * duration(min_heartbeat_interval));
    }
}
