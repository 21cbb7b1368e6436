#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;

// "n" has led term 2 after "p", and has left the list; the host never saw "p" as a replica.
TEST_CASE("a newer primary has left the list, and the one before it counts as the primary") {
    failover_fixture test;
    const auto promoted = [&] { return !test.promoted.empty(); };
    test.host.directory.upsert_instance(model::listed_instance("n", true));
    test.host.directory.primary_tracker_for("g").record_primary("n", 2, primary_evidence::status);
    test.host.reports["n"] = {replication_role::primary, 2, {2, 30}, 0};
    test.host.reports["r"] = {replication_role::replica, 2, {1, 27}, 0};
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    REQUIRE(test.host.directory.primary("g") == known_primary{"n", 2});
    test.host.reports.erase("n");
    test.host.directory.remove_instance("n", event_loop::now());
    REQUIRE(test.host.directory.primary("g") == known_primary{"p", 1});

    SECTION("while that one is out of reach") {
        SECTION("nobody is promoted, since either may have acknowledged with the other") {
            run_for(test, std::chrono::milliseconds(4500));
            REQUIRE_FALSE(promoted());
        }
        SECTION("the newer one counts again once it has started under another id") {
            upstream_instance again = model::listed_instance("n2", true);
            test.host.directory.upsert_instance(again);
            test.host.reports["n2"] = {replication_role::primary, 2, {2, 30}, 0};
            test.host.directory.primary_tracker_for("g").record_primary("n2", 2,
                                                                        primary_evidence::status);
            run_for(test, std::chrono::milliseconds(4500));
            REQUIRE_FALSE(promoted());
            REQUIRE(test.host.directory.primary("g") == known_primary{"n2", 2});
        }
    }
    SECTION("and turns out to follow the newer one") {
        test.host.pools["p"].reachable = true;
        test.host.reports["p"] = {replication_role::replica, 2, {2, 30}, 0};
        test.host.directory.upsert_instance(model::listed_instance("p", false));
        SECTION("it is promoted, as it has what the newer one has acknowledged") {
            run_for(test, std::chrono::milliseconds(4500));
            REQUIRE(promoted());
            REQUIRE(test.promoted.front() == "p");
        }
        SECTION("nobody is promoted while another replica is out of reach") {
            test.host.directory.upsert_instance(model::listed_instance("s", false));
            test.host.pools["s"].reachable = false;
            run_for(test, std::chrono::milliseconds(4500));
            REQUIRE_FALSE(promoted());
        }
    }
}

// A former primary counted as the last one, and was left out with the commits of the newer one.
TEST_CASE("a newer primary has started again without its log, beside a former one out of reach") {
    failover_fixture test;
    const auto promoted = [&] { return !test.promoted.empty(); };
    upstream_instance newer = model::listed_instance("n", true);
    newer.born_ms = 1;
    test.host.directory.upsert_instance(newer);
    test.host.directory.primary_tracker_for("g").record_primary("n", 2, primary_evidence::status);
    test.host.reports["n"] = {replication_role::primary, 2, {2, 30}, 0};
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    newer.born_ms = 2;
    newer.says_primary = false;
    test.host.reports["n"] = {replication_role::replica, 0, {0, 0}, 0};
    test.host.directory.upsert_instance(newer);
    REQUIRE(test.host.directory.primary("g") == known_primary{"p", 1});

    SECTION("promotes nobody, since the former one may have followed the newer one") {
        run_for(test, std::chrono::milliseconds(4500));
        REQUIRE_FALSE(promoted());
    }
    SECTION("promotes a replica once the former one has answered that it still leads") {
        test.host.pools["p"].reachable = true;
        test.host.reports["p"] = model::make_status(replication_role::primary, 1);
        run_for(test, std::chrono::milliseconds(1500));
        REQUIRE_FALSE(promoted());
        test.host.pools["p"].reachable = false;
        test.host.reports.erase("p");
        run_for(test, std::chrono::milliseconds(4500));
        REQUIRE(promoted());
        REQUIRE(test.promoted.front() == "r");
    }
}

// A leaver was left out on the word of a former primary that had not heard of the newer one.
TEST_CASE("a replica of a newer primary leaves while that one is not listed") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = model::make_status(replication_role::primary, 1);
    test.host.directory.upsert_instance(model::listed_instance("n", true));
    test.host.directory.primary_tracker_for("g").record_primary("n", 2, primary_evidence::status);
    test.host.reports["n"] = {replication_role::primary, 2, {2, 30}, 0};
    upstream_instance leaver = model::listed_instance("s", false);
    test.host.directory.upsert_instance(leaver);
    test.host.reports["s"] = {replication_role::replica, 2, {2, 30}, 0};
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    test.host.directory.remove_instance("n", event_loop::now());
    leaver.leaving = true;
    test.host.directory.upsert_instance(leaver);
    run_for(test, std::chrono::milliseconds(100));
    test.host.reports.erase("s");
    test.host.directory.remove_instance("s", event_loop::now());
    run_for(test, group_roster::detection_time + std::chrono::milliseconds(2500));

    SECTION("it counts when that one is listed again, though nobody reaches it") {
        test.host.reports["p"] = model::make_status(replication_role::replica, 1);
        test.host.reports.erase("n");
        test.host.pools["n"].reachable = false;
        test.host.directory.upsert_instance(model::listed_instance("n", true));
        REQUIRE(test.host.directory.primary("g") == known_primary{"n", 2});
        run_for(test, std::chrono::milliseconds(4500));
        REQUIRE(test.promoted.empty());
    }
}
