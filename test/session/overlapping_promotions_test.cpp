#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

#include <utility>

using namespace bronzeplank;
using model::failover_fixture;

namespace {

/// Long enough for another host's claim to expire and for one attempt after it.
constexpr duration attempt_time = claim_timeout + std::chrono::milliseconds(2000);

} // namespace

TEST_CASE("another host has requested the promotion of \"s\" and has got no answer") {
    failover_fixture test;
    list_replica(test, "s");
    test.stored = {true, {0, 5}, {2, "other", "s", false, 2}};
    test.promotes_immediately = false;
    bool led = false;
    const auto take_effect = [&] {
        if (!std::exchange(led, true)) {
            test.host.reports["s"] = {replication_role::primary, 2, {2, 28}, 0};
            test.host.reports["r"] = {replication_role::replica, 2, {2, 28}, 0};
        }
    };
    const auto claimed = [&] { return !test.written.empty(); };

    SECTION("nobody else is promoted if it takes effect") {
        SECTION("while the other host's claim is held") {
            test.service->start();
            run_for(test, std::chrono::milliseconds(1000));
            take_effect();
        }
        SECTION("as the next claim is written") {
            test.on_written = take_effect;
            test.service->start();
        }
        SECTION("while the replicas are paused") {
            test.on_refresh = [&] {
                if (test.host.was_commanded("r", replication_command::pause)) {
                    take_effect();
                }
            };
            test.service->start();
        }
        SECTION("as the next successor is stored") {
            test.on_written = [&] {
                if (!test.written.back().successor.empty()) {
                    take_effect();
                }
            };
            test.service->start();
        }
        run_for(test, attempt_time);
        REQUIRE(led);
        REQUIRE(test.promoted.empty());
    }
    SECTION("the next attempt") {
        SECTION("promotes the same instance of equal ones") {
            test.service->start();
            run_for(test, attempt_time);
            REQUIRE(claimed());
            REQUIRE_FALSE(test.promoted.empty());
            REQUIRE(test.promoted.front() == "s");
        }
        SECTION("promotes another one that has received more") {
            test.host.reports["r"].received = {1, 28};
            test.service->start();
            run_for(test, attempt_time);
            REQUIRE_FALSE(test.promoted.empty());
            REQUIRE(test.promoted.front() == "r");
        }
    }
}

// A demoted primary could receive commits from an earlier successor that the next one lacked.
TEST_CASE("a leaving primary is demoted, while \"s\" may lead unseen after a lost answer") {
    failover_fixture test;
    model::list_leaving_primary(test);
    test.host.directory.upsert_instance(model::listed_instance("s", false));
    test.host.pools["s"].reachable = false;
    replication_status& old_primary = test.host.reports["p"];
    const auto promoted = [&] { return !test.promoted.empty(); };

    SECTION("it receives from nobody when its successor is promoted") {
        bool receives = true;
        test.on_promotion = [&](const std::string&) { receives = old_primary.paused_by == 0; };
        test.service->start();
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(old_primary.role == replication_role::replica);
        REQUIRE_FALSE(receives);
    }
    SECTION("nobody is promoted if") {
        SECTION("it can't be paused") {
            test.host.ignored_commands.insert({"p", replication_command::pause});
            test.service->start();
        }
        SECTION("it has received a commit before the promotion") {
            test.on_written = [&] {
                if (!test.written.back().successor.empty()) {
                    old_primary = {replication_role::replica, 2, {2, 28}, 0};
                }
            };
            test.service->start();
        }
        REQUIRE_FALSE(test.host.run_until(promoted));
        REQUIRE(old_primary.role == replication_role::replica);
        REQUIRE(test.host.was_commanded("p", replication_command::resume));
    }
}
