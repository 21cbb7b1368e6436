#include "model/plain_listener.hpp"
#include "platform/promotion_command.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using std::chrono::milliseconds;

namespace {

/// The loop stands still: what happens meanwhile is handled afterwards.
void stand_still(duration time) {
    std::this_thread::sleep_for(time);
}

void run_for(event_loop& loop, duration time) {
    const timer stop = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

task<void> request_promotion(event_loop& loop, time_point send_by, promotion_result& result) {
    result = co_await send_promotion_command(loop, model::plain_listener::address(), "host", "g",
                                             "r", 5, send_by);
}

} // namespace

// A promotion request left after the claim's lease: a late loop sent it once it was connected.
TEST_CASE("a promotion request whose connection opens while the loop stands still") {
    event_loop loop;
    model::plain_listener cloud;
    promotion_result result = promotion_result::refused;
    const time_point lease_end = event_loop::now() + milliseconds(300);
    spawn(request_promotion(loop, lease_end, result));

    SECTION("is not sent after the lease") {
        stand_still(milliseconds(350));
        run_for(loop, milliseconds(200));
        REQUIRE(cloud.received().empty());
        REQUIRE(result == promotion_result::unanswered);
    }
    SECTION("is sent if the lease holds") {
        stand_still(milliseconds(100));
        run_for(loop, milliseconds(100));
        REQUIRE(cloud.received().starts_with("POST /failover"));
        cloud.send_text("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        run_for(loop, milliseconds(100));
        REQUIRE(result == promotion_result::done);
    }
}
