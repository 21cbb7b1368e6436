#include "session/upstream_router.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

using model::listed_instance;
using model::make_status;

bool leadership_confirmed(model::single_host& host) {
    std::optional<bool> result;
    host.router.check_leadership("g", "p", [&](bool value) { result = value; });
    REQUIRE(result);
    return *result;
}

} // namespace

TEST_CASE("a replica confirms the primary") {
    model::single_host host;
    host.reports["p"] = make_status(replication_role::primary, 1);

    SECTION("if it follows the primary's term") {
        host.reports["r"] = make_status(replication_role::replica, 1);
        REQUIRE(leadership_confirmed(host));
    }
    SECTION("if a claim of the primary's own term had paused it") {
        host.reports["r"] = make_status(replication_role::replica, 0, 1);
        REQUIRE(leadership_confirmed(host));
    }
    SECTION("but not if it follows a newer term, even if only the list names the primary") {
        host.reports["r"] = make_status(replication_role::replica, 2);
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("but not if a newer claim has paused it") {
        host.reports["r"] = make_status(replication_role::replica, 1, 2);
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("but not if it is a primary itself") {
        host.reports["r"] = make_status(replication_role::primary, 1);
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("but not if it does not answer") {
        host.reports.erase("r");
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("but not while the primary's term is unknown") {
        host.reports.erase("p");
        host.reports["r"] = make_status(replication_role::replica, 1);
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("and the position that the primary then reports is verified") {
        host.reports["r"] = make_status(replication_role::replica, 1);
        std::optional<log_position> verified;
        host.router.request_verified_position("g",
                                              [&](const auto& position) { verified = position; });
        REQUIRE(verified == log_position{1, 27});
        SECTION("and requests soon afterwards share one round") {
            int answers = 0;
            host.command_targets.clear();
            for (int i = 0; i < 5; ++i) {
                host.router.request_verified_position("g", [&](const auto& position) {
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
            REQUIRE(host.command_targets.size() == 2);
        }
    }
    SECTION("and without confirmation there is no verified position") {
        host.reports["r"] = make_status(replication_role::replica, 1, 2);
        std::optional<log_position> verified = log_position{9, 9};
        host.router.request_verified_position("g",
                                              [&](const auto& position) { verified = position; });
        REQUIRE_FALSE(verified);
    }
}

TEST_CASE("a leadership check keeps its instance while it waits for the next round") {
    model::single_host host;
    host.directory.primary_tracker_for("g").record_primary("p", 1);
    host.defer_reports = true;
    std::optional<bool> first;
    std::optional<bool> second;
    host.router.check_leadership("g", "p", [&](bool value) { first = value; });
    host.router.check_leadership("g", "p", [&](bool value) { second = value; });
    // "r" becomes the primary while the first check is pending, and "p" its replica.
    host.directory.primary_tracker_for("g").record_primary("r", 2);
    host.reports["p"] = make_status(replication_role::replica, 2);
    host.reports["r"] = make_status(replication_role::primary, 2);
    while (!host.deferred_reports.empty()) {
        const auto report = host.deferred_reports.front();
        host.deferred_reports.pop_front();
        report();
    }
    REQUIRE(first == false);
    REQUIRE(second == false);
}

TEST_CASE("hosts without a recent message count among the presumed hosts") {
    model::single_host host;
    host.pools["p"].reachable = false;
    for (const char* name : {"host", "h2", "h3", "h4", "h5", "h6"}) {
        auto hosts = host.directory.hosts();
        hosts[name] = {name, "a", {"127.0.0.1", 7591}};
        host.directory.set_registered_hosts(hosts);
    }
    const auto votes = host.router.reachability_of("p");
    REQUIRE(votes.unreachable_from == 1);
    REQUIRE(votes.presumed_hosts == 6);
}

TEST_CASE("a primary without any listed replica") {
    model::single_host host;
    host.directory.apply_instance_list({{"p", listed_instance("p", true)}}, event_loop::now());

    SECTION("is not confirmed if commits need a replica: replicas may be unlisted or unreachable") {
        REQUIRE_FALSE(leadership_confirmed(host));
    }
    SECTION("is confirmed if commits need no replica: the group has one instance") {
        auto configuration = std::make_shared<fleet_configuration>(*host.directory.configuration());
        configuration->version = 2;
        configuration->groups["g"].sync_replicas = 0;
        host.directory.accept(std::move(configuration));
        REQUIRE(leadership_confirmed(host));
    }
}
