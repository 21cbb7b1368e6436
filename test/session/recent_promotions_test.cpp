#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using std::chrono::milliseconds;

namespace {

/// The platform's claim after "other" has promoted "p" to the given term.
stored_claim promotion_by(const std::string& holder, std::uint64_t term) {
    failover_claim claim{term, holder, "p", true, term};
    claim.complete = true;
    return {true, {0, 5}, claim};
}

} // namespace

// Two holders promoted within one lease: a host took a new term for the first one that it learned
// (ONE).
TEST_CASE("a host learns its first term of \"p\", which leaves") {
    failover_fixture test;
    model::list_leaving_primary(test);
    test.host.directory.primary_tracker_for("g").record_primary("p", 2, primary_evidence::status);
    test.host.reports["p"] = {replication_role::primary, 2, {2, 27}, 0};
    const auto promoted = [&] { return !test.promoted.empty(); };

    SECTION("it promotes nobody within a claim's time if another host has promoted \"p\"") {
        test.stored = promotion_by("other", 2);
        test.service->start();
        run_for(test, claim_timeout - milliseconds(500));
        REQUIRE(test.promoted.empty());
        REQUIRE(test.host.run_until(promoted));
    }
    SECTION("it promotes nobody within a claim's time if the claim names a newer term of \"p\"") {
        test.stored = promotion_by("other", 3);
        test.service->start();
        run_for(test, claim_timeout - milliseconds(500));
        REQUIRE(test.promoted.empty());
    }
    SECTION("it promotes nobody within a claim's time if a released claim names the promotion") {
        test.stored = promotion_by("other", 2);
        test.stored.claim.promoted_instance = test.stored.claim.successor;
        test.stored.claim.successor.clear();
        test.service->start();
        run_for(test, claim_timeout - milliseconds(500));
        REQUIRE(test.promoted.empty());
        REQUIRE(test.host.run_until(promoted));
    }
    SECTION("it needn't wait if") {
        SECTION("it has promoted \"p\" itself") {
            test.stored = promotion_by(test.host.router.host(), 2);
        }
        SECTION("no host has promoted \"p\" to this term") {
            test.stored = promotion_by("other", 1);
        }
        test.service->start();
        run_for(test, milliseconds(1500));
        REQUIRE(promoted());
    }
}
