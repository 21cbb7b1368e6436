#include "session/upstream_router.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace bronzeplank;

namespace {

upstream_instance listed(const char* id, bool says_primary) {
    upstream_instance instance;
    instance.id = id;
    instance.group = "g";
    instance.failure_domain = "a";
    instance.says_primary = says_primary;
    return instance;
}

replication_status report(replication_role role, std::uint64_t term, std::uint64_t paused_by = 0) {
    return {role, term, {term, 27}, paused_by};
}

/// One host without peers, whose instances report what a test says.
struct lone_host {
    event_loop loop;
    fleet_directory directory;
    upstream_router router{loop, "host", "a", directory};
    fleet peers{loop, {"host", "a", {"127.0.0.1", 7590}, {}}, directory, {}};
    std::map<std::string, replication_status> reports;
    std::vector<std::string> asked;

    lone_host() {
        local_gateway gateway;
        gateway.order = [this](const std::string& id, replication_order, std::uint64_t,
                               const status_handler& reported) {
            asked.push_back(id);
            const auto found = reports.find(id);
            reported(found == reports.end() ? std::nullopt : std::optional(found->second));
        };
        gateway.state = [](const std::string&) { return std::optional(lane_state{}); };
        router.connect(peers, gateway);
        directory.list_instances({{"p", listed("p", true)}, {"r", listed("r", false)}},
                                 event_loop::now());
    }

    bool proved() {
        std::optional<bool> result;
        router.prove("g", "p", [&](bool value) { result = value; });
        REQUIRE(result);
        return *result;
    }
};

} // namespace

TEST_CASE("a primary is proved by a replica") {
    lone_host host;
    host.reports["p"] = report(replication_role::primary, 1);

    SECTION("that follows its term") {
        host.reports["r"] = report(replication_role::replica, 1);
        REQUIRE(host.proved());
    }
    SECTION("that a claim of its own term had paused") {
        host.reports["r"] = report(replication_role::replica, 0, 1);
        REQUIRE(host.proved());
    }
    SECTION("but not by one that follows a newer term, also when only the list names the primary") {
        host.reports["r"] = report(replication_role::replica, 2);
        REQUIRE_FALSE(host.proved());
    }
    SECTION("nor by one that a newer claim has paused") {
        host.reports["r"] = report(replication_role::replica, 1, 2);
        REQUIRE_FALSE(host.proved());
    }
    SECTION("nor by one that leads itself") {
        host.reports["r"] = report(replication_role::primary, 1);
        REQUIRE_FALSE(host.proved());
    }
    SECTION("nor without any") {
        REQUIRE_FALSE(host.proved());
    }
    SECTION("nor while its own term can't be learned") {
        host.reports.erase("p");
        host.reports["r"] = report(replication_role::replica, 1);
        REQUIRE_FALSE(host.proved());
    }
    SECTION("and a sample is a position with that proof") {
        host.reports["r"] = report(replication_role::replica, 1);
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
        host.reports["r"] = report(replication_role::replica, 1, 2);
        std::optional<log_position> sampled = log_position{9, 9};
        host.router.sample("g", [&](const auto& position) { sampled = position; });
        REQUIRE_FALSE(sampled);
    }
}

TEST_CASE("a group of one instance needs no witness") {
    lone_host host;
    host.directory.list_instances({{"p", listed("p", true)}}, event_loop::now());
    host.reports["p"] = report(replication_role::primary, 1);
    REQUIRE(host.proved());
}
