#include "bronzeplank/log_position.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("an offset") {
    SECTION("round-trips through PostgreSQL's notation") {
        rc::prop("for any value", [](std::uint64_t offset) {
            RC_ASSERT(parse_offset(format_offset(offset)) == offset);
        });
    }
    SECTION("is nothing for any other text") {
        for (const auto* text : {"", "1", "1/", "/1", "x/1", "1/x", "1/1/1", "123456789/0"}) {
            INFO(text);
            REQUIRE_FALSE(parse_offset(text));
        }
    }
}

TEST_CASE("a session's position") {
    const replay_state instance{900, {{1, 0}, {3, 500}}};

    SECTION("is covered") {
        SECTION("when the session wrote nothing") {
            REQUIRE(covers({}, {}) == coverage::covered);
        }
        SECTION("up to the replayed offset of the last term") {
            REQUIRE(covers(instance, {3, 900}) == coverage::covered);
        }
        SECTION("in an earlier term, up to the term's end") {
            REQUIRE(covers(instance, {1, 500}) == coverage::covered);
        }
    }
    SECTION("is behind") {
        SECTION("past the replayed offset") {
            REQUIRE(covers(instance, {3, 901}) == coverage::behind);
        }
        SECTION("in a term whose record has not arrived") {
            REQUIRE(covers(instance, {4, 1}) == coverage::behind);
        }
    }
    SECTION("is lost") {
        SECTION("past the end of its term, even when the log is longer") {
            REQUIRE(covers(instance, {1, 501}) == coverage::lost);
        }
        SECTION("in a term that this log never had") {
            REQUIRE(covers(instance, {2, 100}) == coverage::lost);
        }
    }
}
