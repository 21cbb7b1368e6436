#include "peer.pb.h"
#include "session/fleet.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t host_port = 7591;
constexpr std::uint16_t peer_port = 7592;

void run_for(event_loop& loop, duration time) {
    const timer stop = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace

// The smallest delay seen is the measure of delay: a resume that had been held for 8 s was
// executed.
TEST_CASE("a replication command among a peer's first messages, all of which were held up") {
    event_loop loop;
    fleet_directory directory;
    std::size_t commands = 0;
    fleet_callbacks callbacks;
    callbacks.send_command = [&](const std::string&, replication_command, std::uint64_t,
                                 const status_handler&) { ++commands; };
    callbacks.pools = [] { return std::map<std::string, pool_status, std::less<>>(); };
    callbacks.usage = [] { return std::map<std::string, workspace_usage>(); };
    callbacks.primaries = [] { return std::map<std::string, reported_primary>(); };
    callbacks.acknowledged = [] { return std::map<std::string, log_position>(); };
    callbacks.snapshot_directory = [](bool) { return directory_snapshot(); };
    callbacks.known_directory = [] { return directory_versions(); };
    callbacks.platform_unreachable = [] { return false; };
    fleet host(loop, {"first", "a", {"127.0.0.1", host_port}, {}}, directory, callbacks);
    host.start();
    peer_bus peer(loop, {"127.0.0.1", peer_port}, [](const wire::envelope&) {});
    // The peer's clock has its own epoch.
    const auto send_held = [&](wire::envelope message, duration held) {
        const duration clock = std::chrono::hours(3) + event_loop::now().time_since_epoch() - held;
        message.set_from("peer");
        message.set_incarnation(71);
        message.set_sent_ms(static_cast<std::uint64_t>(to_milliseconds(clock)));
        // Other messages than heartbeats name the one of the host that the peer heard last.
        if (!message.has_fleet()) {
            const duration heard = event_loop::now().time_since_epoch() - held - milliseconds(10);
            message.set_heard_ms(static_cast<std::uint64_t>(to_milliseconds(heard)));
            message.set_heard_incarnation(host.incarnation());
            message.set_heard_age_ms(5);
        }
        return peer.send("127.0.0.1:" + std::to_string(host_port), message);
    };
    wire::envelope heartbeat;
    heartbeat.mutable_fleet()->set_whole(true);
    heartbeat.mutable_fleet()->set_period_ms(200);
    heartbeat.mutable_fleet()->set_failure_domain("b");
    heartbeat.mutable_fleet()->set_peer_address("127.0.0.1:" + std::to_string(peer_port));
    wire::envelope resume;
    resume.mutable_replication()->set_instance("i");
    resume.mutable_replication()->set_order(
        static_cast<std::uint32_t>(replication_command::resume));

    while (!send_held(heartbeat, std::chrono::seconds(9))) {
        run_for(loop, milliseconds(10));
    }
    REQUIRE(send_held(resume, std::chrono::seconds(8)));
    REQUIRE(send_held(heartbeat, milliseconds(0)));
    run_for(loop, milliseconds(300));
    REQUIRE(host.find_live("peer") != nullptr);
    REQUIRE(commands == 0);

    REQUIRE(send_held(resume, milliseconds(0)));
    run_for(loop, milliseconds(300));
    REQUIRE(commands == 1);
}
