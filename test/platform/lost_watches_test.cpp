#include "platform/followed_store.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <utility>
#include <vector>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::store_stub;
using std::chrono::milliseconds;

namespace {

/// Hosts of a large fleet that only follow the configuration, and don't hear each other.
struct watching_fleet : model::store_loop {
    // From the users' rules for large deployments (ConfigApplyMs).
    static constexpr milliseconds apply_time{5000};
    static constexpr std::size_t host_count = 40;

    std::vector<std::unique_ptr<object_store>> clients;
    std::size_t newest_known = 0;

    watching_fleet() {
        change(1);
        for (std::size_t i = 0; i < host_count; ++i) {
            clients.push_back(std::make_unique<object_store>(loop, store_stub::address()));
            clients.back()->set_turn({host_count, i});
            const auto record = [this](const std::vector<stored_object>& received,
                                       const store_position&) {
                newest_known = std::max(newest_known, received.empty() ? 0 : m_latest_change);
            };
            clients.back()->follow("config", {record, record});
        }
    }

    void change(std::size_t number) {
        m_latest_change = number;
        store.write("config", "main", "{}");
    }
    bool until_any_knows(std::size_t number) {
        return until([&] { return newest_known >= number; }, apply_time);
    }
    /// The longest time without a call to the store.
    duration longest_pause(duration observed) {
        duration longest{};
        time_point last_call = event_loop::now();
        int calls = store.calls;
        const time_point end = last_call + observed;
        while (event_loop::now() < end) {
            run_for(milliseconds(10));
            if (std::exchange(calls, store.calls) != store.calls) {
                last_call = event_loop::now();
            }
            longest = std::max<duration>(longest, event_loop::now() - last_call);
        }
        return longest;
    }

private:
    std::size_t m_latest_change = 0;
};

} // namespace

TEST_CASE("watches of a large fleet that are lost together hide no change") {
    watching_fleet test;
    REQUIRE(test.until_any_knows(1));

    SECTION("when a change has woken all of them before") {
        test.change(2);
        test.run_for(milliseconds(2500));
        SECTION("some host's watch returns every second or two") {
            REQUIRE(test.longest_pause(milliseconds(6000)) < watching_fleet::apply_time / 2);
        }
        SECTION("and some host learns of the next change in time") {
            test.store.forget_watches("config");
            test.change(3);
            REQUIRE(test.until_any_knows(3));
        }
    }
    SECTION("when they were all renewed after an outage") {
        test.store.failure = store_stub::failure_mode::unavailable;
        test.store.end_watches();
        test.run_for(milliseconds(500));
        test.store.failure = store_stub::failure_mode::none;
        test.run_for(milliseconds(2500));
        test.store.forget_watches("config");
        test.change(2);
        REQUIRE(test.until_any_knows(2));
    }
}
