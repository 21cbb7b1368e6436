#include "model/plain_listener.hpp"
#include "model/single_host.hpp"
#include "platform/instance_connection.hpp"
#include "session/upstream_connection.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::plain_listener;
using std::chrono::milliseconds;

namespace {

constexpr const char* ready_line = "READY I 1.1\r\n";
constexpr const char* status_lines = "ROW replica 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n";

void run_for(event_loop& loop, duration time) {
    const timer stop = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace

// Without it, a process that had started again under its id passed for the one before.
TEST_CASE("an instance's status tells for how long its connection has been open") {
    event_loop loop;
    plain_listener instance;
    upstream_instance listed = model::listed_instance("r", false);
    listed.address = plain_listener::address();
    instance_connection connection(
        loop, listed, std::string(control_workspace), [](upstream_result) {}, [] {});
    std::optional<replication_status> reported;
    const auto request = [&] {
        reported.reset();
        connection.send_command(replication_command::report, 0,
                                [&](const auto& status) { reported = status; });
    };
    request();
    run_for(loop, milliseconds(60));
    REQUIRE(instance.received() == "START g bronzeplank r\r\n");
    instance.send_text(ready_line);
    run_for(loop, milliseconds(20));
    instance.send_text(status_lines);
    run_for(loop, milliseconds(20));

    SECTION("which begins when the instance is ready, not when the request is made") {
        REQUIRE(reported);
        REQUIRE(reported->connected_for);
        REQUIRE(*reported->connected_for < milliseconds(60));
    }
    SECTION("and grows with each answer") {
        const duration before = reported.value().connected_for.value();
        request();
        run_for(loop, milliseconds(40));
        instance.send_text(status_lines);
        run_for(loop, milliseconds(20));
        REQUIRE(reported);
        REQUIRE(reported->connected_for.value() >= before + milliseconds(40));
    }
}
