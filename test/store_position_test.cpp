#include "bronzeplank/store_position.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

TEST_CASE("positions of a store") {
    SECTION("are ordered by revision within an era") {
        CHECK(store_position{1, 26} < store_position{1, 33});
    }
    SECTION("are later in a later era, whatever the revision") {
        CHECK(store_position{1, 33} < store_position{2, 26});
        CHECK(store_position{1, 33} != store_position{2, 33});
    }
    SECTION("have fencing tokens in the same order") {
        CHECK(store_position{1, 26}.fencing_token() < store_position{1, 33}.fencing_token());
        CHECK(store_position{1, 33}.fencing_token() < store_position{2, 26}.fencing_token());
    }
    SECTION("of a store that reports no era have their revision as the token") {
        CHECK(store_position{0, 33}.fencing_token() == 33);
    }
}
