#include "session/upstream_router.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>
#include <thread>

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
    host.directory.primary_tracker_for("g").record_primary("p", 1, primary_evidence::status);
    host.defer_reports = true;
    std::optional<bool> first;
    std::optional<bool> second;
    host.router.check_leadership("g", "p", [&](bool value) { first = value; });
    host.router.check_leadership("g", "p", [&](bool value) { second = value; });
    // "r" becomes the primary while the first check is pending, and "p" its replica.
    host.directory.primary_tracker_for("g").record_primary("r", 2, primary_evidence::status);
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

TEST_CASE("a replica that joined lately") {
    model::single_host host;
    host.router.observe_instances(event_loop::now());
    host.directory.upsert_instance(listed_instance("n", false));
    host.reports["n"] = make_status(replication_role::replica, 1);
    host.router.observe_instances(event_loop::now());

    SECTION("does not confirm the primary, since the next primary may not know it") {
        host.reports.erase("r");
        REQUIRE_FALSE(leadership_confirmed(host));
        REQUIRE_FALSE(host.was_commanded("n", replication_command::report));
    }
    SECTION("does not suffice for a commit") {
        std::optional<bool> confirmed;
        const auto confirm = [&] {
            host.router.confirm_commit("g", "p", {1, 30}, duration(0),
                                       [&](bool value) { confirmed = value; });
        };
        REQUIRE(leadership_confirmed(host));
        host.reports["n"].received = {1, 30};
        SECTION("which is acknowledged once an established replica has it") {
            confirm();
            REQUIRE_FALSE(confirmed);
            host.reports["r"].received = {1, 30};
            REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
            REQUIRE(confirmed == true);
        }
        SECTION("and whose outcome is unknown otherwise") {
            confirm();
            REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
            REQUIRE(confirmed == false);
        }
        SECTION("if the established replica is paused by a newer claim") {
            host.reports["r"] = {replication_role::replica, 1, {1, 30}, 2};
            confirm();
            REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
            REQUIRE(confirmed == false);
        }
    }
}

TEST_CASE("a commit of a group whose replicas are all established") {
    model::single_host host;
    std::optional<bool> confirmed;
    const auto confirm = [&] {
        host.router.confirm_commit("g", "p", {1, 30}, duration(0),
                                   [&](bool value) { confirmed = value; });
    };
    SECTION("is acknowledged without another question while one of them answers") {
        REQUIRE(leadership_confirmed(host));
        host.commands.clear();
        confirm();
        REQUIRE(confirmed == true);
        REQUIRE(host.commands.empty());
    }
    SECTION("waits for one that is stored as a member: a host that starts later knows no other") {
        REQUIRE(leadership_confirmed(host));
        std::set<std::string> stored{"p"};
        leadership_sources sources;
        sources.stored_members = [&](const std::string&) { return &stored; };
        host.router.set_leadership_sources(sources);
        host.reports["r"].received = {1, 30};
        confirm();
        REQUIRE_FALSE(confirmed);
        SECTION("which it may become meanwhile") {
            stored.insert("r");
            REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
            REQUIRE(confirmed == true);
        }
        SECTION("and whose outcome is unknown otherwise") {
            REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
            REQUIRE(confirmed == false);
        }
    }
    SECTION("which hung waits for one that has it: an unknown instance may have acknowledged it") {
        REQUIRE(leadership_confirmed(host));
        host.router.confirm_commit("g", "p", {1, 30}, std::chrono::milliseconds(200),
                                   [&](bool value) { confirmed = value; });
        REQUIRE_FALSE(confirmed);
        host.reports["r"].received = {1, 30};
        REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
        REQUIRE(confirmed == true);
    }
    SECTION("waits for one of them if none has answered lately") {
        host.reports["r"].received = {1, 30};
        confirm();
        REQUIRE(confirmed == true);
        REQUIRE(host.was_commanded("r", replication_command::report));
    }
    SECTION("needs none if the group has a single instance") {
        host.directory.apply_instance_list({{"p", listed_instance("p", true)}}, event_loop::now());
        confirm();
        REQUIRE(confirmed == true);
    }
}

TEST_CASE("a primary whose group may have another one since contact broke") {
    model::single_host host;
    std::optional<failover_claim> claim;
    std::set<std::string> members{"p", "r", "unlisted"};
    bool platform_reachable = true;
    leadership_sources sources;
    sources.members = [&](const std::string&) { return members; };
    sources.platform_reachable = [&] { return platform_reachable; };
    sources.read_claim = [&](const std::string&, const auto& on_claim) { on_claim(claim); };
    host.router.set_leadership_sources(sources);
    host.directory.primary_tracker_for("g").record_primary("p", 2, primary_evidence::status);
    host.reports["p"] = make_status(replication_role::primary, 2);
    host.reports["r"] = {replication_role::replica, 2, {2, 30}, 0};
    std::optional<bool> acknowledged;
    const auto confirmed = [&] {
        acknowledged.reset();
        host.router.confirm_commit("g", "p", {2, 30}, duration(0),
                                   [&](bool value) { acknowledged = value; });
        host.run_until([&] { return acknowledged.has_value(); });
        REQUIRE(leadership_confirmed(host) == acknowledged.value());
        return *acknowledged;
    };

    SECTION("is confirmed by no replica alone: the promotion may have ended its pause") {
        REQUIRE_FALSE(confirmed());
    }
    SECTION(
        "is to be replaced if a claim's time doesn't end that: its callers would wait for ever") {
        claim = failover_claim{3, "other", "", true, 3};
        claim->complete = true;
        const time_point end = event_loop::now() + claim_timeout;
        REQUIRE_FALSE(confirmed());
        REQUIRE_FALSE(host.router.is_superseded("g", "p"));
        while (event_loop::now() < end + std::chrono::milliseconds(200)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            REQUIRE_FALSE(confirmed());
        }
        REQUIRE(host.router.is_superseded("g", "p"));
        SECTION("but not once the claim names no newer term") {
            claim->promoted_term = 2;
            host.run_until([&] { return confirmed(); });
            REQUIRE_FALSE(host.router.is_superseded("g", "p"));
        }
    }
    SECTION("is not confirmed if a newer term may have been promoted") {
        claim = failover_claim{3, "other", "unlisted", false, 3};
        REQUIRE_FALSE(confirmed());
        SECTION("although its claim was superseded by one that was abandoned") {
            claim = failover_claim{4, "other", "", true, 3};
            REQUIRE_FALSE(confirmed());
        }
    }
    SECTION("and a claim that names another instance for its term") {
        claim = failover_claim{2, "other", "r", true, 2};
        SECTION("is not confirmed by the claim") {
            REQUIRE_FALSE(confirmed());
        }
        SECTION("is confirmed if all members say that they follow it") {
            members = {"p", "r"};
            REQUIRE(confirmed());
        }
    }
    SECTION("is not confirmed while all its replicas are unlisted, which may run") {
        claim = failover_claim{2, "other", "p", true, 2};
        host.directory.remove_instance("r", event_loop::now());
        REQUIRE_FALSE(confirmed());
    }
    SECTION("and whose claims before the platform's last restoration may be lost") {
        members = {"p", "r"};
        SECTION("is confirmed by all members") {
            claim = failover_claim{2, "other", "p", true, 2, 1, false};
            REQUIRE(confirmed());
        }
        SECTION(
            "is not confirmed by them if a claim shows that a newer term may have been promoted") {
            claim = failover_claim{3, "other", "gone", false, 3, 1, false};
            REQUIRE_FALSE(confirmed());
        }
    }
    SECTION("is confirmed if no newer term was promoted, whatever was claimed") {
        claim = failover_claim{5, "other", "", false, 2};
        REQUIRE(confirmed());
        SECTION("and as long as replicas go on confirming it") {
            claim.reset();
            REQUIRE(confirmed());
        }
        SECTION("but not for a commit of a term that it led before") {
            host.router.confirm_commit("g", "p", {1, 30}, duration(0),
                                       [&](bool value) { acknowledged = value; });
            REQUIRE(acknowledged == false);
        }
    }
    SECTION("is confirmed while the platform is down") {
        platform_reachable = false;
        members.erase("unlisted");
        SECTION("if all members say that they follow it") {
            REQUIRE(confirmed());
        }
        SECTION("but not if one can't be asked") {
            members.insert("unlisted");
            REQUIRE_FALSE(confirmed());
        }
        SECTION("but not if most hosts are out of reach, which may know other members") {
            for (const char* name : {"host", "h2", "h3"}) {
                auto hosts = host.directory.hosts();
                hosts[name] = {name, "a", {"127.0.0.1", 7591}};
                host.directory.set_registered_hosts(hosts);
            }
            REQUIRE_FALSE(confirmed());
        }
    }
}

TEST_CASE("replicas that are all past their probation") {
    model::single_host host;
    const time_point earlier = event_loop::now() - 2 * established_replicas::probation;
    host.router.observe_instances(earlier);
    for (const char* id : {"n", "m"}) {
        host.directory.upsert_instance(listed_instance(id, false));
        host.reports[id] = make_status(replication_role::replica, 1);
    }
    host.router.observe_instances(earlier);
    host.directory.remove_instance("r", event_loop::now());

    SECTION("establish each other by answering") {
        REQUIRE(leadership_confirmed(host));
    }
    SECTION("do not if fewer than half of them answer") {
        host.directory.upsert_instance(listed_instance("r", false));
        host.reports.erase("r");
        host.reports.erase("m");
        REQUIRE_FALSE(leadership_confirmed(host));
    }
}
