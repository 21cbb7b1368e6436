#include "bronzeplank/read_placement.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("a read goes") {
    placement_candidate near{"near", false, true, {}, 0, 2};
    placement_candidate far{"far", false, false, {}, 0, 2};
    placement_candidate primary{"primary", true, true, {}, 0, 2};
    const auto chosen = [&] { return place_read({near, far, primary}, {}); };

    SECTION("nowhere without candidates") {
        REQUIRE_FALSE(place_read({}, {}));
    }
    SECTION("to the replica in its own domain") {
        REQUIRE(chosen() == "near");
    }
    SECTION("to another domain when the wait in its own costs more than the other domain") {
        near.reported_wait = milliseconds(60);
        primary.reported_wait = milliseconds(60);
        REQUIRE(chosen() == "far");
    }
    SECTION(
        "to the primary in its own domain rather than to another domain, while it has no queue") {
        near.reported_wait = milliseconds(40);
        REQUIRE(chosen() == "primary");
    }
    SECTION("to another domain when this host's own requests fill the instances in its domain") {
        near.outstanding = 8;
        primary.outstanding = 8;
        REQUIRE(chosen() == "far");
    }
    SECTION("away from an instance that fails a third of its statements and has no queue") {
        near.failure_rate = 0.3;
        REQUIRE(chosen() == "primary");
        primary.reported_wait = milliseconds(60);
        REQUIRE(chosen() == "far");
    }
    SECTION("to the same instance despite a single failure, or when all instances fail") {
        near.failure_rate = 0.05;
        REQUIRE(chosen() == "near");
        near.failure_rate = far.failure_rate = primary.failure_rate = 1;
        REQUIRE(chosen() == "near");
    }
    SECTION("to the primary only when every replica has a much longer wait") {
        near.reported_wait = milliseconds(15);
        far.reported_wait = milliseconds(15);
        REQUIRE(chosen() == "near");
        near.reported_wait = milliseconds(50);
        far.reported_wait = milliseconds(50);
        REQUIRE(chosen() == "primary");
    }
}
