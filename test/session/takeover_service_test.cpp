#include "session/takeover_service.hpp"

#include "model/lone_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::lone_host;
using model::report_of;

namespace {

/// A host that can't reach the primary "p", and a platform that a test plays.
struct takeover_in_test {
    lone_host host;
    stored_claim stored;
    std::vector<failover_claim> written;
    std::vector<std::string> promoted;
    bool promotes_at_once = true;
    std::unique_ptr<takeover_service> service;

    takeover_in_test() {
        stored.answered = true;
        host.directory.primary_tracker_for("g").record_primary("p", 1);
        host.directory.drop_lapsed(event_loop::now());
        host.lanes["p"].reachable = false;
        host.reports.erase("p");
        takeover_platform platform;
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
            if (promotes_at_once) {
                host.reports[instance] = report_of(replication_role::primary, 2);
            }
            co_return promotion_result::done;
        };
        service = std::make_unique<takeover_service>(host.loop, host.directory, host.router,
                                                     host.peers, std::move(platform));
    }
};

} // namespace

TEST_CASE("a primary that most hosts can't reach") {
    takeover_in_test test;

    SECTION("is replaced by a replica that was paused, and the claim is finished") {
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() == 2; }));
        REQUIRE(test.promoted == std::vector<std::string>{"r"});
        REQUIRE(test.host.orders.front() == replication_command::pause);
        REQUIRE(test.written[0] == failover_claim{2, "host", "", false});
        REQUIRE(test.written[1] == failover_claim{2, "host", "r", true});
        REQUIRE(test.host.directory.primary("g") == known_primary{"r", 2});
    }
    SECTION("is replaced while a replica is given up, which is paused when it comes back") {
        test.host.directory.list_instance(model::listed_instance("s", false));
        test.host.lanes["s"].reachable = false;
        test.promotes_at_once = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        const std::size_t before = test.host.orders.size();
        test.host.reports["s"] = report_of(replication_role::replica, 1);
        REQUIRE(test.host.run_until([&] {
            for (std::size_t i = before; i < test.host.orders.size(); ++i) {
                if (test.host.asked[i] == "s") {
                    return test.host.orders[i] == replication_command::pause;
                }
            }
            return false;
        }));
    }
    SECTION("is replaced, and every replica resumes although one stays silent") {
        for (const char* id : {"s", "t"}) {
            test.host.directory.list_instance(model::listed_instance(id, false));
        }
        test.host.lanes["s"].reachable = false;
        test.host.reports["t"] = report_of(replication_role::replica, 1);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() == 2; }));
        REQUIRE(test.host.was_ordered("t", replication_command::resume));
    }
    SECTION("is tried again at once by this host when nobody could be promoted") {
        test.host.reports.erase("r");
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 2; }));
        REQUIRE(test.written[1] == failover_claim{2, "host", "", true});
        test.host.reports["r"] = report_of(replication_role::replica, 1);
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("that has been replaced already, unknown to this host, is left alone") {
        test.stored = {true, 5, {2, "other", "r", true}};
        test.service->start();
        REQUIRE(test.host.run_until([&] {
            return test.host.directory.primary("g") == known_primary{"r", 2};
        }));
        REQUIRE(test.written.empty());
        REQUIRE(test.promoted.empty());
    }
    SECTION("is left alone when a replica turns out to lead already") {
        test.host.reports["r"] = report_of(replication_role::primary, 2);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("is not replaced under another host's fresh claim") {
        test.stored = {true, 5, {2, "other", "", false}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE(test.promoted.empty());
    }
}
