#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;

// The platform may execute a call that has got no answer when another instance leads already.
TEST_CASE("the promotion of \"s\" has got no answer, and \"r\" leads since") {
    failover_fixture test;
    list_replica(test, "s");
    list_replica(test, "q");
    test.host.router.set_leadership_sources(test.service->make_leadership_sources());
    test.stored = {true, {0, 5}, {2, "other", "s", false, 2}};
    test.host.reports["r"].received = {1, 28};
    test.on_promotion = [&](const std::string&) {
        test.host.reports["q"] = {replication_role::replica, 2, {2, 28}, 0};
        test.host.reports["s"] = {replication_role::replica, 2, {2, 28}, 0};
    };
    test.service->start();
    run_for(test, claim_timeout + std::chrono::milliseconds(2000));
    REQUIRE(test.promoted == std::vector<std::string>{"r"});
    REQUIRE(test.finished());
    test.host.reports["q"].received = {2, 30};

    std::optional<bool> acknowledged;
    const auto confirm = [&] {
        test.host.router.confirm_commit("g", "r", {2, 30}, duration(0),
                                        [&](bool value) { acknowledged = value; });
        test.host.run_until([&] { return acknowledged.has_value(); });
    };

    SECTION("a commit is not acknowledged if \"s\" lacks it") {
        confirm();
        REQUIRE(acknowledged == false);
    }
    SECTION("a commit is not acknowledged if \"s\" doesn't answer") {
        test.host.reports.erase("s");
        confirm();
        REQUIRE(acknowledged == false);
    }
    SECTION("a commit is acknowledged as soon as \"s\" has received it") {
        const timer receiving = test.host.loop.after(std::chrono::milliseconds(100), [&] {
            test.host.reports["s"].received = {2, 30};
        });
        confirm();
        REQUIRE(acknowledged == true);
        REQUIRE(test.host.reports["s"].received == log_position{2, 30});
    }
    SECTION("no read is confirmed if \"s\" doesn't answer") {
        test.host.reports.erase("s");
        std::optional<bool> leads;
        test.host.router.check_leadership("g", "r", [&](bool value) { leads = value; });
        test.host.run_until([&] { return leads.has_value(); });
        REQUIRE(leads == false);
    }
}
