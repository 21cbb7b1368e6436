#include "session/fleet.hpp"

#include "peer.pb.h"
#include "runtime/log.hpp"
#include "session/fleet_messages.hpp"

#include <random>
#include <set>

namespace bronzeplank {

namespace {

// How often calls are checked against their limits.
constexpr std::chrono::milliseconds sweep_period{50};
// Orders and samples are small; a gateway that needs longer is no help.
constexpr std::chrono::milliseconds small_call_limit{500};
// The platform tells of a change within some ten milliseconds when it can.
constexpr std::chrono::milliseconds platform_patience{300};
// Two short beats between whole ones: demand that is 600 ms old still divides a rate well.
constexpr int beats_between_whole = 2;
// Shorter waits move no read elsewhere.
constexpr std::chrono::milliseconds shortest_told_wait{2};
// In percent; single failures move no read elsewhere.
constexpr std::uint32_t least_told_failing = 3;
// Less than one operation in two seconds claims no part of a rate.
constexpr double least_told_demand = 0.5;
// A relayed statement's answer may take as long as its own limit and a round trip.
constexpr std::chrono::milliseconds relay_slack{50};
// A beat that was held up for longer says nothing about now. Hosts with little processor time may
// take half a second to read one.
constexpr std::chrono::milliseconds beat_counts{1000};
// Most statements are answered within this time.
constexpr std::chrono::milliseconds doubted_after{250};
// Beats that tell of news at once keep this distance.
constexpr std::chrono::milliseconds least_beat_distance{50};
// With longer periods every beat is whole.
constexpr std::chrono::milliseconds whole_beat_period{600};
// How often peers' versions of the directory are compared with this host's.
constexpr std::chrono::milliseconds directory_period{200};
// How late a beat may be.
constexpr std::chrono::milliseconds tick_period{50};
// A million calls fit between two neighbouring incarnations.
constexpr unsigned first_call_shift = 20;

std::uint32_t new_incarnation() {
    std::random_device device;
    std::uint32_t value = 0;
    while (value == 0) {
        value = device();
    }
    return value;
}

std::set<std::string> cut_off_instances(const fleet_peer& peer) {
    std::set<std::string> found;
    for (const auto& [instance, lane] : peer.lanes) {
        if (!lane.reachable) {
            found.insert(instance);
        }
    }
    return found;
}

} // namespace

fleet::fleet(event_loop& loop, identity self, fleet_directory& directory, fleet_services services)
    : m_loop(loop), m_self(std::move(self)), m_directory(directory),
      m_services(std::move(services)), m_incarnation(new_incarnation()),
      m_started(event_loop::now()),
      // Calls of two starts of a host share no numbers, so that an answer can't reach the wrong
      // one.
      m_next_call((static_cast<std::uint64_t>(m_incarnation) << first_call_shift) + 1),
      m_bus(loop, m_self.peers, [this](const wire::envelope& message) { receive(message); }) {}

void fleet::start() {
    tick();
    sweep(event_loop::now());
}

fleet::~fleet() = default;

std::vector<const fleet_peer*> fleet::live(time_point now) const {
    std::vector<const fleet_peer*> found;
    for (const auto& [name, peer] : m_peers) {
        if (peer.alive(now)) {
            found.push_back(&peer);
        }
    }
    return found;
}

// Hosts that were registered after this one looked are known by their beats only.
std::size_t fleet::known_hosts(time_point now) const {
    std::set<std::string> known{m_self.host};
    for (const auto& [name, host] : m_directory.hosts()) {
        if (now - m_started < gone_after) {
            known.insert(name);
        }
    }
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.heard < gone_after) {
            known.insert(name);
        }
    }
    return known.size();
}

const fleet_peer* fleet::find(const std::string& host) const {
    const auto found = m_peers.find(host);
    const bool lives = found != m_peers.end() && found->second.alive(event_loop::now());
    return lives ? &found->second : nullptr;
}

std::uint64_t fleet::expect(const std::string& host, duration limit, call handlers) {
    handlers.host = host;
    handlers.sent = event_loop::now();
    handlers.limit = handlers.sent + limit;
    m_calls.emplace(m_next_call, std::move(handlers));
    return m_next_call++;
}

bool fleet::send(const std::string& host, wire::envelope& message) {
    const auto found = m_peers.find(host);
    if (found == m_peers.end()) {
        return false;
    }
    sign(message);
    return m_bus.send(found->second.address, message);
}

void fleet::sign(wire::envelope& message) const {
    message.set_from(m_self.host);
    message.set_incarnation(m_incarnation);
    const auto now = to_milliseconds(event_loop::now().time_since_epoch());
    message.set_sent_ms(static_cast<std::uint64_t>(now));
}

void fleet::run(const std::string& host, const upstream_work& work, answer_handler answered) {
    wire::envelope message;
    write_work(work, *message.mutable_work());
    message.mutable_work()->set_id(m_next_call);
    if (find(host) == nullptr || !send(host, message)) {
        answered({upstream_result::unsent, {}, {}, {}});
        return;
    }
    ++m_relayed;
    expect(host, work.time_left + relay_slack,
           {{}, {}, {}, false, std::move(answered), nullptr, nullptr});
}

void fleet::end_transaction(const std::string& host, const std::string& instance,
                            const transaction_key& key) {
    wire::envelope message;
    message.mutable_end()->set_instance(instance);
    message.mutable_end()->set_transaction(key.number);
    // A gateway that misses this rolls the transaction back when it has rested for too long.
    send(host, message);
}

void fleet::order(const std::string& host, const std::string& instance, replication_order what,
                  std::uint64_t term, status_handler reported) {
    wire::envelope message;
    auto* asked = message.mutable_replication();
    asked->set_id(m_next_call);
    asked->set_instance(instance);
    asked->set_order(static_cast<std::uint32_t>(what));
    asked->set_term(term);
    if (find(host) == nullptr || !send(host, message)) {
        reported(std::nullopt);
        return;
    }
    expect(host, small_call_limit, {{}, {}, {}, false, nullptr, std::move(reported), nullptr});
}

void fleet::sample(const std::string& host, const std::string& group, sample_handler sampled) {
    wire::envelope message;
    message.mutable_sample()->set_id(m_next_call);
    message.mutable_sample()->set_group(group);
    if (find(host) == nullptr || !send(host, message)) {
        sampled(std::nullopt);
        return;
    }
    expect(host, small_call_limit, {{}, {}, {}, false, nullptr, nullptr, std::move(sampled)});
}

// Whether it is not too late for the message to be of use, or to do no harm.
bool fleet::acts_on(const wire::envelope& message, duration late) {
    switch (message.payload_case()) {
    case wire::envelope::kFleet:
        return late < beat_counts;
    case wire::envelope::kWork:
        return late < duration(message.work().time_left_us());
    case wire::envelope::kReplication:
    case wire::envelope::kSample:
        return late < small_call_limit;
    default:
        return true;
    }
}

void fleet::receive(const wire::envelope& message) {
    const time_point sent{std::chrono::milliseconds(message.sent_ms())};
    const auto late =
        m_sources[message.from()].excess_delay(message.incarnation(), sent, event_loop::now());
    if (!late || !acts_on(message, *late)) {
        ++m_dropped;
        log(log_event::peer_message_dropped,
            {{"host", message.from()},
             {"kind", std::to_string(message.payload_case())},
             {"late_ms", late ? std::to_string(to_milliseconds(*late)) : "of an earlier start"}});
        return;
    }
    // Any message is a sign of life.
    if (const auto peer = m_peers.find(message.from());
        peer != m_peers.end() && peer->second.incarnation == message.incarnation() &&
        *late < beat_counts) {
        peer->second.heard = event_loop::now();
        peer->second.owes_answer = false;
    }
    switch (message.payload_case()) {
    case wire::envelope::kFleet:
        hear(message.from(), message.incarnation(), message.fleet());
        break;
    case wire::envelope::kWork:
        serve_work(message.from(), message, *late);
        break;
    case wire::envelope::kEnd:
        m_services.end_transaction(message.end().instance(),
                                   {message.from(), message.end().transaction()});
        break;
    case wire::envelope::kReplication:
        serve_order(message.from(), message);
        break;
    case wire::envelope::kSample:
        serve_sample(message.from(), message);
        break;
    case wire::envelope::kDirectory:
        serve_directory(message.from());
        break;
    case wire::envelope::kBeatAsked:
        beat_to(message.from());
        break;
    case wire::envelope::kDirectoryAnswer:
        take_directory(message);
        break;
    default:
        finish(message);
    }
}

void fleet::serve_work(const std::string& from, const wire::envelope& message, duration late) {
    const std::uint64_t id = message.work().id();
    upstream_work work = read_work(from, message.work());
    work.time_left -= late;
    work.objective_left = std::max(duration(0), work.objective_left - late);
    m_services.run(std::move(work), [this, from, id](const statement_answer& answer) {
        wire::envelope reply;
        reply.mutable_work_answer()->set_id(id);
        write_answer(answer, *reply.mutable_work_answer());
        send(from, reply);
    });
}

void fleet::serve_order(const std::string& from, const wire::envelope& message) {
    const auto& asked = message.replication();
    m_services.order(
        asked.instance(), static_cast<replication_order>(asked.order()), asked.term(),
        [this, from, id = asked.id()](const std::optional<replication_status>& status) {
            wire::envelope reply;
            reply.mutable_replication_answer()->set_id(id);
            write_report(status, *reply.mutable_replication_answer());
            send(from, reply);
        });
}

void fleet::serve_sample(const std::string& from, const wire::envelope& message) {
    m_services.sample(message.sample().group(), [this, from, id = message.sample().id()](
                                                    const std::optional<log_position>& position) {
        wire::envelope reply;
        auto* written = reply.mutable_sample_answer();
        written->set_id(id);
        written->set_verified(position.has_value());
        if (position) {
            written->set_term(position->term);
            written->set_offset(position->offset);
        }
        send(from, reply);
    });
}

void fleet::serve_directory(const std::string& from) {
    wire::envelope reply;
    write_directory(m_services.copy_directory(true), *reply.mutable_directory_answer());
    send(from, reply);
}

void fleet::take_directory(const wire::envelope& message) {
    m_services.accept_directory(read_directory(message.directory_answer()));
}

// The platform's own word comes first; peers are asked when it does not come.
void fleet::ask_for_directory(time_point now) {
    const directory_copy own = m_services.copy_directory(false);
    const bool lost = m_services.platform_lost();
    const fleet_peer* newest = nullptr;
    for (const fleet_peer* peer : live(now)) {
        const bool newer = peer->configuration_version > own.configuration_version ||
                           (lost && peer->list_revision > own.list_revision);
        if (newer && (newest == nullptr || peer->list_revision > newest->list_revision)) {
            newest = peer;
        }
    }
    if (newest == nullptr) {
        m_behind_since.reset();
        return;
    }
    if (!m_behind_since) {
        m_behind_since = now;
    } else if (now - *m_behind_since >= platform_patience) {
        m_behind_since = now;
        wire::envelope message;
        message.mutable_directory();
        send(newest->host, message);
    }
}

void fleet::finish(const wire::envelope& message) {
    const auto take = [this](std::uint64_t id) {
        const auto found = m_calls.find(id);
        call taken;
        if (found != m_calls.end()) {
            taken = std::move(found->second);
            m_calls.erase(found);
        }
        return taken;
    };
    if (message.has_work_answer()) {
        const auto& read = message.work_answer();
        if (const auto waiting = take(read.id()); waiting.answered) {
            waiting.answered(read_answer(read));
        }
    } else if (message.has_replication_answer()) {
        const auto& read = message.replication_answer();
        if (const auto waiting = take(read.id()); waiting.reported) {
            waiting.reported(read_report(read));
        }
    } else if (message.has_sample_answer()) {
        const auto& read = message.sample_answer();
        if (const auto waiting = take(read.id()); waiting.sampled) {
            const log_position position{read.term(), read.offset()};
            waiting.sampled(read.verified() ? std::optional(position) : std::nullopt);
        }
    }
}

void fleet::hear(const std::string& from, std::uint32_t incarnation, const wire::fleet_beat& beat) {
    const auto known = m_peers.find(from);
    // A beat that is not whole does not say where its sender listens.
    if (from == m_self.host || (known == m_peers.end() && !beat.whole())) {
        return;
    }
    fleet_peer& peer = m_peers[from];
    const bool started_again = peer.incarnation != 0 && peer.incarnation != incarnation;
    if (peer.incarnation != incarnation) {
        log(log_event::peer_joined, {{"host", from}, {"address", beat.peer_address()}});
        m_next_whole = 0;
        beat_soon();
    }
    const auto cut_off_before = cut_off_instances(peer);
    m_view += peer.leaving != beat.leaving() || !peer.lives ? 1 : 0;
    peer.host = from;
    peer.incarnation = incarnation;
    peer.lives = true;
    peer.leaving = beat.leaving();
    peer.configuration_version = beat.configuration_version();
    peer.list_revision = beat.list_revision();
    peer.heard = event_loop::now();
    peer.owes_answer = false;
    const duration told_period = std::chrono::milliseconds(beat.period_ms());
    peer.silence = heartbeat_timeout_for(std::max<duration>(told_period, min_heartbeat_interval));
    peer.lanes.clear();
    for (const auto& lane : beat.lanes()) {
        peer.lanes[lane.instance()] = {lane.reachable(),
                                       duration(static_cast<std::int64_t>(lane.wait_us())),
                                       lane.stalled(), lane.failing_percent() / 100.0};
    }
    m_view += cut_off_instances(peer) != cut_off_before ? 1 : 0;
    for (const auto& newest : beat.acknowledged()) {
        peer.acknowledged[newest.group()] = {newest.term(), newest.offset()};
    }
    for (const auto& primary : beat.primaries()) {
        m_services.learn_primary(primary.group(), {primary.instance(), primary.term()});
    }
    if (beat.whole()) {
        hear_whole(peer, beat);
    }
    if (started_again) {
        fail_calls_to(from);
    }
}

void fleet::hear_whole(fleet_peer& peer, const wire::fleet_beat& beat) {
    if (peer.address != beat.peer_address() && !peer.address.empty()) {
        m_bus.forget(peer.address);
    }
    peer.address = beat.peer_address();
    peer.failure_domain = beat.failure_domain();
    peer.demands.clear();
    for (const auto& demand : beat.demands()) {
        peer.demands[demand.workspace()] = demand.per_second();
    }
}

void fleet::fail(const call& failed, upstream_result result) {
    if (failed.answered) {
        failed.answered({result, {}, {}, {}});
    }
    if (failed.reported) {
        failed.reported(std::nullopt);
    }
    if (failed.sampled) {
        failed.sampled(std::nullopt);
    }
}

void fleet::fail_calls_to(const std::string& host) {
    std::vector<call> failed;
    std::erase_if(m_calls, [&](auto& entry) {
        const bool matches = entry.second.host == host;
        if (matches) {
            failed.push_back(std::move(entry.second));
        }
        return matches;
    });
    for (const auto& entry : failed) {
        fail(entry, upstream_result::unanswered);
    }
}

void fleet::look_who_lives(time_point now) {
    for (auto& [name, peer] : m_peers) {
        const bool lives = peer.alive(now);
        m_view += lives != peer.lives ? 1 : 0;
        peer.lives = lives;
    }
}

// Beats of a large fleet are rare: a peer that owes an answer and has said nothing since is asked
// for a sign of life, and counts as dead when that does not come either.
void fleet::doubt_silent_peers(time_point now) {
    for (auto& [id, waiting] : m_calls) {
        const auto found = m_peers.find(waiting.host);
        if (found == m_peers.end() || found->second.heard >= waiting.sent) {
            continue;
        }
        const duration waited = now - waiting.sent;
        if (waited >= unanswered_silence) {
            found->second.owes_answer = true;
        } else if (waited >= doubted_after && !waiting.doubted) {
            waiting.doubted = true;
            wire::envelope message;
            message.mutable_beat_asked();
            send(waiting.host, message);
        }
    }
}

void fleet::sweep(time_point now) {
    doubt_silent_peers(now);
    look_who_lives(now);
    std::vector<call> failed;
    std::erase_if(m_calls, [&](auto& entry) {
        const bool late = entry.second.limit <= now || find(entry.second.host) == nullptr;
        if (late) {
            failed.push_back(std::move(entry.second));
        }
        return late;
    });
    for (const auto& entry : failed) {
        fail(entry, upstream_result::unanswered);
    }
    m_sweep = m_loop.after(sweep_period, [this] { sweep(event_loop::now()); });
}

std::set<std::string> fleet::addresses() const {
    std::set<std::string> known;
    for (const auto& seed : m_self.known_peers) {
        known.insert(seed.to_text());
    }
    for (const auto& [name, host] : m_directory.hosts()) {
        known.insert(host.peers.to_text());
    }
    for (const auto& [name, peer] : m_peers) {
        if (peer.lives) {
            known.insert(peer.address);
        }
    }
    known.erase(m_self.peers.to_text());
    return known;
}

int fleet::unreachable_from(const std::string& instance) const {
    if (m_unreachable_view != m_view) {
        m_unreachable_view = m_view;
        m_unreachable.clear();
        for (const auto& [name, peer] : m_peers) {
            for (const auto& [id, lane] : peer.lanes) {
                m_unreachable[id] += peer.lives && !lane.reachable ? 1 : 0;
            }
        }
    }
    const auto found = m_unreachable.find(instance);
    return found == m_unreachable.end() ? 0 : found->second;
}

void fleet::beat() {
    const time_point now = event_loop::now();
    m_beaten = now;
    m_next_beat = now + period();
    const bool whole = m_next_whole == 0 || period() >= whole_beat_period;
    m_next_whole = m_next_whole == 0 ? beats_between_whole : m_next_whole - 1;
    wire::envelope message;
    write_beat(message, whole);
    m_bus.send_all(addresses(), message);
}

// Whole, since it is asked for by one that may have missed others.
void fleet::beat_to(const std::string& host) {
    wire::envelope message;
    write_beat(message, true);
    send(host, message);
}

void fleet::beat_soon() {
    m_next_beat = std::min(m_next_beat, event_loop::now() + least_beat_distance);
}

duration fleet::period() const {
    std::size_t hosts = 1;
    for (const auto& [name, peer] : m_peers) {
        hosts += peer.lives ? 1 : 0;
    }
    return heartbeat_interval_for(hosts);
}

void fleet::write_beat(wire::envelope& message, bool whole) {
    sign(message);
    auto* beat = message.mutable_fleet();
    beat->set_leaving(m_leaving);
    beat->set_period_ms(static_cast<std::uint32_t>(to_milliseconds(period())));
    const directory_copy own = m_services.copy_directory(false);
    beat->set_configuration_version(own.configuration_version);
    beat->set_list_revision(own.list_revision);
    beat->set_whole(whole);
    for (const auto& [instance, state] : m_services.lanes()) {
        const auto failing = static_cast<std::uint32_t>(state.failing * 100);
        if (state.reachable && !state.stalled && state.wait < shortest_told_wait &&
            failing < least_told_failing) {
            continue;
        }
        auto* lane = beat->add_lanes();
        lane->set_instance(instance);
        lane->set_reachable(state.reachable);
        lane->set_stalled(state.stalled);
        lane->set_failing_percent(failing);
        lane->set_wait_us(
            static_cast<std::uint64_t>(std::max<duration::rep>(0, state.wait.count())));
    }
    write_changes(*beat);
    if (beat->whole()) {
        beat->set_failure_domain(m_self.failure_domain);
        beat->set_peer_address(m_self.peers.to_text());
        for (const auto& [workspace, per_second] : m_services.demands()) {
            if (per_second >= least_told_demand) {
                auto* demand = beat->add_demands();
                demand->set_workspace(workspace);
                demand->set_per_second(static_cast<float>(per_second));
            }
        }
    }
}

void fleet::write_changes(wire::fleet_beat& beat) {
    const auto primaries = m_services.primaries();
    for (const auto& [group, primary] : primaries) {
        const auto told = m_told_primaries.find(group);
        if (beat.whole() || told == m_told_primaries.end() || told->second != primary) {
            auto* view = beat.add_primaries();
            view->set_group(group);
            view->set_instance(primary.instance);
            view->set_term(primary.term);
        }
    }
    m_told_primaries = primaries;
    const auto acknowledged = m_services.acknowledged();
    for (const auto& [group, position] : acknowledged) {
        const auto told = m_told_acknowledged.find(group);
        if (beat.whole() || told == m_told_acknowledged.end() || told->second != position) {
            auto* newest = beat.add_acknowledged();
            newest->set_group(group);
            newest->set_term(position.term);
            newest->set_offset(position.offset);
        }
    }
    m_told_acknowledged = acknowledged;
}

void fleet::tick() {
    const time_point now = event_loop::now();
    if (now >= m_next_beat) {
        beat();
    }
    if (now - m_directory_asked >= directory_period) {
        m_directory_asked = now;
        ask_for_directory(now);
    }
    m_tick = m_loop.after(tick_period, [this] { tick(); });
}

void fleet::leave() {
    m_leaving = true;
    beat();
}

} // namespace bronzeplank
