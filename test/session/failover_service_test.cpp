#include "session/failover_service.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::make_status;
using model::single_host;

namespace {

/// A host that can't reach the primary "p", with a fake platform.
struct failover_fixture {
    single_host host;
    stored_claim stored;
    std::vector<failover_claim> written;
    std::vector<std::string> promoted;
    bool promotes_immediately = true;
    std::unique_ptr<failover_service> service;

    failover_fixture() {
        stored.succeeded = true;
        host.directory.primary_tracker_for("g").record_primary("p", 1);
        host.directory.remove_expired(event_loop::now());
        host.pools["p"].reachable = false;
        host.reports.erase("p");
        failover_platform platform;
        platform.reachable = [] { return true; };
        platform.read = [this](std::string) -> task<stored_claim> { co_return stored; };
        platform.write = [this](std::string, std::uint64_t,
                                failover_claim claim) -> task<stored_claim> {
            written.push_back(claim);
            stored = {true, stored.revision + 1, claim};
            co_return stored;
        };
        platform.promote = [this](std::string, std::string instance,
                                  std::uint64_t) -> task<promotion_result> {
            promoted.push_back(instance);
            if (promotes_immediately) {
                host.reports[instance] = make_status(replication_role::primary, 2);
            }
            co_return promotion_result::done;
        };
        service = std::make_unique<failover_service>(host.loop, host.directory, host.router,
                                                     host.peers, std::move(platform));
    }
};

} // namespace

TEST_CASE("failover of a primary that most hosts can't reach") {
    failover_fixture test;

    SECTION("pauses and promotes a replica, and finishes the claim") {
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() == 2; }));
        REQUIRE(test.promoted == std::vector<std::string>{"r"});
        REQUIRE(test.host.commands.front() == replication_command::pause);
        REQUIRE(test.written[0] == failover_claim{2, "host", "", false});
        REQUIRE(test.written[1] == failover_claim{2, "host", "r", true});
        REQUIRE(test.host.directory.primary("g") == known_primary{"r", 2});
    }
    SECTION("pauses an unreachable replica that returns during the promotion") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        const std::size_t before = test.host.commands.size();
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        REQUIRE(test.host.run_until([&] {
            for (std::size_t i = before; i < test.host.commands.size(); ++i) {
                if (test.host.command_targets[i] == "s") {
                    return test.host.commands[i] == replication_command::pause;
                }
            }
            return false;
        }));
    }
    SECTION("resumes the other replicas although one does not respond") {
        for (const char* id : {"s", "t"}) {
            test.host.directory.upsert_instance(model::listed_instance(id, false));
        }
        test.host.pools["s"].reachable = false;
        test.host.reports["t"] = make_status(replication_role::replica, 1);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() == 2; }));
        REQUIRE(test.host.was_commanded("t", replication_command::resume));
    }
    SECTION("is retried without waiting for the lease when no replica could be promoted") {
        test.host.reports.erase("r");
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 2; }));
        REQUIRE(test.written[1] == failover_claim{2, "host", "", true});
        test.host.reports["r"] = make_status(replication_role::replica, 1);
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("adopts the successor of a finished claim that this host did not know") {
        test.stored = {true, 5, {2, "other", "r", true}};
        test.service->start();
        REQUIRE(test.host.run_until([&] {
            return test.host.directory.primary("g") == known_primary{"r", 2};
        }));
        REQUIRE(test.written.empty());
        REQUIRE(test.promoted.empty());
    }
    SECTION("does not promote a replica when one reports that it is the primary already") {
        test.host.reports["r"] = make_status(replication_role::primary, 2);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("does not start while another host's claim is fresh") {
        test.stored = {true, 5, {2, "other", "", false}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE(test.promoted.empty());
    }
}
