#include "session/fleet.hpp"

#include "model/mutator.hpp"
#include "model/run_size.hpp"
#include "peer.pb.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

/// A host with a real message bus on loopback and a scripted gateway.
struct bus_host {
    event_loop& loop;
    fleet_directory directory;
    std::map<std::string, pool_status, std::less<>> pools;
    std::map<std::string, workspace_usage> usage;
    std::map<std::string, reported_primary> primaries;
    std::map<std::string, log_position> acknowledged;
    std::map<std::string, reported_primary> recorded_primaries;
    std::vector<upstream_work> works;
    std::vector<answer_handler> answers;
    std::vector<transaction_key> ended_transactions;
    std::vector<work_key> dropped;
    std::vector<replication_command> commands;
    directory_snapshot local_directory;
    std::vector<directory_snapshot> accepted_directories;
    bool platform_unreachable = true;
    std::vector<directory_versions> overdue_directories;
    std::unique_ptr<fleet> peers;

    bus_host(event_loop& on, const std::string& name, std::uint16_t port, std::uint16_t seed,
             host_resources resources = {})
        : loop(on) {
        fleet_callbacks callbacks;
        callbacks.run = [this](upstream_work work, answer_handler on_answer) {
            works.push_back(std::move(work));
            answers.push_back(std::move(on_answer));
        };
        callbacks.end_transaction = [this](const std::string&, const transaction_key& key) {
            ended_transactions.push_back(key);
        };
        callbacks.drop = [this](const std::string&, const work_key& key) {
            dropped.push_back(key);
        };
        callbacks.send_command = [this](const std::string&, replication_command command,
                                        std::uint64_t term, const status_handler& on_status) {
            commands.push_back(command);
            on_status(replication_status{
                replication_role::replica, term, {term, 9}, 0, std::chrono::seconds(2)});
        };
        callbacks.request_verified_position = [](const std::string&,
                                                 const verified_position_handler& on_position) {
            on_position(log_position{4, 2});
        };
        callbacks.pools = [this] { return pools; };
        callbacks.usage = [this] { return usage; };
        callbacks.primaries = [this] { return primaries; };
        callbacks.acknowledged = [this] { return acknowledged; };
        callbacks.record_primary = [this](const std::string& group,
                                          const reported_primary& reported) {
            recorded_primaries[group] = reported;
        };
        callbacks.snapshot_directory = [this](bool) { return local_directory; };
        callbacks.platform_unreachable = [this] { return platform_unreachable; };
        callbacks.accept_directory = [this](const directory_snapshot& copy) {
            accepted_directories.push_back(copy);
        };
        callbacks.known_directory = [this] { return local_directory.versions(); };
        callbacks.directory_overdue = [this](const directory_versions& newest) {
            overdue_directories.push_back(newest);
        };
        peers = std::make_unique<fleet>(
            loop,
            fleet::identity{
                name, "a", {"127.0.0.1", port}, {endpoint{"127.0.0.1", seed}}, resources},
            directory, callbacks);
        peers->start();
    }

    void discard_received() {
        works.clear();
        answers.clear();
        ended_transactions.clear();
        dropped.clear();
        commands.clear();
        accepted_directories.clear();
        recorded_primaries.clear();
    }
};

template <class Condition>
bool run_until(event_loop& loop, Condition condition) {
    const time_point deadline = event_loop::now() + std::chrono::seconds(4);
    while (!condition() && event_loop::now() < deadline) {
        const timer stop = loop.after(milliseconds(2), [&loop] { loop.stop(); });
        loop.run();
    }
    return condition();
}

upstream_work make_work() {
    upstream_work work;
    work.group = "g";
    work.instance = "i";
    work.workspace = "desk";
    work.request = {statement_kind::execute, "id-1", "text", false, "name", "argument",
                    {true, "WRITE q"}};
    work.values = {{"lang", "pl"}};
    work.min_position = log_position{3, 17};
    work.opens_transaction = true;
    work.strict = true;
    work.priority = 2;
    work.objective_left = milliseconds(120);
    work.time_left = milliseconds(800);
    return work;
}

} // namespace

TEST_CASE("two hosts that know each other's address") {
    event_loop loop;
    bus_host first(loop, "first", 7593, 7594, {0.12, 10});
    auto second = std::make_unique<bus_host>(loop, "second", 7594, 7593, host_resources{0.5, 200});
    first.pools["far"] = {false, {}, false};
    first.usage["desk"] = {7, 12};
    first.primaries["g"] = {{"p", 3}, std::nullopt};
    first.acknowledged["g"] = {3, 40};
    const auto connected = [&] { return second->peers->find_live("first") != nullptr; };
    REQUIRE(run_until(loop, [&] {
        return connected() && !second->peers->find_live("first")->pools.empty() &&
               first.peers->find_live("second") != nullptr;
    }));

    SECTION("exchange reachability, demand and primaries") {
        const fleet_peer& peer = *second->peers->find_live("first");
        REQUIRE_FALSE(peer.pools.at("far").reachable);
        REQUIRE(run_until(loop, [&] { return !peer.usage.empty(); }));
        REQUIRE(peer.usage.at("desk") == workspace_usage{7, 12});
        REQUIRE(peer.acknowledged.at("g") == log_position{3, 40});
        REQUIRE(second->recorded_primaries.at("g") == reported_primary{{"p", 3}, std::nullopt});
        SECTION("and send changes with the next heartbeat") {
            first.pools.clear();
            first.primaries["g"] = {{"q", 4}, std::nullopt};
            first.peers->send_heartbeat();
            REQUIRE(run_until(loop, [&] {
                return peer.pools.empty() && second->recorded_primaries.at("g").primary.term == 4;
            }));
            SECTION("and the position with which a term began once it is known") {
                first.primaries["g"].first_position = log_position{3, 40};
                first.peers->send_heartbeat();
                REQUIRE(run_until(loop, [&] {
                    return second->recorded_primaries.at("g") ==
                           reported_primary{{"q", 4}, log_position{3, 40}};
                }));
            }
        }
    }
    SECTION("forward what callers and instances send even if it is no valid UTF-8") {
        std::optional<statement_answer> answer;
        upstream_work work = make_work();
        work.request.text = "WRITE 1a4 \xff\xfe";
        work.request.argument = "\xc3";
        work.values = {{"name \x80", "\x80"}};
        first.peers->run("second", work, [&](const statement_answer& result) { answer = result; });
        REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        REQUIRE(second->works.front().request.text == work.request.text);
        REQUIRE(second->works.front().request.argument == work.request.argument);
        REQUIRE(second->works.front().values == work.values);
        second->answers.front()({upstream_result::done, {"\xff"}, "\xfe", {3, 18}});
        REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
        REQUIRE(answer->rows.front() == "\xff");
    }
    SECTION("forward work and its answer without loss") {
        std::optional<statement_answer> answer;
        upstream_work work = make_work();
        work.transaction = transaction_key{"first", 5};
        first.peers->run("second", work, [&](const statement_answer& result) { answer = result; });
        REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        const upstream_work& received = second->works.front();
        REQUIRE(received.request.id == "id-1");
        REQUIRE(received.request.shape == statement_shape{true, "WRITE q"});
        REQUIRE(received.values == work.values);
        REQUIRE(received.min_position == work.min_position);
        REQUIRE(received.transaction == work.transaction);
        REQUIRE(received.opens_transaction);
        REQUIRE(received.strict);
        // Reduced by the transit time, which "a host whose peer's messages are delayed" checks.
        REQUIRE(received.time_left <= work.time_left);
        REQUIRE(received.time_left > duration(0));
        SECTION("with the load of the instance") {
            const statement_answer sent{
                upstream_result::done,
                {"row"},
                "signature",
                {3, 18},
                milliseconds(9),
                load_report{7, 2, milliseconds(11), log_position{3, 18}, milliseconds(4)},
                log_position{3, 17}};
            second->answers.front()(sent);
            REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
            REQUIRE(*answer == sent);
        }
        SECTION("without a load from a gateway that knows none") {
            const statement_answer sent{upstream_result::behind, {}, "", {3, 18}};
            second->answers.front()(sent);
            REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
            REQUIRE(*answer == sent);
        }
    }
    SECTION("forward a workspace's weight, and drop work that is no longer needed") {
        std::optional<statement_answer> answer;
        upstream_work work = make_work();
        work.key = {"first", 9};
        work.weight = 40;
        const auto run = [&] {
            first.peers->run("second", work,
                             [&](const statement_answer& result) { answer = result; });
            REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        };
        SECTION("when its sender says so") {
            run();
            REQUIRE(second->works.front().key == work.key);
            REQUIRE(second->works.front().weight == 40);
            // So that a refusal in the queue arrives in time.
            REQUIRE(second->works.front().refusal_margin > milliseconds(50));
            first.peers->drop_work("second", "i", work.key);
            REQUIRE(run_until(loop, [&] { return !second->dropped.empty(); }));
            REQUIRE(second->dropped.front() == work.key);
        }
        // A write that stayed in the queue was answered as in doubt.
        SECTION("before the sender stops waiting, and learn that it has not run") {
            work.time_left = milliseconds(300);
            run();
            REQUIRE(run_until(loop, [&] { return !second->dropped.empty(); }));
            REQUIRE_FALSE(answer);
            second->answers.front()({upstream_result::unsent, {}, {}, {}});
            REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
            REQUIRE(answer->result == upstream_result::unsent);
        }
    }
    SECTION("request verified positions and replication status from each other") {
        std::optional<log_position> position_received;
        first.peers->request_verified_position(
            "second", "g", [&](const auto& position) { position_received = position; });
        std::optional<replication_status> reported;
        first.peers->send_command("second", "i", replication_command::pause, 8,
                                  [&](const auto& status) { reported = status; });
        REQUIRE(run_until(loop, [&] { return position_received && reported; }));
        REQUIRE(*position_received == log_position{4, 2});
        REQUIRE(reported->term == 8);
        REQUIRE(reported->connected_for == std::chrono::seconds(2));
    }
    SECTION("know each other's capacity, by which they choose relays") {
        const fleet_peer& peer = *second->peers->find_live("first");
        REQUIRE(run_until(loop, [&] { return peer.resources == host_resources{0.12, 10}; }));
        first.platform_unreachable = second->platform_unreachable = false;
        REQUIRE(run_until(
            loop, [&] { return second->peers->relays_of("a", event_loop::now()).size() == 2; }));
        REQUIRE(second->peers->relays_of("a", event_loop::now()).front() == "second");
    }
    SECTION("end each other's transactions") {
        first.peers->end_transaction("second", "i", {"first", 6});
        REQUIRE(run_until(loop, [&] { return !second->ended_transactions.empty(); }));
        REQUIRE(second->ended_transactions.front() == transaction_key{"first", 6});
    }
    SECTION("send the directory to a host that has lost the platform") {
        first.local_directory = {7, "{}", {2, 30}, {}, {"b"}};
        REQUIRE(run_until(loop, [&] { return !second->accepted_directories.empty(); }));
        REQUIRE(second->accepted_directories.front() == first.local_directory);
    }
    SECTION("send a list of the store's later era to a host that has a higher revision of an "
            "earlier one") {
        second->local_directory = {7, "{}", {1, 30}, {}, {"c"}};
        first.local_directory = {7, "{}", {2, 20}, {}, {"b"}};
        REQUIRE(run_until(loop, [&] { return !second->accepted_directories.empty(); }));
        REQUIRE(second->accepted_directories.front() == first.local_directory);
        REQUIRE(first.accepted_directories.empty());
    }
    SECTION("notice that a reachable platform has not delivered what the other one has") {
        second->platform_unreachable = false;
        second->local_directory = {7, "{}", {2, 30}, {}, {}, {2, 10}};
        SECTION("though only the withdrawn domains are newer") {
            first.local_directory = {7, "{}", {2, 30}, {}, {"b"}, {2, 31}};
            REQUIRE(run_until(loop, [&] { return !second->overdue_directories.empty(); }));
            REQUIRE(second->overdue_directories.front() == first.local_directory.versions());
            REQUIRE(second->accepted_directories.empty());
        }
        SECTION("and nothing when the other one is behind") {
            first.local_directory = {6, "{}", {2, 29}, {}, {}, {2, 9}};
            REQUIRE(run_until(loop, [&] {
                return second->peers->find_live("first")->directory ==
                       first.local_directory.versions();
            }));
            const timer stop = loop.after(milliseconds(700), [&loop] { loop.stop(); });
            loop.run();
            REQUIRE(second->overdue_directories.empty());
        }
    }
    SECTION("have different indexes among the live hosts") {
        REQUIRE(first.peers->live_host_index(event_loop::now()) == 0);
        REQUIRE(second->peers->live_host_index(event_loop::now()) == 1);
        first.peers.reset();
        REQUIRE(run_until(loop,
                          [&] { return second->peers->live_host_index(event_loop::now()) == 0; }));
    }
    SECTION("count each other as presumed hosts, even after one has died") {
        REQUIRE(first.peers->presumed_host_count(event_loop::now()) == 2);
        second.reset();
        REQUIRE(run_until(loop, [&] { return first.peers->find_live("second") == nullptr; }));
        REQUIRE(first.peers->presumed_host_count(event_loop::now()) == 2);
        REQUIRE(first.peers->presumed_host_count(event_loop::now() + std::chrono::seconds(31)) ==
                1);
    }
    SECTION("report work as unanswered, not unsent, when its receiver dies") {
        std::optional<statement_answer> answer;
        first.peers->run("second", make_work(),
                         [&](const statement_answer& result) { answer = result; });
        REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        second.reset();
        REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
        REQUIRE(answer->result == upstream_result::unanswered);
        SECTION("and report later work as unsent") {
            first.peers->run("second", make_work(),
                             [&](const statement_answer& result) { answer = result; });
            REQUIRE(answer->result == upstream_result::unsent);
        }
    }
}

namespace {

constexpr std::uint16_t scripted_port = 7596;

/// A peer whose messages are sent one by one by a test.
struct scripted_peer {
    std::vector<wire::envelope> received;
    peer_bus bus;
    std::uint32_t incarnation = 71;
    time_point clock{std::chrono::hours(3)};
    /// The host whose message the peer has just heard when it sends one, unless 0; and for how long
    /// its messages are held up.
    std::uint32_t heard_incarnation = 0;
    duration held{};

    explicit scripted_peer(event_loop& loop)
        : bus(loop, {"127.0.0.1", scripted_port},
              [this](const wire::envelope& message) { received.push_back(message); }) {}

    bool send(wire::envelope message) {
        message.set_from("scripted");
        message.set_incarnation(incarnation);
        message.set_sent_ms(static_cast<std::uint64_t>(to_milliseconds(clock.time_since_epoch())));
        message.set_heard_incarnation(heard_incarnation);
        message.set_heard_ms(static_cast<std::uint64_t>(
            to_milliseconds((event_loop::now() - held).time_since_epoch())));
        return bus.send("127.0.0.1:7593", message);
    }
    bool send_heartbeat(std::uint32_t period_ms = 200, bool leaving = false, bool full = true) {
        wire::envelope message;
        message.mutable_fleet()->set_leaving(leaving);
        message.mutable_fleet()->set_period_ms(period_ms);
        message.mutable_fleet()->set_whole(full);
        message.mutable_fleet()->set_failure_domain("b");
        message.mutable_fleet()->set_peer_address("127.0.0.1:" + std::to_string(scripted_port));
        return send(message);
    }
    bool send_work(const std::string& id) {
        wire::envelope message;
        message.mutable_work()->set_id(5);
        message.mutable_work()->set_instance("i");
        message.mutable_work()->set_statement_id(id);
        message.mutable_work()->set_time_left_us(800'000);
        return send(message);
    }
    bool send_command(replication_command command) {
        wire::envelope message;
        message.mutable_replication()->set_instance("i");
        message.mutable_replication()->set_order(static_cast<std::uint32_t>(command));
        return send(message);
    }
};

std::vector<wire::envelope> one_of_each_payload() {
    std::vector<wire::envelope> payloads(12);
    auto* heartbeat = payloads[0].mutable_fleet();
    heartbeat->set_whole(true);
    heartbeat->set_failure_domain("b");
    heartbeat->set_period_ms(200);
    heartbeat->add_lanes()->set_instance("i");
    heartbeat->mutable_lanes(0)->set_wait_us(7000);
    heartbeat->add_primaries()->set_group("g");
    heartbeat->mutable_primaries(0)->set_term(3);
    heartbeat->add_demands()->set_workspace("desk");
    heartbeat->mutable_demands(0)->set_per_second(12.5F);
    heartbeat->add_acknowledged()->set_group("g");
    heartbeat->mutable_acknowledged(0)->set_offset(9);
    auto* work = payloads[1].mutable_work();
    work->set_instance("i");
    work->set_kind(4);
    work->set_text("WRITE 1a4 x");
    work->set_time_left_us(800'000);
    payloads[2].mutable_work_answer()->set_id(5);
    payloads[2].mutable_work_answer()->add_rows("row");
    payloads[3].mutable_end()->set_transaction(5);
    payloads[4].mutable_replication()->set_instance("i");
    payloads[4].mutable_replication()->set_order(2);
    payloads[5].mutable_replication_answer()->set_term(4);
    payloads[6].mutable_sample()->set_group("g");
    payloads[7].mutable_sample_answer()->set_verified(true);
    payloads[8].mutable_directory();
    auto* directory = payloads[9].mutable_directory_answer();
    directory->set_configuration("{}");
    directory->add_instances()->set_port(80);
    payloads[10].mutable_beat_asked();
    payloads[11].mutable_drop()->set_instance("i");
    payloads[11].mutable_drop()->set_number(5);
    return payloads;
}

} // namespace

TEST_CASE("a host whose peer's messages are delayed") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer peer(loop);
    // The peer's clock has its own epoch and advances at the same rate as the host's.
    const time_point started = event_loop::now();
    const auto set_send_delay = [&](duration delay) {
        peer.clock = time_point(std::chrono::hours(3)) + (event_loop::now() - started) - delay;
        peer.held = delay;
    };
    peer.heard_incarnation = host.peers->incarnation();
    REQUIRE(run_until(loop, [&] {
        set_send_delay(duration(0));
        peer.send_heartbeat();
        return host.peers->find_live("scripted") != nullptr;
    }));
    int markers = 0;
    const auto marker_arrives = [&] {
        const std::string id = "fresh " + std::to_string(++markers);
        set_send_delay(duration(0));
        peer.send_work(id);
        return run_until(loop,
                         [&] { return !host.works.empty() && host.works.back().request.id == id; });
    };

    SECTION("runs no statement whose caller has timed out") {
        set_send_delay(std::chrono::seconds(9));
        peer.send_work("late");
        REQUIRE(marker_arrives());
        REQUIRE(host.works.size() == 1);
    }
    SECTION("subtracts the transit time from a statement's remaining time") {
        set_send_delay(milliseconds(500));
        peer.send_work("half late");
        REQUIRE(marker_arrives());
        REQUIRE(host.works.size() == 2);
        REQUIRE(host.works.front().time_left < milliseconds(350));
    }
    SECTION("executes no expired replication command, such as resume") {
        set_send_delay(std::chrono::seconds(9));
        peer.send_command(replication_command::resume);
        REQUIRE(marker_arrives());
        REQUIRE(host.commands.empty());
        set_send_delay(duration(0));
        peer.send_command(replication_command::pause);
        REQUIRE(marker_arrives());
        REQUIRE(host.commands == std::vector{replication_command::pause});
    }
    SECTION("executes no replication command of a peer that has heard only an earlier host") {
        peer.heard_incarnation = host.peers->incarnation() + 1;
        peer.incarnation = 72;
        set_send_delay(duration(0));
        peer.send_command(replication_command::resume);
        REQUIRE(marker_arrives());
        REQUIRE(host.commands.empty());
    }
    SECTION("ignores a heartbeat that a partition delayed") {
        set_send_delay(std::chrono::seconds(9));
        peer.send_heartbeat(200, true);
        REQUIRE(marker_arrives());
        REQUIRE_FALSE(host.peers->find_live("scripted")->leaving);
    }
    SECTION("takes no use of rates from before a partition for a new report") {
        REQUIRE(host.peers->find_live("scripted")->usage_reported);
        REQUIRE(run_until(loop, [&] { return host.peers->find_live("scripted") == nullptr; }));
        set_send_delay(duration(0));
        peer.send_heartbeat(200, false, false);
        REQUIRE(run_until(loop, [&] { return host.peers->find_live("scripted") != nullptr; }));
        REQUIRE_FALSE(host.peers->find_live("scripted")->usage_reported);
        peer.send_heartbeat();
        REQUIRE(run_until(loop, [&] {
            const fleet_peer* live = host.peers->find_live("scripted");
            return live != nullptr && live->usage_reported;
        }));
    }
    SECTION("does not consider a peer alive because of a message that a partition delayed") {
        REQUIRE(run_until(loop, [&] { return host.peers->find_live("scripted") == nullptr; }));
        set_send_delay(std::chrono::seconds(9));
        wire::envelope late;
        late.mutable_end()->set_transaction(3);
        peer.send(late);
        REQUIRE(run_until(loop, [&] { return !host.ended_transactions.empty(); }));
        REQUIRE(host.peers->find_live("scripted") == nullptr);
    }
    SECTION("drops messages of an earlier incarnation of the peer after a later one was seen") {
        peer.incarnation = 72;
        set_send_delay(duration(0));
        peer.send_heartbeat();
        REQUIRE(marker_arrives());
        peer.incarnation = 71;
        peer.send_work("of the earlier incarnation");
        peer.incarnation = 72;
        REQUIRE(marker_arrives());
        for (const auto& work : host.works) {
            REQUIRE(work.request.id.starts_with("fresh"));
        }
    }
    SECTION("ignores answers to calls of its own earlier incarnation") {
        std::optional<statement_answer> answer;
        const auto work_received = [&] {
            const auto& messages = peer.received;
            return std::any_of(messages.begin(), messages.end(),
                               [](const auto& message) { return message.has_work(); });
        };
        // The first calls fail as unsent until the connection is established.
        REQUIRE(run_until(loop, [&] {
            if (answer || !host.peers->relayed_count()) {
                answer.reset();
                host.peers->run("scripted", make_work(),
                                [&](const statement_answer& result) { answer = result; });
            }
            return work_received();
        }));
        answer.reset();
        wire::envelope stray;
        for (std::uint64_t id = 1; id <= 100; ++id) {
            stray.mutable_work_answer()->set_id(id);
            peer.send(stray);
        }
        REQUIRE(marker_arrives());
        REQUIRE_FALSE(answer);
    }
}

TEST_CASE("a host whose peers have different parts of the directory") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    bus_host newer_lists(loop, "newer_lists", 7597, 7593);
    bus_host newer_configuration(loop, "newer_configuration", 7598, 7593);
    newer_lists.local_directory = {7, "{}", {2, 40}, {}, {}, {2, 40}};
    newer_configuration.local_directory = {8, "{}", {2, 30}, {}, {}, {2, 30}};

    SECTION("asks the one with the newer configuration, even if another has newer lists") {
        host.platform_unreachable = GENERATE(false, true);
        REQUIRE(
            run_until(loop, [&] { return host.peers->live_peers(event_loop::now()).size() == 2; }));
        host.local_directory = {6, "{}", {2, 30}, {}, {}, {2, 30}};
        host.discard_received();
        REQUIRE(run_until(loop, [&] { return !host.accepted_directories.empty(); }));
        REQUIRE(host.accepted_directories.front().configuration_version == 8);
    }
}

TEST_CASE("a host whose peer has a newer directory but sends none") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer silent(loop);
    silent.bus.connect("127.0.0.1:7593");
    bus_host other(loop, "second", 7597, 7593);
    host.local_directory = {6, "{}", {2, 30}, {}, {}, {2, 30}};
    other.local_directory = {7, "{}", {2, 30}, {}, {}, {2, 30}};
    const std::uint64_t silent_version = GENERATE(7, 8);
    CAPTURE(silent_version);
    const auto send_heartbeat = [&] {
        wire::envelope message;
        message.mutable_fleet()->set_period_ms(200);
        message.mutable_fleet()->set_whole(true);
        message.mutable_fleet()->set_failure_domain("a");
        message.mutable_fleet()->set_peer_address("127.0.0.1:" + std::to_string(scripted_port));
        message.mutable_fleet()->set_configuration_version(silent_version);
        silent.clock += milliseconds(100);
        silent.send(message);
    };

    SECTION("asks another one that has a newer directory as well") {
        const time_point deadline = event_loop::now() + std::chrono::seconds(4);
        while (host.accepted_directories.empty() && event_loop::now() < deadline) {
            send_heartbeat();
            const timer stop = loop.after(milliseconds(100), [&loop] { loop.stop(); });
            loop.run();
        }
        REQUIRE(host.peers->find_live("scripted") != nullptr);
        REQUIRE_FALSE(host.accepted_directories.empty());
        REQUIRE(host.accepted_directories.front().configuration_version == 7);
    }
}

TEST_CASE("a host that one peer asks for a heartbeat between two regular ones") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    bus_host other(loop, "other", 7597, 7593);
    scripted_peer peer(loop);
    const auto connected = [&] {
        peer.send_heartbeat();
        return host.peers->find_live("scripted") != nullptr &&
               host.peers->find_live("other") != nullptr;
    };
    REQUIRE(run_until(loop, connected));
    const auto other_has_news = [&] { return other.recorded_primaries.contains("g"); };
    const auto asked_host_answers = [&] {
        return std::any_of(peer.received.begin(), peer.received.end(), [](const auto& message) {
            return message.has_fleet() && message.fleet().primaries_size() > 0;
        });
    };
    // Right after a full heartbeat, so that the next one carries changes only.
    const auto full_heartbeat_arrives = [&] {
        return std::any_of(peer.received.begin(), peer.received.end(), [](const auto& message) {
            return message.has_fleet() && message.fleet().whole();
        });
    };
    peer.received.clear();
    REQUIRE(run_until(loop, full_heartbeat_arrives));
    host.primaries["g"] = {{"p", 9}, std::nullopt};
    host.acknowledged["g"] = {9, 40};
    wire::envelope question;
    question.mutable_beat_asked();
    peer.clock += milliseconds(1);
    peer.send(question);
    REQUIRE(run_until(loop, asked_host_answers));

    SECTION("tells the others what is new with the next regular one") {
        peer.received.clear();
        REQUIRE(run_until(loop, [&] {
            return std::any_of(peer.received.begin(), peer.received.end(),
                               [](const auto& message) { return message.has_fleet(); });
        }));
        run_until(loop, other_has_news);
        REQUIRE_FALSE(peer.received.front().fleet().whole());
        REQUIRE(peer.received.front().fleet().primaries_size() == 1);
        REQUIRE(peer.received.front().fleet().acknowledged_size() == 1);
    }
}

TEST_CASE("a host that receives messages which make no sense") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer peer(loop);
    const time_point started = event_loop::now();
    const auto advance_clock = [&] {
        peer.clock = time_point(std::chrono::hours(3)) + (event_loop::now() - started);
    };
    REQUIRE(run_until(loop, [&] {
        peer.send_heartbeat();
        return host.peers->find_live("scripted") != nullptr;
    }));
    const auto still_answers = [&] {
        host.works.clear();
        return run_until(loop, [&] {
            advance_clock();
            peer.send_work("after");
            return !host.works.empty();
        });
    };
    SECTION("goes on after a heartbeat whose address can't be connected to") {
        wire::envelope message;
        message.mutable_fleet()->set_whole(true);
        message.mutable_fleet()->set_period_ms(200);
        for (const char* address :
             {"", "nowhere", "127.0.0.1:port", "tcp://;", "127.0.0.1:99999"}) {
            message.mutable_fleet()->set_peer_address(address);
            advance_clock();
            peer.send(message);
            // Long enough for a heartbeat to that address.
            const time_point sent_at = event_loop::now();
            run_until(loop, [&] { return event_loop::now() - sent_at > milliseconds(300); });
        }
        REQUIRE(still_answers());
    }
    SECTION("obeys no command that it does not know") {
        wire::envelope message;
        message.mutable_replication()->set_instance("i");
        message.mutable_replication()->set_order(77);
        peer.send(message);
        REQUIRE(still_answers());
        REQUIRE(host.commands.empty());
    }
    SECTION("runs no statement of an unknown kind") {
        wire::envelope message;
        message.mutable_work()->set_instance("i");
        message.mutable_work()->set_kind(200);
        message.mutable_work()->set_time_left_us(800'000);
        message.mutable_work()->set_statement_id("unknown kind");
        REQUIRE(run_until(loop, [&] {
            advance_clock();
            peer.send(message);
            return std::any_of(peer.received.begin(), peer.received.end(),
                               [](const auto& reply) { return reply.has_work_answer(); });
        }));
        REQUIRE(host.works.empty());
    }
    SECTION("goes on after any change of the bytes of a payload") {
        model::mutator mutations(model::first_seed());
        // Fewer than the bus queues.
        constexpr std::uint64_t batch = 200;
        const auto handle_batch = [&] {
            int rounds = 0;
            run_until(loop, [&] { return ++rounds > 1; });
            host.discard_received();
            peer.received.clear();
        };
        for (const wire::envelope& valid : one_of_each_payload()) {
            const std::string bytes = valid.SerializeAsString();
            std::uint64_t sent_count = 0;
            for (std::uint64_t i = 0; i < model::walk_count(); ++i) {
                wire::envelope message;
                // The bus refuses what can't be parsed.
                while (!message.ParseFromString(mutations.mutate(bytes))) {
                }
                // Other addresses would be connected to.
                if (message.has_fleet()) {
                    message.mutable_fleet()->set_peer_address("127.0.0.1:" +
                                                              std::to_string(scripted_port));
                }
                advance_clock();
                const bool sent = peer.send(message);
                if (!sent || i % batch == 0) {
                    handle_batch();
                }
                sent_count += sent ? 1 : 0;
            }
            CAPTURE(valid.ShortDebugString(), sent_count);
            REQUIRE(sent_count > model::walk_count() / 2);
            REQUIRE(run_until(loop, [&] {
                advance_clock();
                peer.send_heartbeat();
                return host.peers->find_live("scripted") != nullptr;
            }));
            REQUIRE(still_answers());
        }
    }
    SECTION("ignores a directory that can't be read") {
        wire::envelope message;
        message.mutable_directory_answer()->set_configuration("{");
        message.mutable_directory_answer()->add_instances()->set_port(4'000'000);
        peer.send(message);
        REQUIRE(still_answers());
    }
}

TEST_CASE("a host whose peer has a long heartbeat interval") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer peer(loop);
    constexpr std::uint32_t long_interval_ms = 60'000;
    std::optional<statement_answer> answer;
    upstream_work work = make_work();
    work.time_left = std::chrono::seconds(3);
    const auto received = [&](auto has) {
        return std::any_of(peer.received.begin(), peer.received.end(), has);
    };
    REQUIRE(run_until(loop, [&] {
        if (host.peers->find_live("scripted") == nullptr) {
            peer.send_heartbeat(long_interval_ms);
        } else if (answer || host.peers->relayed_count() == 0) {
            answer.reset();
            host.peers->run("scripted", work,
                            [&](const statement_answer& result) { answer = result; });
        }
        return received([](const auto& message) { return message.has_work(); });
    }));

    SECTION("requests a heartbeat when an answer is due") {
        REQUIRE(run_until(loop, [&] {
            return received([](const auto& message) { return message.has_beat_asked(); });
        }));
        REQUIRE_FALSE(answer);
        SECTION("and keeps waiting when one arrives") {
            peer.clock += std::chrono::seconds(1);
            peer.send_heartbeat(long_interval_ms);
            const time_point heartbeat_sent = event_loop::now();
            run_until(loop, [&] {
                return event_loop::now() - heartbeat_sent >
                       fleet::unresponsive_after + milliseconds(200);
            });
            REQUIRE_FALSE(answer);
            REQUIRE(host.peers->find_live("scripted") != nullptr);
        }
        SECTION("and considers the peer dead and its call unanswered when none arrives") {
            REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
            REQUIRE(answer->result == upstream_result::unanswered);
            REQUIRE(host.peers->find_live("scripted") == nullptr);
            REQUIRE(host.peers->presumed_host_count(event_loop::now()) == 2);
        }
    }
}
