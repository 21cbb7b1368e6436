#include "bronzeplank/read_routing.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

TEST_CASE("a read goes") {
    const auto candidate = [](const char* name, bool primary, bool near, std::uint64_t offset) {
        return read_candidate{
            name, primary, near, true, {offset, {{1, 0}}}, std::chrono::milliseconds(50), 0};
    };
    std::vector<read_candidate> candidates{candidate("p", true, true, 100),
                                           candidate("far", false, false, 100),
                                           candidate("near", false, true, 90)};
    using order = std::vector<std::string>;

    SECTION("to a near replica first and to the primary last") {
        REQUIRE(rank_read_targets(candidates, {{1, 80}, {}}) == order{"near", "far", "p"});
    }
    SECTION("to a far replica before a near one that may lack the session's write") {
        REQUIRE(rank_read_targets(candidates, {{1, 95}, {}}) == order{"far", "near", "p"});
    }
    SECTION("to the next instance when a replica is not usable") {
        candidates[2].usable = false;
        REQUIRE(rank_read_targets(candidates, {{1, 80}, {}}) == order{"far", "p"});
    }
    SECTION("to the next instance when a replica's data is too old or of unknown age") {
        candidates[1].staleness = std::chrono::milliseconds(900);
        candidates[2].staleness = std::nullopt;
        REQUIRE(rank_read_targets(candidates, {{}, std::chrono::milliseconds(500)}) == order{"p"});
    }
    SECTION("to a far replica when the near one has a higher load") {
        candidates[2].load = 12;
        REQUIRE(rank_read_targets(candidates, {{1, 80}, {}}) == order{"far", "near", "p"});
    }
}
