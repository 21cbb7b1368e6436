#include "session/upstream_router.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

/// The gateway of the primary of a group whose commits need no replica.
struct unreplicated_group {
    model::single_host host;
    std::set<std::string> members{"p", "r"};
    std::optional<failover_claim> claim{failover_claim{}};
    std::set<std::string> in_doubt;
    bool platform_reachable = true;
    int claim_reads = 0;

    unreplicated_group() {
        auto configuration = std::make_shared<fleet_configuration>(*host.directory.configuration());
        configuration->version = 2;
        configuration->groups["g"].sync_replicas = 0;
        host.directory.accept(std::move(configuration));
        leadership_sources sources;
        sources.members = [this](const std::string&) { return members; };
        sources.platform_reachable = [this] { return platform_reachable; };
        sources.read_claim = [this](const std::string&, const auto& on_claim) {
            ++claim_reads;
            on_claim(claim);
        };
        sources.in_doubt = [this](const std::string&) { return in_doubt; };
        host.router.set_leadership_sources(sources);
    }

    bool confirms_reads() {
        return settled([this](auto on_checked) {
            host.router.check_leadership("g", "p", std::move(on_checked));
        });
    }

    bool acknowledges(log_position position = {1, 30}) {
        return settled([&](auto on_checked) {
            host.router.confirm_commit("g", "p", position, std::chrono::milliseconds(200),
                                       std::move(on_checked));
        });
    }

    bool serves() {
        const bool reads = confirms_reads();
        REQUIRE(acknowledges() == reads);
        return reads;
    }

    void lose_replica() {
        host.reports.erase("r");
        host.pools["r"].reachable = false;
    }

    /// Time in which contact with the replica and proofs by claims end.
    void wait_for_contact_to_end() {
        const time_point end = event_loop::now() + std::chrono::milliseconds(250);
        host.run_until([&] { return event_loop::now() >= end; });
    }

private:
    template <class Ask>
    bool settled(Ask ask) {
        std::optional<bool> result;
        ask([&](bool value) { result = value; });
        REQUIRE(host.run_until([&] { return result.has_value(); }));
        return *result;
    }
};

} // namespace

// Cut off together with the primary, a host went on reading from it, and acknowledged writes, after
// another instance had been promoted: it took the group for one with a single instance.
TEST_CASE("a group whose commits need no replica") {
    unreplicated_group test;
    REQUIRE(test.serves());

    SECTION("is cut off together with this host, and no replica or claim shows who leads") {
        test.lose_replica();
        test.platform_reachable = false;
        test.wait_for_contact_to_end();
        REQUIRE_FALSE(test.serves());
        REQUIRE_FALSE(test.host.router.can_acknowledge("g", "p"));
        SECTION("until the cut ends and the claim names no successor") {
            test.platform_reachable = true;
            test.wait_for_contact_to_end();
            REQUIRE(test.serves());
        }
        SECTION("until the cut ends, if the claim names one") {
            test.platform_reachable = true;
            test.claim = failover_claim{2, "other", "r", true, 2};
            test.wait_for_contact_to_end();
            REQUIRE_FALSE(test.serves());
        }
    }
    SECTION("is served while its replica receives late: its commits wait for none") {
        test.host.reports["r"].received = {1, 2};
        test.host.commands.clear();
        REQUIRE(test.acknowledges());
        REQUIRE(test.host.commands.empty());
        REQUIRE(test.host.router.can_acknowledge("g", "p"));
    }
    SECTION("is served when its replicas are gone: the claim shows that the primary leads") {
        test.lose_replica();
        test.host.directory.remove_instance("r", event_loop::now());
        test.wait_for_contact_to_end();
        test.claim_reads = 0;
        for (int i = 0; i < 10; ++i) {
            REQUIRE(test.serves());
        }
        SECTION("and the claim is read a few times a second only") {
            REQUIRE(test.claim_reads <= 2);
        }
        SECTION("until it names a successor") {
            test.claim = failover_claim{2, "other", "r", false, 2};
            test.wait_for_contact_to_end();
            REQUIRE_FALSE(test.serves());
        }
        SECTION("while the platform answers") {
            test.platform_reachable = false;
            test.wait_for_contact_to_end();
            REQUIRE_FALSE(test.serves());
        }
    }
    SECTION("waits for an instance whose promotion may still take effect") {
        test.in_doubt = {"r"};
        REQUIRE(test.serves());
        test.host.reports["r"] = model::make_status(replication_role::primary, 2);
        REQUIRE_FALSE(test.acknowledges());
    }
    SECTION("doesn't acknowledge a commit of a term that it doesn't lead") {
        REQUIRE_FALSE(test.acknowledges({0, 30}));
    }
    SECTION("has one instance: nobody else can lead, whoever is out of reach") {
        test.members = {"p"};
        test.host.directory.remove_instance("r", event_loop::now());
        test.platform_reachable = false;
        test.wait_for_contact_to_end();
        REQUIRE(test.serves());
    }
}
