#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::make_status;

namespace {

/// Long enough for hosts to take an instance for gone, to ask the others and to store the result.
constexpr duration settling_time = group_roster::detection_time + std::chrono::milliseconds(2500);

/// Runs a host while the replica "s" leaves as planned, and returns what the platform stores then.
/// \param received what the other replica, "r", has received of the primary's 27 commits
model::stored_objects store_after_leaving(std::uint64_t received) {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.host.reports["r"].received = {1, received};
    upstream_instance leaver = model::listed_instance("s", false);
    test.host.directory.upsert_instance(leaver);
    test.host.reports["s"] = make_status(replication_role::replica, 1);
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    leaver.leaving = true;
    test.host.directory.upsert_instance(leaver);
    run_for(test, std::chrono::milliseconds(1500));
    test.host.reports.erase("s");
    test.host.directory.remove_instance("s", event_loop::now());
    run_for(test, settling_time);
    return test.objects();
}

} // namespace

// New hosts forgot an instance that had left with the only other copy of acknowledged commits.
TEST_CASE("a host that has started since a replica left, while the primary is out of reach") {
    SECTION("promotes no other replica that has missed commits") {
        const model::stored_objects stored = store_after_leaving(26);
        failover_fixture test;
        test.restore(stored);
        test.host.reports["r"].received = {1, 26};
        const auto promoted = [&] { return !test.promoted.empty(); };
        SECTION("while the primary is listed") {
            test.service->start();
            REQUIRE_FALSE((test.host.run_until(promoted) || test.host.run_until(promoted)));
        }
        SECTION("once the primary's entry has expired") {
            test.host.directory.remove_instance("p", event_loop::now());
            test.service->start();
            REQUIRE_FALSE((test.host.run_until(promoted) || test.host.run_until(promoted)));
        }
    }
    SECTION("promotes the other replica if it was seen to have received everything") {
        const model::stored_objects stored = store_after_leaving(27);
        failover_fixture test;
        test.restore(stored);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        REQUIRE(test.promoted.front() == "r");
    }
}
