#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::listed_instance;

namespace {

constexpr duration attempt_time = std::chrono::milliseconds(4500);

upstream_instance started_at(const std::string& id, std::int64_t born_ms) {
    upstream_instance instance = listed_instance(id, false);
    instance.born_ms = born_ms;
    return instance;
}

/// Lists the replicas "r" and "s"; "s" lacks the last commits.
void list_replicas(failover_fixture& test) {
    test.host.directory.upsert_instance(started_at("r", 1000));
    test.host.directory.upsert_instance(started_at("s", 1000));
    test.host.reports["s"] = {replication_role::replica, 1, {1, 20}, 0};
}

void restart_without_log(failover_fixture& test, const std::string& id) {
    test.host.directory.upsert_instance(started_at(id, 9000));
    test.host.reports[id] = {replication_role::replica, 0, {0, 0}, 0};
}

} // namespace

// A replica that had started again under its id, without its log, counted as one that has answered.
TEST_CASE("a replica starts again under its id without its log, and the primary is out of reach") {
    failover_fixture test;
    list_replicas(test);
    const auto promoted = [&] { return !test.promoted.empty(); };

    SECTION("no replica is promoted that lacks what the two may have had alone") {
        test.service->start();
        run_for(test, std::chrono::milliseconds(100));
        restart_without_log(test, "r");
        run_for(test, attempt_time);
        REQUIRE_FALSE(promoted());
    }
    SECTION("a host that has started since knows of the earlier process from the store") {
        test.members = {true,
                        {0, 5},
                        {"p", {"p", "r", "s"}, {}, 0, {}, {{"p", 1000}, {"r", 1000}, {"s", 1000}}}};
        restart_without_log(test, "r");
        test.service->start();
        run_for(test, attempt_time);
        REQUIRE_FALSE(promoted());
    }
    SECTION("one is promoted if the instance had started before it was stored") {
        test.members = {true,
                        {0, 5},
                        {"p", {"p", "r", "s"}, {}, 0, {}, {{"p", 1000}, {"r", 9000}, {"s", 1000}}}};
        restart_without_log(test, "r");
        test.service->start();
        run_for(test, attempt_time);
        REQUIRE(promoted());
        REQUIRE(test.promoted.front() == "s");
    }
}

TEST_CASE("the primary starts again under its id without its log") {
    failover_fixture test;
    list_replicas(test);
    upstream_instance primary = listed_instance("p", true);
    primary.born_ms = 1000;
    test.host.directory.upsert_instance(primary);
    test.service->start();
    run_for(test, std::chrono::milliseconds(100));
    test.host.pools["p"].reachable = true;
    restart_without_log(test, "p");
    const auto promoted = [&] { return !test.promoted.empty(); };

    SECTION("the replica with all that it had acknowledged is promoted") {
        run_for(test, attempt_time);
        REQUIRE(promoted());
        REQUIRE(test.promoted.front() == "r");
    }
    SECTION("nobody is promoted while a replica is out of reach") {
        test.host.pools["r"].reachable = false;
        test.host.reports.erase("r");
        run_for(test, attempt_time);
        REQUIRE_FALSE(promoted());
    }
}
