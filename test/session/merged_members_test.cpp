#include "bronzeplank/group_roster.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::make_status;

// Every start of a host prolonged the time for which an instance that had crashed was waited for.
TEST_CASE("a member that has not come back, while hosts start one after another") {
    const time_point start{std::chrono::seconds(100)};
    group_members members{"p", {"p", "r", "s"}, {}, 0};
    time_point now = start;
    while (now < start + 2 * group_roster::unlisted_retention) {
        group_roster roster;
        roster.update({{"p", {}}, {"r", {}}}, now);
        roster.merge(members, now);
        now += std::chrono::minutes(5);
        roster.update({{"p", {}}, {"r", {}}}, now);
        members.members = roster.members();
        members.unlisted_minutes = roster.unlisted_minutes();
    }
    REQUIRE(members.members == std::set<std::string>{"p", "r"});
}

// A host that left out an instance did not learn that it had started again and left again.
TEST_CASE("an instance that starts again under its id after a host has left it out") {
    const time_point start{std::chrono::seconds(100)};
    group_roster roster;
    time_point now = start;
    roster.update({{"p", {}}, {"r", {}}, {"s", {true}}}, now);
    roster.update({{"p", {}}, {"r", {}}}, now);
    now += group_roster::detection_time;
    roster.update({{"p", {}}, {"r", {}}}, now);
    roster.record_answer("p", make_status(replication_role::primary, 1), true, now);
    roster.record_answer("r", make_status(replication_role::replica, 1), true, now);
    roster.update({{"p", {}}, {"r", {}}}, now);
    REQUIRE_FALSE(roster.members().contains("s"));
    SECTION("is a member once the gateway, unlike this host, has seen and stored it") {
        now += std::chrono::minutes(1);
        roster.update({{"p", {}}, {"r", {}}}, now);
        roster.merge({"p", {"p", "r", "s"}, {}, 0}, now);
        REQUIRE(roster.members().contains("s"));
    }
}

// A host that missed the start took the instance for the one that had left, and left it out.
TEST_CASE(
    "an instance that starts again under its id while a host still knows its former process") {
    const time_point start{std::chrono::seconds(100)};
    group_roster roster;
    time_point now = start;
    roster.update({{"p", {}}, {"r", {}}, {"s", {true, true, {}, 1000}}}, now);
    roster.update({{"p", {}}, {"r", {}}}, now);
    const auto show_commits_elsewhere = [&] {
        now += group_roster::detection_time;
        roster.update({{"p", {}}, {"r", {}}}, now);
        roster.record_answer("p", make_status(replication_role::primary, 1), true, now);
        roster.record_answer("r", make_status(replication_role::replica, 1), true, now);
        roster.update({{"p", {}}, {"r", {}}}, now);
    };
    const std::string former = group_roster::former_process_id("s", 1000);
    const group_members stored{"p", {"p", "r", "s"}, {}, 0, {}, {{"s", 9000}}};

    SECTION("is a member of its own, unlike that one") {
        roster.merge(stored, now);
        REQUIRE(roster.members() == std::set<std::string>{"p", "r", "s", former});
        show_commits_elsewhere();
        REQUIRE(roster.members() == std::set<std::string>{"p", "r", "s"});
    }
    SECTION("is a member after that one was left out, which is not merged again") {
        show_commits_elsewhere();
        REQUIRE(roster.members() == std::set<std::string>{"p", "r"});
        roster.merge({"p", {"p", "r", "s"}, {}, 0, {}, {{"s", 1000}}}, now);
        REQUIRE(roster.members() == std::set<std::string>{"p", "r"});
        roster.merge(stored, now);
        REQUIRE(roster.members() == std::set<std::string>{"p", "r", "s"});
    }
}
