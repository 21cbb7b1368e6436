#include "session/upstream_router.hpp"

#include "model/lone_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

using model::listed_instance;
using model::report_of;

bool proved(model::lone_host& host) {
    std::optional<bool> result;
    host.router.prove("g", "p", [&](bool value) { result = value; });
    REQUIRE(result);
    return *result;
}

} // namespace

TEST_CASE("a primary is proved by a replica") {
    model::lone_host host;
    host.reports["p"] = report_of(replication_role::primary, 1);

    SECTION("that follows its term") {
        host.reports["r"] = report_of(replication_role::replica, 1);
        REQUIRE(proved(host));
    }
    SECTION("that a claim of its own term had paused") {
        host.reports["r"] = report_of(replication_role::replica, 0, 1);
        REQUIRE(proved(host));
    }
    SECTION("but not by one that follows a newer term, also when only the list names the primary") {
        host.reports["r"] = report_of(replication_role::replica, 2);
        REQUIRE_FALSE(proved(host));
    }
    SECTION("nor by one that a newer claim has paused") {
        host.reports["r"] = report_of(replication_role::replica, 1, 2);
        REQUIRE_FALSE(proved(host));
    }
    SECTION("nor by one that leads itself") {
        host.reports["r"] = report_of(replication_role::primary, 1);
        REQUIRE_FALSE(proved(host));
    }
    SECTION("nor without any") {
        host.reports.erase("r");
        REQUIRE_FALSE(proved(host));
    }
    SECTION("nor while its own term can't be learned") {
        host.reports.erase("p");
        host.reports["r"] = report_of(replication_role::replica, 1);
        REQUIRE_FALSE(proved(host));
    }
    SECTION("and a sample is a position with that proof") {
        host.reports["r"] = report_of(replication_role::replica, 1);
        std::optional<log_position> sampled;
        host.router.sample("g", [&](const auto& position) { sampled = position; });
        REQUIRE(sampled == log_position{1, 27});
        SECTION("that hosts which ask soon afterwards wait for together") {
            int answers = 0;
            host.asked.clear();
            for (int i = 0; i < 5; ++i) {
                host.router.sample("g", [&](const auto& position) {
                    REQUIRE(position == log_position{1, 28});
                    if (++answers == 5) {
                        host.loop.stop();
                    }
                });
            }
            REQUIRE(answers == 0);
            host.reports["p"].received.offset = 28;
            host.loop.run();
            REQUIRE(answers == 5);
            REQUIRE(host.asked.size() == 2);
        }
    }
    SECTION("and there is no sample without it") {
        host.reports["r"] = report_of(replication_role::replica, 1, 2);
        std::optional<log_position> sampled = log_position{9, 9};
        host.router.sample("g", [&](const auto& position) { sampled = position; });
        REQUIRE_FALSE(sampled);
    }
}

TEST_CASE("a proof that waits for the next round is of the instance that it was asked for") {
    model::lone_host host;
    host.directory.primary_tracker_for("g").record_primary("p", 1);
    host.holds_reports = true;
    std::optional<bool> first;
    std::optional<bool> second;
    host.router.prove("g", "p", [&](bool value) { first = value; });
    host.router.prove("g", "p", [&](bool value) { second = value; });
    // Meanwhile "r" has become the primary, and "p" its replica.
    host.directory.primary_tracker_for("g").record_primary("r", 2);
    host.reports["p"] = report_of(replication_role::replica, 2);
    host.reports["r"] = report_of(replication_role::primary, 2);
    while (!host.held_reports.empty()) {
        const auto report = host.held_reports.front();
        host.held_reports.pop_front();
        report();
    }
    REQUIRE(first == false);
    REQUIRE(second == false);
}

TEST_CASE("hosts that are not heard have a vote on an instance") {
    model::lone_host host;
    host.lanes["p"].reachable = false;
    for (const char* name : {"host", "h2", "h3", "h4", "h5", "h6"}) {
        auto hosts = host.directory.hosts();
        hosts[name] = {name, "a", {"127.0.0.1", 7591}};
        host.directory.register_hosts(hosts);
    }
    const auto votes = host.router.votes_on("p");
    REQUIRE(votes.cut_off == 1);
    REQUIRE(votes.hosts == 6);
}

TEST_CASE("a primary without any listed replica") {
    model::lone_host host;
    host.directory.list_instances({{"p", listed_instance("p", true)}}, event_loop::now());

    SECTION("is not proved where commits need a replica: the others lapsed, or are out of sight") {
        REQUIRE_FALSE(proved(host));
    }
    SECTION("is proved where commits need none: the group has one instance") {
        auto configuration = std::make_shared<fleet_configuration>(*host.directory.configuration());
        configuration->version = 2;
        configuration->groups["g"].sync_replicas = 0;
        host.directory.accept(std::move(configuration));
        REQUIRE(proved(host));
    }
}
