#include "model/group_walk.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::walk_from;
using model::walk_steps;

// Seeds of long walks that lost an acknowledged write when a replica's fencing token named the
// start of its primary's term instead of the first term that it lacks. Found by a search of seeds 1
// to 59,999.
TEST_CASE("promotions in long walks") {
    for (const std::uint64_t seed :
         {3639U, 9519U, 9987U, 15512U, 24733U, 37432U, 38050U, 41794U, 48310U, 48701U}) {
        INFO("seed " << seed);

        SECTION("lose no acknowledged write, seed " + std::to_string(seed)) {
            const auto report = walk_from(seed, 3, 1, 2 * walk_steps);
            INFO(report.first_violation);
            CHECK(report.violations == 0);
        }
        SECTION("lose one when a replica's token names the primary's own start, seed " +
                std::to_string(seed)) {
            const auto without =
                walk_from(seed, 3, 1, 2 * walk_steps, {.token_names_first_missing_term = false});
            CHECK(without.violations == 1);
        }
    }
}
