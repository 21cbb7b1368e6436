#include "session/upstream_router.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

/// The primary's gateway, in contact with the replica "r", whose connections are opened anew.
struct reconnecting_host {
    model::single_host host;
    std::optional<failover_claim> claim{failover_claim{1, "other", "p", true, 1}};
    bool platform_reachable = true;
    int claim_reads = 0;

    reconnecting_host() {
        leadership_sources sources;
        sources.members = [](const std::string&) { return std::set<std::string>{"p", "r"}; };
        sources.platform_reachable = [this] { return platform_reachable; };
        sources.read_claim = [this](const std::string&, const auto& on_claim) {
            ++claim_reads;
            on_claim(claim);
        };
        host.router.set_leadership_sources(sources);
        REQUIRE(acknowledges());
    }

    /// Whether a commit is acknowledged that "r" has, and that took too long to go without a word.
    bool acknowledges() {
        std::optional<bool> acknowledged;
        host.reports["r"].received = {1, 30};
        host.router.confirm_commit("g", "p", {1, 30}, std::chrono::milliseconds(200),
                                   [&](bool value) { acknowledged = value; });
        REQUIRE(host.run_until([&] { return acknowledged.has_value(); }));
        return *acknowledged;
    }

    bool confirms_leadership() {
        std::optional<bool> confirmed;
        host.router.check_leadership("g", "p", [&](bool value) { confirmed = value; });
        REQUIRE(host.run_until([&] { return confirmed.has_value(); }));
        return *confirmed;
    }

    bool members_prove_leadership() {
        std::optional<bool> proved;
        host.router.prove_by_members("g", [&](bool value) { proved = value; });
        REQUIRE(host.run_until([&] { return proved.has_value(); }));
        return *proved;
    }

    void reconnect(duration ago = duration(0)) {
        host.connected_since["r"] = event_loop::now() - ago;
    }
};

} // namespace

// A paused replica started again under its id while another one was being promoted, and commits of
// the old primary were acknowledged on its word.
TEST_CASE("a replica answers on a new connection") {
    reconnecting_host test;

    SECTION(
        "while a claim is acted on: the replica may have started again and forgotten its pause") {
        test.claim = failover_claim{2, "other", "", false, 1};
        test.reconnect();

        SECTION("it suffices for no commit") {
            REQUIRE_FALSE(test.acknowledges());
        }
        SECTION("it doesn't keep contact with the group") {
            test.acknowledges();
            test.claim = failover_claim{2, "other", "s", false, 2};
            REQUIRE_FALSE(test.confirms_leadership());
        }
        SECTION("it doesn't vouch for a log that another instance had") {
            REQUIRE_FALSE(test.host.router.vouches("g", "r", test.host.report_of("r").value(),
                                                   event_loop::now()));
        }
        SECTION("reads at the primary rely on the claim, which names no successor yet") {
            REQUIRE(test.confirms_leadership());
        }
        SECTION("it counts again once the claim was released") {
            test.claim->finished = true;
            REQUIRE(test.acknowledges());
        }
        SECTION("it counts again once the claim must have ended") {
            test.reconnect(established_replicas::probation * 2);
            REQUIRE(test.acknowledges());
        }
    }
    SECTION("in calm, and the claim is read once: all statements are served") {
        test.claim_reads = 0;
        test.reconnect();
        REQUIRE(test.confirms_leadership());
        REQUIRE(test.acknowledges());
        REQUIRE(test.acknowledges());
        REQUIRE(test.claim_reads <= 2);
    }
    SECTION("while the platform is down") {
        test.platform_reachable = false;
        test.reconnect();
        SECTION("it is not among the members whose answers prove the primary's leadership") {
            REQUIRE_FALSE(test.members_prove_leadership());
            test.reconnect(established_replicas::probation * 2);
            REQUIRE(test.members_prove_leadership());
        }
        SECTION("it suffices for no commit") {
            REQUIRE_FALSE(test.acknowledges());
        }
    }
}
