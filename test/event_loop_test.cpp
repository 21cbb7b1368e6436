#include "runtime/event_loop.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace bronzeplank;
using std::chrono::milliseconds;

// A wait that was to outlast late commands ended early by the time that a callback had taken.
TEST_CASE("a timer that is started by a callback that has taken long") {
    event_loop loop;
    time_point started;
    time_point fired;
    const auto on_fire = [&] {
        fired = event_loop::now();
        loop.stop();
    };
    timer after;
    const auto take_long = [&] {
        std::this_thread::sleep_for(milliseconds(150));
        started = event_loop::now();
    };
    // Makes the loop look for events again.
    const timer other = loop.after(milliseconds(1), [] {});
    SECTION("fires no earlier than its delay") {
        loop.post([&] {
            take_long();
            after = loop.after(milliseconds(100), on_fire);
        });
        loop.run();
        REQUIRE(fired - started >= milliseconds(100));
    }
    SECTION("fires no earlier than its delay if it can't be cancelled") {
        loop.post([&] {
            take_long();
            loop.later(milliseconds(100), on_fire);
        });
        loop.run();
        REQUIRE(fired - started >= milliseconds(100));
    }
}
