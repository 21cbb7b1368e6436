#include "platform/documents.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "platform/front_settings.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using namespace bronzeplank::platform;

namespace {

std::optional<upstream_instance> instance_from(const std::string& text) {
    const auto document = internal::parse_json(text);
    return read_instance("i-1", document, nullptr);
}

std::string valid_instance() {
    return R"({"Service":"g","Address":"10.0.0.9:80","Zone":"a","Version":"v1","Slots":2,
               "State":"ready","ColdLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000000})";
}

std::string without(std::string text, const std::string& part) {
    const auto at = text.find(part);
    REQUIRE(at != std::string::npos);
    return text.erase(at, part.size());
}

const std::string valid_settings = R"({
  "host": "h1", "failure_domain": "a", "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2",
  "peer_port": 7560, "metrics_port": 7561, "address": "10.0.0.1",
  "known_peers": ["10.0.0.2:99"], "store": "10.9.0.1:5", "orders": "10.9.0.2:5",
  "memory_mb": 260, "descriptors": 4200, "stop_grace_ms": 6000,
  "leaving_instance_ms": 7000, "withdrawn_domain_ms": 5000 })";

} // namespace

TEST_CASE("instance entries are decoded") {
    SECTION("a complete entry gives an instance") {
        const auto instance = instance_from(valid_instance());
        REQUIRE(instance);
        REQUIRE(instance->group == "g");
        REQUIRE(instance->address == endpoint{"10.0.0.9", 80});
        REQUIRE(instance->slots == 2);
        REQUIRE(instance->born_ms == 1700000000000);
        REQUIRE_FALSE(instance->says_primary);
    }
    SECTION("an entry with a missing or invalid field gives no instance") {
        for (const char* part : {"\"Service\":\"g\",", "\"Address\":\"10.0.0.9:80\",",
                                 "\"Slots\":2,", "\"DbRole\":\"replica\",", "\"Zone\":\"a\","}) {
            INFO("without " << part);
            REQUIRE_FALSE(instance_from(without(valid_instance(), part)));
        }
        REQUIRE_FALSE(instance_from(without(valid_instance(), "10.0.0.9:")));
        REQUIRE_FALSE(instance_from("{}"));
    }
}

TEST_CASE("a configuration is decoded, and a route without a service is skipped") {
    const auto document = internal::parse_json(
        R"({"Version":7,"Routes":[
            {"Name":"r1","Host":"d1","Type":"bounded_staleness","TimeoutMs":1500,
             "TargetLatencyMs":400,"Priority":2,"Service":"g","MaxStalenessMs":1500,"Public":false},
            {"Name":"r2","Host":"d2","Type":"primary","TimeoutMs":800,"TargetLatencyMs":120,
             "Priority":1,"Service":"g","Public":true}, {"Host":"broken"}],
            "Services":[{"Name":"g","MaxConns":16,"SyncReplicas":1}],
            "Limits":{"TxIdleMs":3000},
            "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"RatePerS":121,"Burst":100}]})");
    const auto read = read_configuration(document);
    REQUIRE(read);
    REQUIRE(read->version == 7);
    REQUIRE(read->routes.size() == 2);
    REQUIRE(read->routes.at("d1").consistency == read_consistency::bounded_staleness);
    REQUIRE(read->routes.at("d1").max_staleness == std::chrono::milliseconds(1500));
    REQUIRE(read->routes.at("d2").allows_anonymous);
    REQUIRE(read->groups.at("g").max_connections == 16);
    REQUIRE(read->workspace_by_key.at("k2") == "t");
    REQUIRE(read->workspaces.at("t").burst == 100);

    SECTION("a configuration without a version is refused") {
        const auto invalid = internal::parse_json("{}");
        REQUIRE_FALSE(read_configuration(invalid));
    }
}

TEST_CASE("an encoded claim decodes to the same claim") {
    const failover_claim claim{
        5, "host-\"1\"", "i-7", false, 4, 3, false, {{"i-\"2\"", 9}, {"i-3", 7}}};
    REQUIRE(read_claim(write_claim(claim)) == claim);
    const failover_claim chosen{5, "h", "i-7", false, 5, 3, true, {}, {4, 27}, "i-7 at \"4.27\""};
    REQUIRE(read_claim(write_claim(chosen)) == chosen);
    failover_claim abandoned{5, "h", "", true, 4};
    abandoned.promoted_instance = "i-\"7\"";
    REQUIRE(read_claim(write_claim(abandoned)) == abandoned);
    const auto earlier = read_claim(R"({"term":5,"holder":"h","successor":"","finished":true})");
    REQUIRE(earlier.promoted_term == 5);
    REQUIRE(earlier.first_position == log_position{});
    REQUIRE(earlier.choice.empty());
    REQUIRE(earlier.newest_promoted().empty());
    REQUIRE(read_claim(R"({"term":5,"holder":"h","successor":"i-7","finished":true})")
                .newest_promoted() == "i-7");
    failover_claim extreme = chosen;
    extreme.first_position = {any_term, any_term};
    REQUIRE(read_claim(write_claim(extreme)).successor == "i-7");
    REQUIRE_THROWS_AS(read_claim(R"({"term":"five"})"), input_error);
}

TEST_CASE("encoded members of a group decode to the same members") {
    const group_members members{
        "i-1",       {"i-1", "i-\"2\"", "i-3"},   {"i-3"},
        4,           {{"i-1", {"10.0.0.1", 80}}}, {{"i-1", 1'700'000'000'000}, {"i-3", 1}},
        {{"i-3", 7}}};
    REQUIRE(read_members(write_members(members)) == members);
    REQUIRE(read_members(write_members({})) == group_members{});
    const auto earlier =
        read_members(R"({"primary":"i-1","members":[{"id":"i-1"}],"leaving":[],"era":0})");
    REQUIRE(earlier == group_members{"i-1", {"i-1"}, {}, 0});
    REQUIRE_THROWS_AS(read_members(R"({"primary":"i-1","members":"i-1"})"), input_error);
    REQUIRE_THROWS_AS(read_members(R"({"primary":"i-1","members":[1],"leaving":[],"era":0})"),
                      input_error);
}

TEST_CASE("the settings of a front host are validated") {
    SECTION("valid settings are read") {
        const auto read = read_front_settings(valid_settings);
        REQUIRE(read.peers == endpoint{"10.0.0.1", 7560});
        REQUIRE(read.known_peers == std::vector{endpoint{"10.0.0.2", 7560}});
        REQUIRE(read.stop_grace == std::chrono::seconds(6));
    }
    SECTION("invalid settings are refused with an error that names the path") {
        const auto settings_with = [](const std::string& from, const std::string& to) {
            std::string text = valid_settings;
            return text.replace(text.find(from), from.size(), to);
        };
        REQUIRE_THROWS_WITH(read_front_settings(settings_with("10.0.0.1:1", "nowhere")),
                            Catch::Matchers::Contains("/callers"));
        REQUIRE_THROWS_WITH(read_front_settings(settings_with("7560", "-1")),
                            Catch::Matchers::Contains("/peer_port"));
        REQUIRE_THROWS_WITH(read_front_settings(settings_with("\"host\"", "\"hots\"")),
                            Catch::Matchers::Contains("host"));
    }
}
