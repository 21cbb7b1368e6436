#include "model/failover_fixture.hpp"
#include "model/plain_listener.hpp"
#include "platform/instance_connection.hpp"
#include "session/gateway.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::connection_end;
using model::plain_listener;
using std::chrono::milliseconds;

namespace {

constexpr const char* ready_line = "READY I 1.1\r\n";

void run_for(event_loop& loop, duration time) {
    const timer stop = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

bool wait_until(const std::function<bool()>& condition) {
    const time_point deadline = event_loop::now() + std::chrono::seconds(5);
    while (!condition() && event_loop::now() < deadline) {
        usleep(1000);
    }
    return condition();
}

upstream_instance listening_instance() {
    upstream_instance listed = model::listed_instance("r", false);
    listed.address = plain_listener::address();
    return listed;
}

std::unique_ptr<instance_connection> open_connection(event_loop& loop) {
    return std::make_unique<instance_connection>(
        loop, listening_instance(), "bronzeplank", [](upstream_result) {}, [] {});
}

void send_resume(instance_connection& connection) {
    connection.send_command(replication_command::resume, 0,
                            [](const std::optional<replication_status>&) {});
}

statement write_statement() {
    statement write;
    write.kind = statement_kind::write;
    write.id = "1";
    write.text = "WRITE a b";
    return write;
}

} // namespace

// A command that a partition held up was delivered after its sender had given it up and closed.
TEST_CASE("an instance connection that is given up is reset") {
    event_loop loop;
    plain_listener instance;
    auto connection = open_connection(loop);
    run_for(loop, milliseconds(20));

    SECTION("while it opens") {
        REQUIRE(instance.received() == "START g bronzeplank r\r\n");
        connection->close();
        REQUIRE(instance.end() == connection_end::reset);
    }
    SECTION("with a command that waits for its answer") {
        instance.send_text(ready_line);
        send_resume(*connection);
        run_for(loop, milliseconds(20));
        REQUIRE(instance.received().ends_with("QUERY - RESUME\r\n"));
        const bool destroys = GENERATE(false, true);
        if (destroys) {
            connection.reset();
        } else {
            connection->close();
        }
        REQUIRE(instance.end() == connection_end::reset);
    }
    SECTION("with a statement that waits for its answer") {
        instance.send_text(ready_line);
        connection->run(write_statement(), "", std::nullopt, [](const statement_answer&) {});
        run_for(loop, milliseconds(20));
        REQUIRE(instance.received().ends_with("QUERY 1 WRITE a b\r\n"));
        connection->close();
        REQUIRE(instance.end() == connection_end::reset);
    }
    SECTION("after an answer that makes no sense") {
        instance.send_text("nonsense\r\n");
        run_for(loop, milliseconds(20));
        REQUIRE(instance.end() == connection_end::reset);
    }
}

TEST_CASE("an instance connection to a port without a listener ends at once") {
    event_loop loop;
    std::vector<upstream_result> opened;
    int answers = 0;
    int closed = 0;
    instance_connection connection(
        loop, listening_instance(), "bronzeplank",
        [&](upstream_result result) { opened.push_back(result); }, [&] { ++closed; });
    connection.send_command(replication_command::resume, 0,
                            [&](const std::optional<replication_status>& status) {
                                REQUIRE_FALSE(status);
                                ++answers;
                            });
    run_for(loop, milliseconds(50));
    REQUIRE(opened == std::vector{upstream_result::unsent});
    REQUIRE(answers == 1);
    REQUIRE(closed == 1);
}

// The commands of a host that was killed were delivered after a later claim's.
TEST_CASE("a process that is killed resets its instance connections") {
    plain_listener instance;
    const bool ready = GENERATE(false, true);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        event_loop loop;
        const auto connection = open_connection(loop);
        send_resume(*connection);
        run_for(loop, std::chrono::seconds(10));
        _exit(0);
    }
    CHECK(wait_until([&] { return !instance.received().empty(); }));
    if (ready) {
        instance.send_text(ready_line);
        CHECK(wait_until([&] { return instance.received().ends_with("QUERY - RESUME\r\n"); }));
    }
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    REQUIRE(wait_until([&] { return instance.end() != connection_end::none; }));
    REQUIRE(instance.end() == connection_end::reset);
}

// The connection stayed open, and delivered the command after those of a later claim.
TEST_CASE("a gateway that gets no answer to a replication command") {
    event_loop loop;
    plain_listener listener;
    const upstream_instance listed = listening_instance();
    gateway<instance_connection>::environment environment;
    environment.find = [&](const std::string&) { return &listed; };
    environment.limits = [](const upstream_instance&) { return pool_limits(); };
    environment.watched = [](const std::string&) { return false; };
    environment.is_primary = [](const std::string&) { return false; };
    environment.reachability_changed = [] {};
    gateway<instance_connection> gateway(loop, environment);
    const auto command = GENERATE(replication_command::pause, replication_command::resume,
                                  replication_command::demote);
    int answers = 0;
    bool answered = false;
    gateway.send_command("r", command, 3, [&](const std::optional<replication_status>& status) {
        ++answers;
        answered = status.has_value();
    });
    run_for(loop, milliseconds(20));
    listener.send_text(ready_line);
    run_for(loop, milliseconds(20));
    REQUIRE(listener.received().starts_with("START g bronzeplank r\r\nQUERY - "));
    REQUIRE(answers == 0);

    SECTION("resets the connection within the limit") {
        run_for(loop, command_send_limit);
        REQUIRE(listener.end() == connection_end::reset);
        REQUIRE(answers == 1);
        REQUIRE_FALSE(answered);
    }
    SECTION("keeps the connection if the answer comes in time") {
        run_for(loop, command_send_limit / 2);
        listener.send_text("ROW replica 1 1.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n");
        run_for(loop, command_send_limit);
        REQUIRE(listener.end() == connection_end::none);
        REQUIRE(answers == 1);
        REQUIRE(answered);
    }
}
