#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::listed_instance;
using model::make_status;

namespace {

bool promotes(failover_fixture& test) {
    const auto promoted = [&] { return !test.promoted.empty(); };
    return test.host.run_until(promoted) || test.host.run_until(promoted);
}

/// What an earlier host has stored of the group.
stored_members stored(const group_members& members) {
    return {true, {0, 5}, members};
}

} // namespace

// A restored store made new hosts forget the members that it still had.
TEST_CASE("a host that starts after the store was restored from an older copy") {
    failover_fixture test;
    test.host.reports["r"].received = {1, 26};
    test.era.number = 1;
    test.stored.position.era = 1;
    SECTION("promotes no replica that lacks what a member of the earlier era may have") {
        test.members = {true, {1, 5}, {"p", {"p", "r", "s"}, {}, 0}};
        test.service->start();
        REQUIRE_FALSE(promotes(test));
    }
}

// A primary that had started again with an empty log counted as demoted with all that it had.
TEST_CASE("a host that starts after the primary has started again without its log") {
    failover_fixture test;
    test.members = stored({"p", {"p", "r", "s"}, {}, 0});
    test.stored = {true, {0, 5}, {2, "other", "", true, 1}};
    test.host.directory.primary_tracker_for("g").record_replica("p", 1);
    test.host.directory.upsert_instance(listed_instance("p", false));
    test.host.pools["p"].reachable = true;
    test.host.reports["r"].received = {1, 26};
    SECTION("promotes no replica that lacks what a member out of reach may have") {
        test.host.reports["p"] = {replication_role::replica, 0, {0, 0}, 0};
        test.service->start();
        REQUIRE_FALSE(promotes(test));
    }
    SECTION("but promotes one if the primary has kept its log") {
        test.host.reports["p"] = make_status(replication_role::replica, 1);
        test.service->start();
        REQUIRE(promotes(test));
        REQUIRE(test.promoted.front() == "p");
    }
}

// A host that believed in an earlier primary than the claim left that one out of account.
TEST_CASE("a host that knows only the primary before the one that the claim names") {
    failover_fixture test;
    test.host.reports["r"] = {replication_role::replica, 2, {2, 26}, 0};
    test.stored = {true, {0, 5}, {2, "other", "q", true, 2}};
    SECTION("promotes no replica that lacks what the earlier one may have received") {
        test.service->start();
        REQUIRE_FALSE(promotes(test));
    }
    SECTION("nor if the newer one's promotion is not known to have taken effect") {
        test.stored.claim.finished = false;
        test.service->start();
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
        REQUIRE_FALSE(promotes(test));
    }
}

// A gateway relied on its list after the primary's entry had been missing for a moment.
TEST_CASE("the gateway of a primary, cut off from the store") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    const leadership_sources sources = test.service->make_leadership_sources();
    test.service->start();
    REQUIRE(test.host.run_until([&] { return sources.stored_members("g") != nullptr; }));
    test.members.succeeded = false;
    test.host.directory.upsert_instance(listed_instance("n", false));
    run_for(test, std::chrono::milliseconds(200));
    const auto counts_as_stored = [&] {
        const auto* members = sources.stored_members("g");
        return members == nullptr || members->contains("n");
    };
    SECTION("takes no instance for stored that has registered since") {
        REQUIRE_FALSE(counts_as_stored());
        SECTION("nor once the primary's entry, gone for a moment, is back") {
            test.host.directory.remove_instance("p", event_loop::now());
            run_for(test, std::chrono::milliseconds(200));
            test.host.directory.upsert_instance(listed_instance("p", true));
            run_for(test, std::chrono::milliseconds(200));
            REQUIRE_FALSE(counts_as_stored());
        }
    }
}

// Every start of a host prolonged the time for which an instance that had crashed was waited for.
TEST_CASE("a host that starts while a member has been unlisted for long") {
    failover_fixture test;
    test.members = stored({"p", {"p", "r", "s"}, {}, 0, {}, {}, {{"s", 10}}});
    SECTION("waits for it no longer than the earlier hosts") {
        test.service->start();
        REQUIRE(promotes(test));
    }
    SECTION("waits for it if that was in an earlier era: it may have been back since") {
        test.era.number = 1;
        test.stored.position.era = 1;
        test.members.position.era = 1;
        test.service->start();
        run_for(test, std::chrono::milliseconds(5500));
        REQUIRE(test.promoted.empty());
    }
}

// An instance that was back counted as stored while a new host would not have waited for it.
TEST_CASE("the gateway of a primary, while a member that was unlisted for long is back") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.members = stored({"p", {"p", "r", "s"}, {}, 0, {}, {}, {{"s", 9}}});
    const leadership_sources sources = test.service->make_leadership_sources();
    test.service->start();
    REQUIRE(test.host.run_until([&] { return sources.stored_members("g") != nullptr; }));
    SECTION("doesn't take it for stored until it is stored as listed") {
        test.members.succeeded = false;
        list_replica(test, "s");
        run_for(test, std::chrono::milliseconds(200));
        REQUIRE_FALSE(sources.stored_members("g")->contains("s"));
        test.members.succeeded = true;
        REQUIRE(test.host.run_until([&] { return sources.stored_members("g")->contains("s"); }));
        REQUIRE(test.members.members.unlisted_minutes.empty());
    }
}

// An instance that had started again counted as stored while a host would not have waited for it.
TEST_CASE("the gateway of a primary, while a member has started again under its id") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    upstream_instance replica = listed_instance("s", false);
    replica.born_ms = 1000;
    test.host.directory.upsert_instance(replica);
    const leadership_sources sources = test.service->make_leadership_sources();
    test.service->start();
    const auto counts_as_stored = [&] {
        const auto* members = sources.stored_members("g");
        return members != nullptr && members->contains("s");
    };
    REQUIRE(test.host.run_until(counts_as_stored));
    SECTION("doesn't take it for stored until the start is stored") {
        test.members.succeeded = false;
        replica.born_ms = 9000;
        test.host.directory.upsert_instance(replica);
        run_for(test, std::chrono::milliseconds(200));
        REQUIRE_FALSE(counts_as_stored());
        test.members.succeeded = true;
        REQUIRE(test.host.run_until(counts_as_stored));
        REQUIRE(test.members.members.born_ms.at("s") == 9000);
    }
}

// A new host counted an instance as gone that had lost the platform while it was leaving.
TEST_CASE("a leaver that hosts could not reach when its entry expired") {
    group_roster before;
    const time_point start{std::chrono::seconds(100)};
    const auto list = [](bool leaving, bool reachable) {
        std::map<std::string, group_roster::listed_member> listed{{"p", {}}, {"r", {}}};
        listed["s"] = {leaving, reachable};
        return listed;
    };
    before.update(list(false, true), start);
    before.update(list(true, true), start + std::chrono::milliseconds(50));
    before.update(list(true, false), start + std::chrono::milliseconds(100));
    const time_point expired =
        start + std::chrono::milliseconds(100) + 2 * group_roster::detection_time;
    before.update(list(true, false), expired);
    before.update({{"p", {}}, {"r", {}}}, expired + std::chrono::milliseconds(50));
    const group_members members{"p", before.members(), before.leaving(), 0};
    REQUIRE(members.members.contains("s"));

    SECTION("is a member for a host that starts later, whatever the others have received") {
        group_roster roster;
        time_point now = expired + std::chrono::seconds(1);
        roster.update({{"p", {}}, {"r", {}}}, now);
        roster.merge(members, now);
        now += group_roster::detection_time;
        roster.update({{"p", {}}, {"r", {}}}, now);
        roster.record_answer("p", make_status(replication_role::primary, 1), true, now);
        roster.record_answer("r", make_status(replication_role::replica, 1), true, now);
        roster.update({{"p", {}}, {"r", {}}}, now + std::chrono::milliseconds(50));
        REQUIRE(roster.members().contains("s"));
    }
}

// A host that had not heard of the others yet took itself for the gateway of every group.
TEST_CASE("a host that has just started and hears none of many hosts") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    std::map<std::string, registered_host> hosts;
    for (const char* name : {"host", "other", "third", "fourth"}) {
        hosts[name] = {name, "a", {}};
    }
    test.host.directory.set_registered_hosts(std::move(hosts));
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    REQUIRE(test.members.position.revision == 0);
}
