#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::listed_instance;

namespace {

/// What a host leaves in the store that claims the group of "q" in vain.
stored_claim abandoned_claim() {
    failover_fixture test;
    test.stored = {true, {0, 5}, {2, "other", "q", true, 2}};
    test.host.directory.upsert_instance(listed_instance("q", true));
    test.host.directory.primary_tracker_for("g").record_primary("q", 2, primary_evidence::status);
    test.host.pools["q"].reachable = false;
    test.host.pools["p"].reachable = true;
    test.host.reports["r"] = {replication_role::replica, 1, {1, 26}, 0};
    test.service->start();
    // Until then "other" may have promoted "q" a moment ago.
    run_for(test, claim_timeout);
    test.host.run_until([&] { return !test.written.empty(); });
    test.host.run_until([&] { return test.written.back().finished; });
    REQUIRE(test.promoted.empty());
    REQUIRE(test.stored.claim.successor.empty());
    return test.stored;
}

} // namespace

// An abandoned claim forgot who had led the newest term.
TEST_CASE("a host that starts after a claim on the newest primary was abandoned") {
    const stored_claim left = abandoned_claim();
    failover_fixture test;
    test.stored = left;
    test.host.reports["r"] = {replication_role::replica, 1, {1, 26}, 0};
    test.service->start();
    run_for(test, std::chrono::milliseconds(4500));
    REQUIRE(test.promoted.empty());
}
