#include "bronzeplank/suspicion.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("a promotion is started") {
    const suspicion_limits limits;
    const time_point now{std::chrono::hours(1)};
    const auto peer = [now](const char* host, bool suspected) {
        return suspicion_vote{host, "zone", suspected, now - milliseconds(100)};
    };
    const suspicion_vote self{"b", "zone", true, now};
    const auto starts = [&](const std::vector<suspicion_vote>& peers, milliseconds since) {
        return should_start_promotion(self, peers, now - since, std::nullopt, now, limits);
    };

    SECTION("when more than half of the known hosts suspect the primary") {
        REQUIRE(starts({peer("c", true), peer("d", false)}, milliseconds(0)));
    }
    SECTION("not by one partitioned failure domain of three") {
        REQUIRE_FALSE(starts({peer("a", true), peer("c", false), peer("d", false), peer("e", false),
                              peer("f", false)},
                             milliseconds(5000)));
    }
    SECTION("not when only half of them suspect it") {
        REQUIRE_FALSE(starts({peer("c", false)}, milliseconds(5000)));
    }
    SECTION("not by expired votes") {
        suspicion_vote expired = peer("c", true);
        expired.received_at = now - milliseconds(2000);
        REQUIRE_FALSE(starts({expired, peer("d", false)}, milliseconds(0)));
    }
    SECTION("in turn, by the rank of the hosts") {
        const std::vector<suspicion_vote> peers{peer("a", true), peer("c", true)};
        REQUIRE_FALSE(starts(peers, milliseconds(149)));
        REQUIRE(starts(peers, milliseconds(150)));
    }
    SECTION("not before another host's claim has timed out") {
        const std::vector<suspicion_vote> peers{peer("c", true)};
        const auto with_claim = [&](milliseconds age) {
            return should_start_promotion(self, peers, now - milliseconds(5000), now - age, now,
                                          limits);
        };
        REQUIRE_FALSE(with_claim(milliseconds(900)));
        REQUIRE(with_claim(milliseconds(1000)));
    }
    SECTION("not by a host that can reach the primary") {
        const suspicion_vote reachable{"b", "zone", false, now};
        REQUIRE_FALSE(should_start_promotion(reachable, {peer("c", true), peer("d", true)},
                                             std::nullopt, std::nullopt, now, limits));
    }
}
