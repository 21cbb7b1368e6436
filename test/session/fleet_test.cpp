#include "session/fleet.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

/// A host with a real bus on loopback, whose gateway a test plays.
struct bus_host {
    event_loop& loop;
    fleet_directory directory;
    std::map<std::string, lane_state, std::less<>> lanes;
    std::map<std::string, double> demands;
    std::map<std::string, known_primary> primaries;
    std::map<std::string, log_position> acknowledged;
    std::map<std::string, known_primary> learned;
    std::vector<upstream_work> works;
    std::vector<answer_handler> answers;
    std::vector<transaction_key> ended;
    std::vector<replication_command> orders;
    directory_copy known;
    std::vector<directory_copy> taken;
    std::unique_ptr<fleet> peers;

    bus_host(event_loop& on, const std::string& name, std::uint16_t port, std::uint16_t seed)
        : loop(on) {
        fleet_services services;
        services.run = [this](upstream_work work, answer_handler answered) {
            works.push_back(std::move(work));
            answers.push_back(std::move(answered));
        };
        services.end_transaction = [this](const std::string&, const transaction_key& key) {
            ended.push_back(key);
        };
        services.order = [this](const std::string&, replication_command what, std::uint64_t term,
                                const status_handler& reported) {
            orders.push_back(what);
            reported(replication_status{replication_role::replica, term, {term, 9}, 0});
        };
        services.sample = [](const std::string&, const sample_handler& sampled) {
            sampled(log_position{4, 2});
        };
        services.lanes = [this] { return lanes; };
        services.demands = [this] { return demands; };
        services.primaries = [this] { return primaries; };
        services.acknowledged = [this] { return acknowledged; };
        services.learn_primary = [this](const std::string& group, const known_primary& primary) {
            learned[group] = primary;
        };
        services.copy_directory = [this](bool) { return known; };
        services.platform_lost = [] { return true; };
        services.accept_directory = [this](const directory_copy& copy) { taken.push_back(copy); };
        peers = std::make_unique<fleet>(
            loop, fleet::identity{name, "a", {"127.0.0.1", port}, {endpoint{"127.0.0.1", seed}}},
            directory, services);
        peers->start();
    }
};

template <class Condition>
bool run_until(event_loop& loop, Condition condition) {
    const time_point limit = event_loop::now() + std::chrono::seconds(4);
    while (!condition() && event_loop::now() < limit) {
        const timer stop = loop.after(milliseconds(2), [&loop] { loop.stop(); });
        loop.run();
    }
    return condition();
}

upstream_work sound_work() {
    upstream_work work;
    work.group = "g";
    work.instance = "i";
    work.workspace = "desk";
    work.what = {statement_kind::execute, "id-1", "text", false, "name", "argument",
                 {true, "WRITE q"}};
    work.values = {{"lang", "pl"}};
    work.at_least = log_position{3, 17};
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
    bus_host first(loop, "first", 7593, 7594);
    auto second = std::make_unique<bus_host>(loop, "second", 7594, 7593);
    first.lanes["far"] = {false, {}, false};
    first.demands["desk"] = 7;
    first.primaries["g"] = {"p", 3};
    first.acknowledged["g"] = {3, 40};
    const auto heard = [&] { return second->peers->find("first") != nullptr; };
    REQUIRE(run_until(loop, [&] {
        return heard() && !second->peers->find("first")->lanes.empty() &&
               first.peers->find("second") != nullptr;
    }));

    SECTION("tell each other what they reach, want and know") {
        const fleet_peer& peer = *second->peers->find("first");
        REQUIRE_FALSE(peer.lanes.at("far").reachable);
        REQUIRE(run_until(loop, [&] { return !peer.demands.empty(); }));
        REQUIRE(peer.demands.at("desk") == Approx(7));
        REQUIRE(peer.acknowledged.at("g") == log_position{3, 40});
        REQUIRE(second->learned.at("g") == known_primary{"p", 3});
        SECTION("and what changes, with the next beat") {
            first.lanes.clear();
            first.primaries["g"] = {"q", 4};
            first.peers->beat();
            REQUIRE(run_until(
                loop, [&] { return peer.lanes.empty() && second->learned.at("g").term == 4; }));
        }
    }
    SECTION("hand over work whole, and its answer back") {
        std::optional<statement_answer> answer;
        upstream_work work = sound_work();
        work.transaction = transaction_key{"first", 5};
        first.peers->run("second", work, [&](const statement_answer& given) { answer = given; });
        REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        const upstream_work& received = second->works.front();
        REQUIRE(received.what.id == "id-1");
        REQUIRE(received.what.shape == statement_shape{true, "WRITE q"});
        REQUIRE(received.values == work.values);
        REQUIRE(received.at_least == work.at_least);
        REQUIRE(received.transaction == work.transaction);
        REQUIRE(received.opens_transaction);
        REQUIRE(received.strict);
        // Less the time on the way, which "a host whose peer's messages come late" checks.
        REQUIRE(received.time_left <= work.time_left);
        REQUIRE(received.time_left > duration(0));
        second->answers.front()({upstream_result::done, {"row"}, "signature", {3, 18}});
        REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
        REQUIRE(*answer == statement_answer{upstream_result::done, {"row"}, "signature", {3, 18}});
    }
    SECTION("ask each other for samples and reports") {
        std::optional<log_position> sampled;
        first.peers->sample("second", "g", [&](const auto& position) { sampled = position; });
        std::optional<replication_status> reported;
        first.peers->order("second", "i", replication_command::pause, 8,
                           [&](const auto& status) { reported = status; });
        REQUIRE(run_until(loop, [&] { return sampled && reported; }));
        REQUIRE(*sampled == log_position{4, 2});
        REQUIRE(reported->term == 8);
    }
    SECTION("end each other's transactions") {
        first.peers->end_transaction("second", "i", {"first", 6});
        REQUIRE(run_until(loop, [&] { return !second->ended.empty(); }));
        REQUIRE(second->ended.front() == transaction_key{"first", 6});
    }
    SECTION("help one that has lost the platform") {
        first.known = {7, "{}", 30, {}, {"b"}};
        REQUIRE(run_until(loop, [&] { return !second->taken.empty(); }));
        REQUIRE(second->taken.front() == first.known);
    }
    SECTION("count each other among the known hosts, also after one has died") {
        REQUIRE(first.peers->known_hosts(event_loop::now()) == 2);
        second.reset();
        REQUIRE(run_until(loop, [&] { return first.peers->find("second") == nullptr; }));
        REQUIRE(first.peers->known_hosts(event_loop::now()) == 2);
        REQUIRE(first.peers->known_hosts(event_loop::now() + std::chrono::seconds(31)) == 1);
    }
    SECTION("leave work unanswered, not refused, when the other dies with it") {
        std::optional<statement_answer> answer;
        first.peers->run("second", sound_work(),
                         [&](const statement_answer& given) { answer = given; });
        REQUIRE(run_until(loop, [&] { return !second->works.empty(); }));
        second.reset();
        REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
        REQUIRE(answer->result == upstream_result::unanswered);
        SECTION("and refuse what comes afterwards, which was never sent") {
            first.peers->run("second", sound_work(),
                             [&](const statement_answer& given) { answer = given; });
            REQUIRE(answer->result == upstream_result::unsent);
        }
    }
}

namespace {

constexpr std::uint16_t scripted_port = 7596;

/// A peer that a test plays message by message.
struct scripted_peer {
    std::vector<wire::envelope> received;
    peer_bus bus;
    std::uint32_t incarnation = 71;
    time_point clock{std::chrono::hours(3)};

    explicit scripted_peer(event_loop& loop)
        : bus(loop, {"127.0.0.1", scripted_port},
              [this](const wire::envelope& message) { received.push_back(message); }) {}

    bool send(wire::envelope message) {
        message.set_from("scripted");
        message.set_incarnation(incarnation);
        message.set_sent_ms(static_cast<std::uint64_t>(to_milliseconds(clock.time_since_epoch())));
        return bus.send("127.0.0.1:7593", message);
    }
    bool beat(std::uint32_t period_ms = 200, bool leaving = false) {
        wire::envelope message;
        message.mutable_fleet()->set_leaving(leaving);
        message.mutable_fleet()->set_period_ms(period_ms);
        message.mutable_fleet()->set_whole(true);
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
    bool send_order(replication_command what) {
        wire::envelope message;
        message.mutable_replication()->set_instance("i");
        message.mutable_replication()->set_order(static_cast<std::uint32_t>(what));
        return send(message);
    }
};

} // namespace

TEST_CASE("a host whose peer's messages come late") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer peer(loop);
    // Both go on by the same steps, as far as this test's messages show.
    const time_point started = event_loop::now();
    const auto at = [&](duration before) {
        peer.clock = time_point(std::chrono::hours(3)) + (event_loop::now() - started) - before;
    };
    REQUIRE(run_until(loop, [&] {
        at(duration(0));
        peer.beat();
        return host.peers->find("scripted") != nullptr;
    }));
    int sentinels = 0;
    const auto sentinel_arrives = [&] {
        const std::string id = "fresh " + std::to_string(++sentinels);
        at(duration(0));
        peer.send_work(id);
        return run_until(loop,
                         [&] { return !host.works.empty() && host.works.back().what.id == id; });
    };

    SECTION("runs no statement that its caller has given up") {
        at(std::chrono::seconds(9));
        peer.send_work("late");
        REQUIRE(sentinel_arrives());
        REQUIRE(host.works.size() == 1);
    }
    SECTION("takes the time on the way off the time that a statement has left") {
        at(milliseconds(500));
        peer.send_work("half late");
        REQUIRE(sentinel_arrives());
        REQUIRE(host.works.size() == 2);
        REQUIRE(host.works.front().time_left < milliseconds(350));
    }
    SECTION("gives no order that is long void, as to resume") {
        at(std::chrono::seconds(9));
        peer.send_order(replication_command::resume);
        REQUIRE(sentinel_arrives());
        REQUIRE(host.orders.empty());
    }
    SECTION("believes no beat that a cut held up") {
        at(std::chrono::seconds(9));
        peer.beat(200, true);
        REQUIRE(sentinel_arrives());
        REQUIRE_FALSE(host.peers->find("scripted")->leaving);
    }
    SECTION("takes no sign of life from what a cut held up") {
        REQUIRE(run_until(loop, [&] { return host.peers->find("scripted") == nullptr; }));
        at(std::chrono::seconds(9));
        wire::envelope late;
        late.mutable_end()->set_transaction(3);
        peer.send(late);
        REQUIRE(run_until(loop, [&] { return !host.ended.empty(); }));
        REQUIRE(host.peers->find("scripted") == nullptr);
    }
    SECTION("listens to no earlier start of the peer once it has heard a later one") {
        peer.incarnation = 72;
        at(duration(0));
        peer.beat();
        REQUIRE(sentinel_arrives());
        peer.incarnation = 71;
        peer.send_work("of the earlier start");
        peer.incarnation = 72;
        REQUIRE(sentinel_arrives());
        for (const auto& work : host.works) {
            REQUIRE(work.what.id.starts_with("fresh"));
        }
    }
    SECTION("takes no answer to what an earlier start of itself had asked") {
        std::optional<statement_answer> answer;
        const auto asked = [&] {
            const auto& got = peer.received;
            return std::any_of(got.begin(), got.end(),
                               [](const auto& message) { return message.has_work(); });
        };
        // The first calls find no connection yet and are refused.
        REQUIRE(run_until(loop, [&] {
            if (answer || !host.peers->relayed()) {
                answer.reset();
                host.peers->run("scripted", sound_work(),
                                [&](const statement_answer& given) { answer = given; });
            }
            return asked();
        }));
        answer.reset();
        wire::envelope stray;
        for (std::uint64_t id = 1; id <= 100; ++id) {
            stray.mutable_work_answer()->set_id(id);
            peer.send(stray);
        }
        REQUIRE(sentinel_arrives());
        REQUIRE_FALSE(answer);
    }
}

TEST_CASE("a host whose peer beats rarely") {
    event_loop loop;
    bus_host host(loop, "first", 7593, scripted_port);
    scripted_peer peer(loop);
    constexpr std::uint32_t rarely_ms = 60'000;
    std::optional<statement_answer> answer;
    upstream_work work = sound_work();
    work.time_left = std::chrono::seconds(3);
    const auto received = [&](auto has) {
        return std::any_of(peer.received.begin(), peer.received.end(), has);
    };
    REQUIRE(run_until(loop, [&] {
        if (host.peers->find("scripted") == nullptr) {
            peer.beat(rarely_ms);
        } else if (answer || host.peers->relayed() == 0) {
            answer.reset();
            host.peers->run("scripted", work,
                            [&](const statement_answer& given) { answer = given; });
        }
        return received([](const auto& message) { return message.has_work(); });
    }));

    SECTION("asks it for a sign of life when an answer is due") {
        REQUIRE(run_until(loop, [&] {
            return received([](const auto& message) { return message.has_beat_asked(); });
        }));
        REQUIRE_FALSE(answer);
        SECTION("and waits on when it gives one") {
            peer.clock += std::chrono::seconds(1);
            peer.beat(rarely_ms);
            const time_point beaten = event_loop::now();
            run_until(loop, [&] {
                return event_loop::now() - beaten > fleet::unanswered_silence + milliseconds(200);
            });
            REQUIRE_FALSE(answer);
            REQUIRE(host.peers->find("scripted") != nullptr);
        }
        SECTION("and takes it for dead, its call for unanswered, when it gives none") {
            REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
            REQUIRE(answer->result == upstream_result::unanswered);
            REQUIRE(host.peers->find("scripted") == nullptr);
            REQUIRE(host.peers->known_hosts(event_loop::now()) == 2);
        }
    }
}
