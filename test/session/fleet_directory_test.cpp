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
    SECTION("is replaced by a newer version, along with its keys") {
        directory.accept(version(9, "new"));
        REQUIRE(directory.workspace_for_key("new") == "t");
        REQUIRE_FALSE(directory.workspace_for_key("old"));
    }
    SECTION("is not replaced by an older version") {
        directory.accept(version(4, "older"));
        REQUIRE(directory.configuration()->version == 5);
    }
}

TEST_CASE("an instance") {
    fleet_directory directory;
    directory.apply_instance_list({{"i", listed("i")}, {"j", listed("j")}}, now);

    SECTION("is a member of its current group only") {
        REQUIRE(directory.members("g").size() == 2);
        upstream_instance moved = listed("i");
        moved.group = "h";
        directory.upsert_instance(moved);
        REQUIRE(directory.members("g").count("i") == 0);
        REQUIRE(directory.members("h").at("i") == moved);
        directory.remove_instance("i", now);
        REQUIRE(directory.members("h").empty());
        REQUIRE(directory.members("unknown").empty());
    }
    SECTION("that is missing from the list is removed") {
        directory.apply_instance_list({{"j", listed("j")}}, now);
        REQUIRE(directory.instance("i") == nullptr);
        REQUIRE(directory.instance("j") != nullptr);
    }
    SECTION("that expired during an outage is kept for two seconds") {
        directory.platform_reconnected(now);
        directory.apply_instance_list({{"j", listed("j")}}, now);
        directory.remove_expired(now + milliseconds(1999));
        REQUIRE(directory.instance("i") != nullptr);
        SECTION("and stays when it is listed again in time") {
            directory.upsert_instance(listed("i"));
            directory.remove_expired(now + milliseconds(2000));
            REQUIRE(directory.instance("i") != nullptr);
        }
        SECTION("and is removed when it is not") {
            directory.remove_expired(now + milliseconds(2000));
            REQUIRE(directory.instance("i") == nullptr);
        }
    }
    SECTION("accepts no new work while it is leaving or its domain is withdrawn") {
        REQUIRE(directory.accepts_work(listed("i")));
        upstream_instance leaving = listed("i");
        leaving.leaving = true;
        REQUIRE_FALSE(directory.accepts_work(leaving));
        directory.set_withdrawn_domains({"a"});
        REQUIRE_FALSE(directory.accepts_work(listed("i")));
    }
    SECTION("that has restarted is not the primary of its earlier terms") {
        directory.primary_tracker_for("g").record_primary("i", 7, primary_evidence::status);
        REQUIRE(directory.primary("g") == known_primary{"i", 7});
        upstream_instance restarted = listed("i");
        restarted.born_ms = 2;
        directory.upsert_instance(restarted);
        REQUIRE_FALSE(directory.primary("g"));
    }
}
