#include "session/fleet_directory.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point now{std::chrono::hours(1)};

upstream_instance listed(const char* id) {
    upstream_instance instance;
    instance.id = id;
    instance.group = "g";
    instance.failure_domain = "a";
    instance.born_ms = 1;
    return instance;
}

std::shared_ptr<const fleet_configuration> version(std::uint64_t number, const char* key) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = number;
    configuration->workspace_by_key[key] = "t";
    return configuration;
}

} // namespace

TEST_CASE("the configuration") {
    fleet_directory directory;
    directory.accept(version(5, "old"));
    SECTION("goes on to a newer version, with its keys") {
        directory.accept(version(9, "new"));
        REQUIRE(directory.owner_of("new") == "t");
        REQUIRE_FALSE(directory.owner_of("old"));
    }
    SECTION("never goes back") {
        directory.accept(version(4, "older"));
        REQUIRE(directory.configuration()->version == 5);
    }
}

TEST_CASE("an instance") {
    fleet_directory directory;
    directory.list_instances({{"i", listed("i")}, {"j", listed("j")}}, now);

    SECTION("is a member of its group, and of no other once it says so") {
        REQUIRE(directory.members("g").size() == 2);
        upstream_instance moved = listed("i");
        moved.group = "h";
        directory.list_instance(moved);
        REQUIRE(directory.members("g").count("i") == 0);
        REQUIRE(directory.members("h").at("i") == moved);
        directory.remove_instance("i", now);
        REQUIRE(directory.members("h").empty());
        REQUIRE(directory.members("unheard of").empty());
    }
    SECTION("that is missing from the list is gone") {
        directory.list_instances({{"j", listed("j")}}, now);
        REQUIRE(directory.instance("i") == nullptr);
        REQUIRE(directory.instance("j") != nullptr);
    }
    SECTION("that lapsed during an outage is kept for two seconds") {
        directory.platform_returned(now);
        directory.list_instances({{"j", listed("j")}}, now);
        directory.drop_lapsed(now + milliseconds(1999));
        REQUIRE(directory.instance("i") != nullptr);
        SECTION("and stays when it comes back in time") {
            directory.list_instance(listed("i"));
            directory.drop_lapsed(now + milliseconds(2000));
            REQUIRE(directory.instance("i") != nullptr);
        }
        SECTION("and is gone when it does not") {
            directory.drop_lapsed(now + milliseconds(2000));
            REQUIRE(directory.instance("i") == nullptr);
        }
    }
    SECTION("counts in its group for a while after it went out of sight") {
        directory.drop_lapsed(now);
        REQUIRE(directory.group_size("g") == 2);
        directory.remove_instance("i", now);
        directory.drop_lapsed(now + std::chrono::seconds(19));
        REQUIRE(directory.group_size("g") == 2);
        directory.drop_lapsed(now + std::chrono::seconds(21));
        REQUIRE(directory.group_size("g") == 1);
    }
    SECTION("does not count while it leaves, as another one has taken its place") {
        upstream_instance leaving = listed("i");
        leaving.leaving = true;
        directory.list_instances({{"i", leaving}, {"j", listed("j")}, {"k", listed("k")}}, now);
        directory.drop_lapsed(now);
        REQUIRE(directory.group_size("g") == 2);
    }
    SECTION("takes no new work while it leaves or its domain is withdrawn") {
        REQUIRE(directory.takes_work(listed("i")));
        upstream_instance leaving = listed("i");
        leaving.leaving = true;
        REQUIRE_FALSE(directory.takes_work(leaving));
        directory.withdraw_domains({"a"});
        REQUIRE_FALSE(directory.takes_work(listed("i")));
    }
    SECTION("that was born again leads no term that it led before") {
        directory.belief("g").learn("i", 7);
        REQUIRE(directory.primary("g") == known_primary{"i", 7});
        upstream_instance reborn = listed("i");
        reborn.born_ms = 2;
        directory.list_instance(reborn);
        REQUIRE_FALSE(directory.primary("g"));
    }
}
