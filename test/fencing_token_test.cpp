#include "bronzeplank/fencing_token.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("a fencing token") {
    SECTION("is parsed as it was formatted") {
        const fencing_token token{7, 6, 0x1500};
        REQUIRE(parse_fencing_token(format_fencing_token("a", token)) == token);
    }
    SECTION("keeps a lower pending end until the term's record has arrived") {
        const fencing_token before{4, 4, 15};
        REQUIRE(token_with_pending_term(before, 3, 5, 18).pending_end == 15);
        REQUIRE(token_with_pending_term(before, 4, 5, 18).pending_end == 18);
    }
}

TEST_CASE("a replica that is attached to a log and lacks several of its terms") {
    const std::vector<term_start> terms{{3, 2}, {4, 15}, {5, 18}};

    SECTION("has recorded terms up to the first missing one, not up to the primary's term") {
        REQUIRE(end_of_recorded_terms(terms, 3, 18) == 15);
        REQUIRE(end_of_recorded_terms(terms, 0, 18) == 2);
    }
    SECTION("has all earlier terms recorded when it lacks none") {
        REQUIRE(end_of_recorded_terms(terms, 5, 21) == 21);
        REQUIRE(end_of_recorded_terms({}, 0, 21) == 21);
    }
    SECTION("never reports internal records of a promotion as data of its last term") {
        rc::prop("for any received offset", [](std::uint8_t received) {
            const std::vector<term_start> log{{1, 0}, {2, 20}, {3, 40}};
            const fencing_token token =
                token_with_pending_term({}, 1, 4, end_of_recorded_terms(log, 1, std::uint64_t{60}));
            const std::uint64_t end = end_of_earlier_terms(token, {1, received});
            RC_ASSERT(end == std::min<std::uint64_t>(received, 20));
        });
    }
}
