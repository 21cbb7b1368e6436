#include "bronzeplank/acknowledged_writes.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

constexpr time_point now{std::chrono::hours(1)};

acknowledged_write write_at(const log_position& position, time_point at = now) {
    return {"id-" + std::to_string(position.offset), "p", position, at};
}

term_beginning beginning(std::uint64_t term, const log_position& first) {
    return {{"r", term}, first};
}

} // namespace

TEST_CASE("the writes that a host has acknowledged") {
    acknowledged_writes writes;
    writes.record(write_at({1, 27}));
    writes.record(write_at({1, 28}));
    const auto missing = [&](const term_beginning& began, time_point at = now) {
        return writes.missing_from(began, at);
    };

    SECTION("are missing from a newer term that began below them") {
        CHECK(missing(beginning(2, {1, 27})) == std::vector{write_at({1, 28})});
        CHECK(missing(beginning(2, {1, 26})) == std::vector{write_at({1, 27}), write_at({1, 28})});
        SECTION("also if a term after it has begun") {
            writes.record(write_at({2, 29}));
            CHECK(missing(beginning(3, {1, 27})) ==
                  std::vector{write_at({1, 28}), write_at({2, 29})});
        }
    }
    SECTION("are not missing from a term that began at or above them") {
        CHECK(missing(beginning(2, {1, 28})).empty());
        CHECK(missing(beginning(2, {1, 29})).empty());
    }
    SECTION("are not missing from a term that isn't newer than theirs") {
        CHECK(missing(beginning(1, {0, 3})).empty());
    }
    SECTION("are forgotten after the retention") {
        CHECK(missing(beginning(2, {1, 27}), now + acknowledged_writes::retention).size() == 1);
        CHECK(missing(beginning(2, {1, 27}),
                      now + acknowledged_writes::retention + std::chrono::seconds(1))
                  .empty());
    }
    SECTION("are bounded in each term") {
        for (std::uint64_t offset = 29; offset < 100; ++offset) {
            writes.record(write_at({1, offset}));
        }
        const auto kept = missing(beginning(2, {1, 0}));
        REQUIRE(kept.size() == acknowledged_writes::kept_per_term);
        CHECK(kept.back() == write_at({1, 99}));
        SECTION("so that the writes of a newer one don't displace them") {
            for (std::uint64_t offset = 50; offset < 100; ++offset) {
                writes.record(write_at({2, offset}));
            }
            CHECK(missing(beginning(2, {1, 0})) == kept);
        }
        SECTION("and so are the terms") {
            for (std::uint64_t term = 2; term <= acknowledged_writes::kept_terms + 1; ++term) {
                writes.record(write_at({term, 100}));
            }
            CHECK(missing(beginning(2, {1, 0})).empty());
        }
    }
}
