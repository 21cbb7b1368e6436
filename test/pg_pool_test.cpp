#include "edge/pg_pool.hpp"

#include "model/pg_stub.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::pg_stub;
using std::chrono::milliseconds;

namespace {

constexpr int pool_size = 3;

/// A started pool of three connections, and the leases that its requests got.
struct pool_fixture {
    struct granted {
        std::string workspace;
        connection_lease lease;
    };

    event_loop loop;
    pg_stub server{loop};
    std::shared_ptr<pg_pool> pool = std::make_shared<pg_pool>(
        loop, "p", pg_target{"127.0.0.1", server.port(), "d", "u", "a"}, pool_size, 100);
    std::vector<granted> pinned;
    std::vector<granted> unpinned;

    pool_fixture() { pool->start(); }
    ~pool_fixture() {
        pool->stop();
        run_for(milliseconds(5));
    }
    pool_fixture(const pool_fixture&) = delete;
    pool_fixture& operator=(const pool_fixture&) = delete;

    void run_for(duration time) {
        const timer stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }
    template <class Condition>
    bool until(Condition condition) {
        const time_point deadline = event_loop::now() + std::chrono::seconds(5);
        while (!condition() && event_loop::now() < deadline) {
            run_for(milliseconds(1));
        }
        return condition();
    }

    task<void> acquire_into(std::vector<granted>& target, std::string workspace, bool pin) {
        const time_point deadline = event_loop::now() + std::chrono::seconds(60);
        connection_lease lease = co_await pool->acquire(workspace, deadline, pin);
        if (lease) {
            target.push_back({workspace, std::move(lease)});
        }
    }
    void request(const std::string& workspace) { spawn(acquire_into(unpinned, workspace, false)); }
    void request_pinned(const std::string& workspace) {
        spawn(acquire_into(pinned, workspace, true));
    }

    bool take_all() {
        for (int i = 0; i < pool_size; ++i) {
            request("desk");
        }
        return until([this] { return unpinned.size() == pool_size; });
    }
    // Runs long enough for all requests that can be served.
    void settle() { run_for(milliseconds(20)); }
};

} // namespace

TEST_CASE("transactions wait while all connections are in use") {
    pool_fixture test;
    REQUIRE(test.take_all());

    SECTION("connections that become free in one pass are not all pinned") {
        for (int i = 0; i < pool_size; ++i) {
            test.request_pinned("desk");
        }
        test.settle();
        test.unpinned.clear();
        test.settle();
        REQUIRE(test.pinned.size() == pool_size - 1);

        SECTION("a request outside a transaction gets the last one") {
            test.request("portal");
            REQUIRE(test.until([&] { return test.unpinned.size() == 1; }));
        }
        SECTION("the transaction that waits gets a connection when another one ends") {
            test.pinned.erase(test.pinned.begin());
            REQUIRE(test.until([&] { return test.pinned.size() == pool_size - 1; }));
            test.settle();
            REQUIRE(test.pinned.size() == pool_size - 1);
        }
    }
    SECTION(
        "transactions are not served in order of arrival: one workspace's don't delay another's") {
        for (int i = 0; i < 10; ++i) {
            test.request_pinned("portal");
        }
        test.request_pinned("desk");
        for (std::size_t i = 1; i < pool_size; ++i) {
            test.unpinned.pop_back();
            REQUIRE(test.until([&] { return test.pinned.size() == i; }));
        }
        REQUIRE(std::any_of(test.pinned.begin(), test.pinned.end(),
                            [](const auto& item) { return item.workspace == "desk"; }));
    }
}
