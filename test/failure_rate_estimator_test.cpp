#include "bronzeplank/failure_rate_estimator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("an instance's failure rate") {
    time_point now{std::chrono::hours(1)};
    failure_rate_estimator rate;
    const auto record = [&](bool succeeded, int times) {
        for (int i = 0; i < times; ++i) {
            now += milliseconds(5);
            rate.record(succeeded, now);
        }
    };

    SECTION("is zero before the first failure") {
        REQUIRE(rate.at(now) == 0);
        record(true, 100);
        REQUIRE(rate.at(now) == 0);
    }
    SECTION("approaches one half within twenty statements of which half fail") {
        for (int i = 0; i < 10; ++i) {
            record(false, 1);
            record(true, 1);
        }
        REQUIRE(rate.at(now) > 0.3);
        REQUIRE(rate.at(now) < 0.6);
    }
    SECTION("changes little after one failure, and returns to zero after successes") {
        record(true, 20);
        record(false, 1);
        REQUIRE(rate.at(now) < 0.15);
        record(true, 30);
        REQUIRE(rate.at(now) < 0.01);
    }
    SECTION("decays with time, so that the instance is tried again") {
        record(false, 100);
        REQUIRE(rate.at(now) > 0.9);
        REQUIRE(rate.at(now + failure_rate_estimator::half_life) == Approx(0.5).margin(0.05));
        REQUIRE(rate.at(now + std::chrono::seconds(10)) < 0.02);
    }
    SECTION("stays between 0 and 1") {
        rc::prop("for any outcomes", [] {
            failure_rate_estimator any;
            time_point at{std::chrono::hours(1)};
            const auto outcomes = *rc::gen::arbitrary<std::vector<std::pair<bool, std::uint8_t>>>();
            for (const auto& [succeeded, gap] : outcomes) {
                at += milliseconds(gap);
                any.record(succeeded, at);
                RC_ASSERT(any.at(at) >= 0);
                RC_ASSERT(any.at(at) <= 1);
            }
        });
    }
}
