#include "model/failover_fixture.hpp"
#include "model/plain_listener.hpp"
#include "platform/instance_connection.hpp"
#include "platform/promotion_command.hpp"
#include "session/upstream_connection.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::failover_fixture;
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
        REQUIRE(result == promotion_result::unsent);
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

// A command that waited for a slow instance resumed a replica that a later claim had paused.
TEST_CASE("a replication command that waits for its connection to open") {
    event_loop loop;
    model::plain_listener instance;
    upstream_instance listed = model::listed_instance("r", false);
    listed.address = model::plain_listener::address();
    instance_connection connection(
        loop, listed, "bronzeplank", [](upstream_result) {}, [] {});
    const auto command = GENERATE(replication_command::pause, replication_command::resume,
                                  replication_command::demote);
    int answers = 0;
    bool answered = false;
    connection.send_command(command, 3, [&](const std::optional<replication_status>& status) {
        ++answers;
        answered = status.has_value();
    });
    bool reported = false;
    connection.send_command(
        replication_command::report, 0,
        [&](const std::optional<replication_status>& status) { reported = status.has_value(); });
    run_for(loop, milliseconds(20));

    SECTION("is not sent once it may contradict a later claim") {
        const bool loop_is_late = GENERATE(false, true);
        if (loop_is_late) {
            instance.send_text("READY I 1.1\r\n");
            stand_still(command_send_limit + milliseconds(50));
        } else {
            run_for(loop, command_send_limit + milliseconds(50));
            instance.send_text("READY I 1.1\r\n");
        }
        run_for(loop, milliseconds(50));
        REQUIRE(instance.received() == "START g bronzeplank r\r\nQUERY - STATUS\r\n");
        REQUIRE(answers == 1);
        REQUIRE_FALSE(answered);
        instance.send_text("ROW replica 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n");
        run_for(loop, milliseconds(50));
        REQUIRE(reported);
    }
    SECTION("is sent if the connection opens in time") {
        run_for(loop, command_send_limit / 2);
        instance.send_text("READY I 1.1\r\n");
        run_for(loop, milliseconds(50));
        REQUIRE(instance.received().ends_with("QUERY - STATUS\r\n"));
        REQUIRE(instance.received().size() > 40);
    }
}

// It stayed in the buffer of the connection, and undid the pause of a claim that came meanwhile.
TEST_CASE("a replication command to a ready instance leaves before the loop can stand still") {
    event_loop loop;
    model::plain_listener instance;
    upstream_instance listed = model::listed_instance("r", false);
    listed.address = model::plain_listener::address();
    const auto arrives = [&] {
        const time_point deadline = event_loop::now() + milliseconds(200);
        while (!instance.received().ends_with("RESUME\r\n") && event_loop::now() < deadline) {
            stand_still(milliseconds(1));
        }
        return instance.received() == "START g bronzeplank r\r\nQUERY - RESUME\r\n";
    };
    bool arrived = false;
    instance_connection connection(
        loop, listed, "bronzeplank", [&](upstream_result) { arrived = arrives(); }, [] {});
    const auto send_resume = [&] {
        connection.send_command(replication_command::resume, 0,
                                [](const std::optional<replication_status>&) {});
    };
    run_for(loop, milliseconds(20));

    SECTION("if it is given to an open connection") {
        instance.send_text("READY I 1.1\r\n");
        run_for(loop, milliseconds(300));
        send_resume();
        REQUIRE(arrives());
    }
    SECTION("if it has waited for the connection to open") {
        send_resume();
        instance.send_text("READY I 1.1\r\n");
        run_for(loop, milliseconds(300));
        REQUIRE(arrived);
    }
}

// A host that stood still after a check of its lease acted on the claim when others held the next.
TEST_CASE("a failover whose loop stands still until its lease has ended") {
    failover_fixture test;
    bool late = false;
    std::size_t commands_before = 0;
    const auto be_late = [&] {
        if (!std::exchange(late, true)) {
            stand_still(claim_lease + milliseconds(50));
            commands_before = test.host.commands.size();
        }
    };
    SECTION("once it has written its claim") {
        test.on_written = be_late;
    }
    SECTION("once it has stored the successor") {
        test.on_written = [&] {
            if (!test.written.back().successor.empty()) {
                be_late();
            }
        };
    }
    SECTION("while it reads the list of instances under its claim") {
        test.on_refresh = [&] {
            if (!test.written.empty()) {
                be_late();
            }
        };
    }
    test.service->start();
    REQUIRE(test.host.run_until([&] { return late; }));
    run_for(test.host.loop, milliseconds(700));
    REQUIRE(test.promoted.empty());
    for (std::size_t i = commands_before; i < test.host.commands.size(); ++i) {
        REQUIRE(test.host.commands[i] == replication_command::report);
    }
}
