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

TEST_CASE("the turns of a fleet's hosts") {
    SECTION("follow one another without a gap, wherever in its part a host's turn lies") {
        rc::prop("for any number of hosts", [] {
            const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 1000));
            const auto index =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(hosts)));
            const double part = 1.0 / static_cast<double>(hosts);
            const double earliest = watch_turn{hosts, index}.share(0);
            const double latest = watch_turn{hosts, index}.share(0.999999);
            RC_ASSERT(earliest >= static_cast<double>(index) * part - 1e-9);
            RC_ASSERT(latest <= static_cast<double>(index + 1) * part + 1e-9);
        });
    }
    SECTION("are within the longest wait even if the index and the number don't fit") {
        REQUIRE(watch_turn{2, 5}.share(0.5) == 1.0);
        REQUIRE(watch_turn{0, 0}.share(0.5) == 0.5);
    }
}
