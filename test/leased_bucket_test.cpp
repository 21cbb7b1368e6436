#include "bronzeplank/leased_bucket.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start{std::chrono::hours(1)};

/// A reference implementation: the same rules in steps of a millisecond.
double reference_level(double rate, double burst, share_ppm share, int lease_ms, int total_ms) {
    double level = 0;
    for (int i = 0; i < total_ms; ++i) {
        const double fraction = i < lease_ms ? static_cast<double>(share) / whole_share : 0;
        level = std::min(level + fraction * rate / 1000, fraction * burst);
    }
    return level;
}

} // namespace

TEST_CASE("a leased bucket") {
    leased_bucket bucket({100, 50}, start);

    SECTION("yields nothing without a share") {
        REQUIRE_FALSE(bucket.try_take(start + seconds(10)));
        REQUIRE_FALSE(bucket.time_to_token(start + seconds(10)));
    }
    SECTION("starts empty and fills at its share of the rate") {
        bucket.set_share(share_account::floor, 500'000, start + seconds(100), start);
        REQUIRE_FALSE(bucket.try_take(start));
        REQUIRE_FALSE(bucket.try_take(start + milliseconds(19)));
        REQUIRE(bucket.try_take(start + milliseconds(20)));
    }
    SECTION("holds at most its share of the burst") {
        bucket.set_share(share_account::floor, 500'000, start + seconds(100), start);
        int taken = 0;
        while (bucket.try_take(start + seconds(50))) {
            ++taken;
        }
        REQUIRE(taken == 25);
    }
    SECTION("loses its tokens when the lease ends") {
        bucket.set_share(share_account::extra, 500'000, start + seconds(10), start);
        REQUIRE(bucket.try_take(start + seconds(9)));
        REQUIRE_FALSE(bucket.try_take(start + seconds(10)));
    }
    SECTION("keeps the tokens of the floor share when the extra share ends") {
        bucket.set_share(share_account::floor, 100'000, start + seconds(100), start);
        bucket.set_share(share_account::extra, 900'000, start + seconds(10), start);
        int taken = 0;
        while (bucket.try_take(start + seconds(11))) {
            ++taken;
        }
        REQUIRE(taken == 5);
    }
    SECTION("has the level of the reference implementation") {
        rc::prop("for any share and lease", [] {
            const auto share = *rc::gen::inRange<share_ppm>(0, whole_share);
            const int lease = *rc::gen::inRange(0, 2000);
            const int total = *rc::gen::inRange(1, 2000);
            leased_bucket fresh({100, 50}, start);
            fresh.set_share(share_account::extra, share, start + milliseconds(lease), start);
            fresh.time_to_token(start + milliseconds(total));
            const double expected = reference_level(100, 50, share, lease, total);
            RC_ASSERT(total == lease || std::abs(fresh.level() - expected) < 0.2);
        });
    }
}
