#include "bronzeplank/watch_wait.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("the wait of a watch") {
    SECTION("is the shortest one for a host without peers") {
        REQUIRE(watch_wait_for(1) == duration(min_watch_wait));
    }
    SECTION("keeps the calls of a fleet independent of its size, until it is the longest one") {
        rc::prop("for any number of hosts", [] {
            const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 1000));
            const duration wait = watch_wait_for(hosts);
            RC_ASSERT(wait >= duration(min_watch_wait));
            RC_ASSERT(wait <= duration(max_watch_wait));
            const bool longest = wait == duration(max_watch_wait);
            RC_ASSERT(longest || wait >= duration(watch_return_interval) * hosts);
        });
    }
}
