#include "platform/followed_store.hpp"
#include "session/fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::stability_window;
using model::store_stub;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t first_peer_port = 7597;

/// A host that follows the store and exchanges heartbeats with the others.
struct following_host {
    fleet_directory directory;
    object_store client;
    directory_follower follower;
    std::unique_ptr<fleet> peers;

    following_host(event_loop& loop, int number)
        : client(loop, store_stub::address()),
          follower(loop, client, directory, {name_of(number), "a", endpoint_of(number)}) {
        fleet_callbacks callbacks;
        callbacks.pools = [] { return std::map<std::string, pool_status, std::less<>>(); };
        callbacks.usage = [] { return std::map<std::string, workspace_usage>(); };
        callbacks.primaries = [] { return std::map<std::string, reported_primary>(); };
        callbacks.acknowledged = [] { return std::map<std::string, log_position>(); };
        callbacks.record_primary = [](const std::string&, const reported_primary&) {};
        follower.set_callbacks(callbacks);
        peers = std::make_unique<fleet>(loop,
                                        fleet::identity{name_of(number),
                                                        "a",
                                                        endpoint_of(number),
                                                        {endpoint{"127.0.0.1", first_peer_port}}},
                                        directory, callbacks);
        peers->start();
        follower.start();
    }

    static std::string name_of(int number) { return "host" + std::to_string(number); }
    static endpoint endpoint_of(int number) {
        return {"127.0.0.1", static_cast<std::uint16_t>(first_peer_port + number)};
    }
};

/// Hosts that follow one store, in one event loop.
struct following_fleet : model::store_loop {
    std::vector<std::unique_ptr<following_host>> hosts;

    explicit following_fleet(int host_count) {
        change("config", 1);
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<following_host>(loop, i));
        }
    }

    /// Changes an object of the kind; the number says which change it is.
    void change(const std::string& kind, int number) {
        if (kind == "config") {
            store.write(
                kind, "main",
                fmt::format(R"({{"Version":{},"Routes":[],"Services":[],"Tenants":[]}})", number));
        } else if (kind == "servers") {
            store.write(kind, instance(number),
                        R"({"Service":"g","Address":"127.0.0.1:7000","Zone":"a","Slots":2,)"
                        R"("State":"ready","DbRole":"replica","Seq":1})");
        } else {
            store.write(kind, domain(number), "{}");
        }
    }
    bool all_know(const std::string& kind, int number) const {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
            const fleet_directory& directory = host->directory;
            if (kind == "config") {
                return directory.configuration() &&
                       directory.configuration()->version >= static_cast<std::uint64_t>(number);
            }
            return kind == "servers" ? directory.instance(instance(number)) != nullptr
                                     : directory.withdrawn_domains().contains(domain(number));
        });
    }
    bool until_all_know(const std::string& kind, int number, duration time) {
        return until([&] { return all_know(kind, number); }, time);
    }
    bool until_connected() {
        return until(
            [&] {
                return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
                    return host->follower.complete() &&
                           host->peers->live_host_count(event_loop::now()) == hosts.size();
                });
            },
            stability_window);
    }
    static std::string instance(int number) { return "i" + std::to_string(number); }
    static std::string domain(int number) { return "d" + std::to_string(number); }
};

} // namespace

TEST_CASE("a watch that the store never answers hides no change") {
    const int host_count = GENERATE(1, 3);
    const std::string kind =
        GENERATE(std::string("config"), std::string("servers"), std::string("evacuations"));
    CAPTURE(host_count, kind);
    following_fleet test(host_count);
    REQUIRE(test.until_connected());

    SECTION("when it was sent after a change, as the store fell silent") {
        test.change(kind, 2);
        REQUIRE(test.until_all_know(kind, 2, stability_window));
        test.store.failure = store_stub::failure_mode::silent;
        test.run_for(milliseconds(300));
        test.store.failure = store_stub::failure_mode::none;
        test.change(kind, 3);
        REQUIRE(test.until_all_know(kind, 3, stability_window));
    }
    SECTION("when the answer with a change was lost") {
        test.run_for(milliseconds(2000));
        test.store.forget_watches(kind);
        test.change(kind, 2);
        REQUIRE(test.until_all_know(kind, 2, stability_window));
    }
    SECTION("when only one host's watch is lost, and waits are those of a large fleet") {
        for (std::size_t i = 0; i < test.hosts.size(); ++i) {
            test.hosts[i]->client.set_turn({host_count == 1 ? 1U : 40U, i});
        }
        test.run_for(milliseconds(4000));
        test.store.forget_watches(kind, 1);
        test.change(kind, 2);
        REQUIRE(test.until_all_know(kind, 2, stability_window));
    }
    SECTION("when only one host's watch is lost") {
        test.run_for(milliseconds(2000));
        test.store.forget_watches(kind, 1);
        test.change(kind, 2);
        REQUIRE(test.until_all_know(kind, 2, stability_window));
    }
}
