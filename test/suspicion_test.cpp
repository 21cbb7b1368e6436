#include "bronzeplank/suspicion.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("a promotion is ordered") {
    const suspicion_limits limits;
    const time_point now{std::chrono::hours(1)};
    const auto peer = [now](const char* host, bool suspected) {
        return suspicion_vote{host, "zone", suspected, now - milliseconds(100)};
    };
    const suspicion_vote self{"b", "zone", true, now};
    const auto ordered = [&](const std::vector<suspicion_vote>& peers, milliseconds since) {
        return should_start_promotion(self, peers, now - since, std::nullopt, now, limits);
    };

    SECTION("when more than half of the known hosts suspect the primary") {
        REQUIRE(ordered({peer("c", true), peer("d", false)}, milliseconds(0)));
    }
    SECTION("not by one cut-off domain of three") {
        REQUIRE_FALSE(ordered({peer("a", true), peer("c", false), peer("d", false),
                               peer("e", false), peer("f", false)},
                              milliseconds(5000)));
    }
    SECTION("not by half of them") {
        REQUIRE_FALSE(ordered({peer("c", false)}, milliseconds(5000)));
    }
    SECTION("not by votes that are too old") {
        suspicion_vote old = peer("c", true);
        old.received_at = now - milliseconds(2000);
        REQUIRE_FALSE(ordered({old, peer("d", false)}, milliseconds(0)));
    }
    SECTION("by one host after the other") {
        const std::vector<suspicion_vote> peers{peer("a", true), peer("c", true)};
        REQUIRE_FALSE(ordered(peers, milliseconds(149)));
        REQUIRE(ordered(peers, milliseconds(150)));
    }
    SECTION("not while another host's claim is fresh") {
        const std::vector<suspicion_vote> peers{peer("c", true)};
        const auto with_claim = [&](milliseconds age) {
            return should_start_promotion(self, peers, now - milliseconds(5000), now - age, now,
                                          limits);
        };
        REQUIRE_FALSE(with_claim(milliseconds(900)));
        REQUIRE(with_claim(milliseconds(1000)));
    }
    SECTION("not by a host that reaches the primary") {
        const suspicion_vote fine{"b", "zone", false, now};
        REQUIRE_FALSE(should_start_promotion(fine, {peer("c", true), peer("d", true)}, std::nullopt,
                                             std::nullopt, now, limits));
    }
}
