#include "bronzeplank/process_continuity.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

replication_status connected_for(std::optional<duration> age) {
    return {replication_role::replica, 1, {1, 20}, 0, age};
}

} // namespace

// A replica that had started again during a promotion, unpaused, vouched for the old primary.
TEST_CASE("an answer of a replica") {
    const time_point asked{std::chrono::hours(1)};
    const time_point answered = asked + milliseconds(5);
    process_continuity processes;
    const auto covers = [&](std::optional<duration> age) {
        return processes.covers(connected_for(age), asked, answered);
    };

    SECTION("on a new connection may come from a process that has forgotten its pause") {
        REQUIRE_FALSE(covers(milliseconds(40)));
        SECTION("unless no claim was acted on since it was opened") {
            processes.record_unclaimed(answered - milliseconds(40));
            REQUIRE(covers(milliseconds(40)));
            REQUIRE_FALSE(covers(milliseconds(39)));
        }
        SECTION("and a claim that was read before it was opened shows nothing") {
            processes.record_unclaimed(answered - milliseconds(41));
            REQUIRE_FALSE(covers(milliseconds(40)));
        }
        SECTION("and an older proof doesn't replace a newer one") {
            processes.record_unclaimed(answered - milliseconds(30));
            processes.record_unclaimed(answered - milliseconds(60));
            REQUIRE(covers(milliseconds(40)));
        }
    }
    SECTION("on a connection that was open for longer than a claim is acted on counts") {
        REQUIRE(covers(established_replicas::probation + (answered - asked)));
    }
    SECTION("that was long on its way is taken to have been given when it was requested") {
        REQUIRE_FALSE(covers(established_replicas::probation));
    }
    SECTION("through a host of an earlier version counts, as nothing is known of its connection") {
        REQUIRE(covers(std::nullopt));
    }
}
