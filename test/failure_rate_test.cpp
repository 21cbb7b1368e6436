#include "bronzeplank/failure_rate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("an instance's share of failures") {
    time_point now{std::chrono::hours(1)};
    failure_share share;
    const auto note = [&](bool good, int times) {
        for (int i = 0; i < times; ++i) {
            now += milliseconds(5);
            share.note(good, now);
        }
    };

    SECTION("is nothing before anything went wrong") {
        REQUIRE(share.at(now) == 0);
        note(true, 100);
        REQUIRE(share.at(now) == 0);
    }
    SECTION("shows within some ten statements that half of them fail") {
        for (int i = 0; i < 10; ++i) {
            note(false, 1);
            note(true, 1);
        }
        REQUIRE(share.at(now) > 0.3);
        REQUIRE(share.at(now) < 0.6);
    }
    SECTION("is hardly moved by one failure, and gone after good ones") {
        note(true, 20);
        note(false, 1);
        REQUIRE(share.at(now) < 0.15);
        note(true, 30);
        REQUIRE(share.at(now) < 0.01);
    }
    SECTION("fades, so that the instance is tried again") {
        note(false, 100);
        REQUIRE(share.at(now) > 0.9);
        REQUIRE(share.at(now + failure_share::half_life) == Approx(0.5).margin(0.05));
        REQUIRE(share.at(now + std::chrono::seconds(10)) < 0.02);
    }
    SECTION("stays between 0 and 1 whatever comes") {
        rc::prop("any outcomes", [] {
            failure_share any;
            time_point at{std::chrono::hours(1)};
            const auto outcomes = *rc::gen::arbitrary<std::vector<std::pair<bool, std::uint8_t>>>();
            for (const auto& [good, gap] : outcomes) {
                at += milliseconds(gap);
                any.note(good, at);
                RC_ASSERT(any.at(at) >= 0);
                RC_ASSERT(any.at(at) <= 1);
            }
        });
    }
}
