#include "model/group_walk.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

// Long walks that lose an acknowledged write; found by looking through seeds 1 to 59,999.
TEST_CASE("promotions in long walks lose no acknowledged write") {
    for (const std::uint64_t seed :
         {3639U, 9519U, 9987U, 15512U, 24733U, 37432U, 38050U, 41794U, 48310U, 48701U}) {
        const auto report = model::walk_from(seed, 3, 1, 2 * model::walk_steps);
        INFO(report.first_broken);
        CHECK(report.broken == 0);
    }
}
