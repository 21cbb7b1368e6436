#include "session/fleet.hpp"

#include "bronzeplank/error.hpp"
#include "bronzeplank/relay_election.hpp"
#include "peer.pb.h"
#include "runtime/log.hpp"
#include "session/fleet_messages.hpp"
#include "session/fleet_relays.hpp"

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <tuple>

namespace bronzeplank {

namespace {

// How often the deadlines of calls and the liveness of peers are checked.
constexpr std::chrono::milliseconds sweep_interval{50};
// How long the platform has to deliver an update before it is requested from a peer. A reachable
// platform delivers within some 10 ms.
constexpr std::chrono::milliseconds platform_update_grace{300};
// The response to a forwarded statement may take the statement's own timeout and a round trip.
constexpr std::chrono::milliseconds relay_round_trip_margin{50};
// A gateway refuses a queued statement this long before the calling host stops waiting, so that the
// refusal arrives in time: a pool checks its queue every 25 ms, and a host short of CPU time may
// take some 50 ms to pass the answer on.
constexpr std::chrono::milliseconds queue_refusal_margin{100};
// The margin takes at most this part of a statement's time.
constexpr int refusal_margin_divisor = 4;
// A gateway that has not answered is told to drop the statement this long before the call fails.
constexpr std::chrono::milliseconds drop_lead_time{100};
// A heartbeat that was delayed for longer says nothing about the present state. Hosts short of
// CPU time may take half a second to read one.
constexpr std::chrono::milliseconds max_heartbeat_delay{1000};
// How often the directory versions that peers report are compared with the local ones.
constexpr std::chrono::milliseconds directory_check_interval{200};
// Heartbeats are sent up to this late.
constexpr std::chrono::milliseconds tick_interval{50};
// The first message to an address and the first one back are lost if there is no connection yet.
constexpr std::size_t directory_requests_per_peer = 3;
// Leaves a million call ids between two neighboring incarnations.
constexpr unsigned call_id_incarnation_shift = 20;

std::uint32_t new_incarnation() {
    std::random_device device;
    std::uint32_t value = 0;
    while (value == 0) {
        value = device();
    }
    return value;
}

} // namespace

fleet::fleet(event_loop& loop, identity self, fleet_directory& directory, fleet_callbacks callbacks)
    : m_loop(loop), m_self(std::move(self)), m_directory(directory),
      m_callbacks(std::move(callbacks)), m_incarnation(new_incarnation()),
      m_started(event_loop::now()),
      // Two incarnations of a host use distinct call ids, so that a response can't complete a call
      // of the wrong one.
      m_next_call((static_cast<std::uint64_t>(m_incarnation) << call_id_incarnation_shift) + 1),
      m_relays(relays_heartbeats(m_self.regions) ? std::make_unique<fleet_relays>() : nullptr),
      m_bus(loop, m_self.peer_endpoint,
            [this](const wire::envelope& message) { receive(message); }) {
    // All hosts have to order gateways by the same numbers.
    m_self.resources = as_announced(m_self.resources);
}

void fleet::start() {
    tick();
    sweep(event_loop::now());
}

fleet::~fleet() = default;

std::vector<const fleet_peer*> fleet::live_peers(time_point now) const {
    std::vector<const fleet_peer*> found;
    for (const auto& [name, peer] : m_peers) {
        if (peer.alive(now)) {
            found.push_back(&peer);
        }
    }
    return found;
}

std::size_t fleet::live_host_count(time_point now) const {
    const auto live = std::count_if(m_peers.begin(), m_peers.end(),
                                    [&](const auto& entry) { return entry.second.alive(now); });
    return static_cast<std::size_t>(live) + 1;
}

std::size_t fleet::live_host_index(time_point now) const {
    const auto before = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.first < m_self.host && entry.second.alive(now);
    });
    return static_cast<std::size_t>(before);
}

// Includes registered hosts that have never sent a heartbeat, for `host_retention` after the start:
// they may be running on the other side of a partition. Hosts that registered after the list was
// last read, and all hosts later on, count by their heartbeats only.
std::size_t fleet::presumed_host_count(time_point now) const {
    std::set<std::string> known{m_self.host};
    for (const auto& [name, host] : m_directory.hosts()) {
        if (now - m_started < host_retention) {
            known.insert(name);
        }
    }
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.last_heard() < host_retention) {
            known.insert(name);
        }
    }
    return known.size();
}

std::vector<std::string> fleet::relays_of(const std::string& failure_domain, time_point now) const {
    std::vector<relay_candidate> candidates;
    for (const auto& [name, peer] : m_peers) {
        if (peer.failure_domain == failure_domain && peer.alive(now) && !peer.leaving &&
            peer.platform_reachable) {
            candidates.push_back({name, relative_capacity(peer.resources)});
        }
    }
    if (failure_domain == m_self.failure_domain && !m_leaving &&
        !m_callbacks.platform_unreachable()) {
        candidates.push_back({m_self.host, relative_capacity(m_self.resources)});
    }
    return choose_relays(std::move(candidates), relays_per_domain);
}

bool fleet::follows_relay(time_point now) const {
    if (live_host_count(now) <= max_hosts_without_relays) {
        return false;
    }
    const auto relays = relays_of(m_self.failure_domain, now);
    return !relays.empty() && std::find(relays.begin(), relays.end(), m_self.host) == relays.end();
}

std::size_t fleet::relay_count(time_point now) const {
    std::map<std::string, std::size_t> hosts_by_domain{{m_self.failure_domain, 1}};
    for (const fleet_peer* peer : live_peers(now)) {
        ++hosts_by_domain[peer->failure_domain];
    }
    std::size_t relays = 0;
    for (const auto& [domain, hosts] : hosts_by_domain) {
        relays += std::min(hosts, relays_per_domain);
    }
    return relays;
}

void fleet::send_directory_change(const directory_snapshot& snapshot) {
    wire::envelope message;
    set_sender(message);
    write_directory(snapshot, *message.mutable_directory_change());
    std::set<std::string> addresses;
    for (const fleet_peer* peer : live_peers(event_loop::now())) {
        if (peer->failure_domain == m_self.failure_domain) {
            addresses.insert(peer->address);
        }
    }
    m_bus.send_all(addresses, message);
}

const fleet_peer* fleet::find_live(const std::string& host) const {
    const auto found = m_peers.find(host);
    const bool alive = found != m_peers.end() && found->second.alive(event_loop::now());
    return alive ? &found->second : nullptr;
}

std::uint64_t fleet::register_call(const std::string& host, duration timeout, call handlers) {
    handlers.host = host;
    handlers.sent_at = event_loop::now();
    handlers.deadline = handlers.sent_at + timeout;
    m_calls.emplace(m_next_call, std::move(handlers));
    return m_next_call++;
}

void fleet::send_usage(const std::string& host, const usage_update& update) {
    wire::envelope message;
    write_usage(update, *message.mutable_usage());
    send(host, message);
}

bool fleet::send(const std::string& host, wire::envelope& message) {
    const auto found = m_peers.find(host);
    if (found == m_peers.end()) {
        return false;
    }
    set_sender(message);
    if (const auto heard = m_heard.find(host); heard != m_heard.end()) {
        message.set_heard_ms(heard->second.sent_ms);
        message.set_heard_incarnation(heard->second.incarnation);
        message.set_heard_age_ms(static_cast<std::uint32_t>(
            to_milliseconds(event_loop::now() - heard->second.received)));
    }
    return m_bus.send(found->second.address, message);
}

void fleet::set_sender(wire::envelope& message) const {
    message.set_from(m_self.host);
    message.set_incarnation(m_incarnation);
    const auto now = to_milliseconds(event_loop::now().time_since_epoch());
    message.set_sent_ms(static_cast<std::uint64_t>(now));
}

void fleet::run(const std::string& host, const upstream_work& work, answer_handler on_answer) {
    wire::envelope message;
    write_work(work, *message.mutable_work());
    message.mutable_work()->set_id(m_next_call);
    if (find_live(host) == nullptr || !send(host, message)) {
        on_answer({upstream_result::unsent, {}, {}, {}});
        return;
    }
    ++m_relayed_count;
    const duration timeout = work.time_left + relay_round_trip_margin;
    call handlers{{}, {}, {}, false, std::move(on_answer), nullptr, nullptr};
    if (work.key.number != 0) {
        handlers.instance = work.instance;
        handlers.work = work.key;
        handlers.drop_at = event_loop::now() + std::max(timeout / 2, timeout - drop_lead_time);
    }
    register_call(host, timeout, std::move(handlers));
}

void fleet::drop_work(const std::string& host, const std::string& instance, const work_key& key) {
    wire::envelope message;
    message.mutable_drop()->set_instance(instance);
    message.mutable_drop()->set_number(key.number);
    // Not retried: a gateway that misses this refuses the work when it expires.
    send(host, message);
}

void fleet::drop_overdue_work(time_point now) {
    for (auto& [id, waiting] : m_calls) {
        if (waiting.drop_at && *waiting.drop_at <= now) {
            waiting.drop_at.reset();
            drop_work(waiting.host, waiting.instance, waiting.work);
        }
    }
}

void fleet::end_transaction(const std::string& host, const std::string& instance,
                            const transaction_key& key) {
    wire::envelope message;
    message.mutable_end()->set_instance(instance);
    message.mutable_end()->set_transaction(key.number);
    // Not retried: a gateway that misses this rolls the transaction back at its idle timeout.
    send(host, message);
}

void fleet::send_command(const std::string& host, const std::string& instance,
                         replication_command command, std::uint64_t term,
                         status_handler on_status) {
    wire::envelope message;
    auto* request = message.mutable_replication();
    request->set_id(m_next_call);
    request->set_instance(instance);
    request->set_order(static_cast<std::uint32_t>(command));
    request->set_term(term);
    if (find_live(host) == nullptr || !send(host, message)) {
        on_status(std::nullopt);
        return;
    }
    register_call(host, control_call_timeout,
                  {{}, {}, {}, false, nullptr, std::move(on_status), nullptr});
}

void fleet::request_verified_position(const std::string& host, const std::string& group,
                                      verified_position_handler on_position) {
    wire::envelope message;
    message.mutable_sample()->set_id(m_next_call);
    message.mutable_sample()->set_group(group);
    if (find_live(host) == nullptr || !send(host, message)) {
        on_position(std::nullopt);
        return;
    }
    register_call(host, control_call_timeout,
                  {{}, {}, {}, false, nullptr, nullptr, std::move(on_position)});
}

// Whether the message is recent enough to be acted on: nobody waits for the result of an expired
// request, and an expired replication command may contradict a later one.
bool fleet::is_timely(const wire::envelope& message, duration delay) {
    switch (message.payload_case()) {
    case wire::envelope::kFleet:
    case wire::envelope::kDigest:
        return delay < max_heartbeat_delay;
    case wire::envelope::kWork:
        return delay < duration(message.work().time_left_us());
    case wire::envelope::kReplication: {
        // The excess delay says nothing if all messages of the peer were held up.
        const time_point sent{std::chrono::milliseconds(message.sent_ms())};
        const auto max_delay =
            m_incarnation_filters[message.from()].delays().max_delay(sent, event_loop::now());
        return max_delay && std::max(*max_delay, delay) < control_call_timeout;
    }
    case wire::envelope::kSample:
        return delay < control_call_timeout;
    default:
        return true;
    }
}

// The message was sent after one of this host's, which the peer had had for some time.
void fleet::record_round_trip(const wire::envelope& message, time_point sent, time_point received) {
    if (message.heard_incarnation() != m_incarnation) {
        return;
    }
    const time_point heard{std::chrono::milliseconds(message.heard_ms())};
    const duration age = std::chrono::milliseconds(message.heard_age_ms());
    m_incarnation_filters[message.from()].delays().record_round_trip(
        sent, received, std::max(duration(0), received - heard - age));
}

void fleet::receive(const wire::envelope& message) {
    const time_point sent{std::chrono::milliseconds(message.sent_ms())};
    const time_point now = event_loop::now();
    const auto delay =
        m_incarnation_filters[message.from()].excess_delay(message.incarnation(), sent, now);
    if (delay) {
        record_round_trip(message, sent, now);
        heard_message& heard = m_heard[message.from()];
        if (heard.incarnation != message.incarnation() || heard.sent_ms <= message.sent_ms()) {
            heard = {message.incarnation(), message.sent_ms(), now};
        }
    }
    if (!delay || !is_timely(message, *delay)) {
        ++m_dropped_count;
        log(log_event::peer_message_dropped,
            {{"host", message.from()},
             {"kind", std::to_string(message.payload_case())},
             {"late_ms",
              delay ? std::to_string(to_milliseconds(*delay)) : "from an earlier incarnation"}});
        return;
    }
    // Any message shows that the peer is alive.
    if (const auto peer = m_peers.find(message.from());
        peer != m_peers.end() && peer->second.incarnation == message.incarnation() &&
        *delay < max_heartbeat_delay) {
        peer->second.record_contact(event_loop::now());
    }
    try {
        handle(message, *delay);
    } catch (const input_error& error) {
        log(log_event::peer_message_refused, {{"host", message.from()},
                                              {"kind", std::to_string(message.payload_case())},
                                              {"reason", error.what()}});
    }
}

void fleet::handle(const wire::envelope& message, duration delay) {
    switch (message.payload_case()) {
    case wire::envelope::kFleet:
        handle_heartbeat(message, delay);
        record_time_of_day(message, delay);
        break;
    case wire::envelope::kDigest:
        handle_digest(message, delay);
        break;
    case wire::envelope::kUsage:
        if (m_callbacks.record_usage) {
            m_callbacks.record_usage(message.from(), message.incarnation(),
                                     read_usage(message.usage()));
        }
        break;
    case wire::envelope::kWork:
        handle_work(message.from(), message, delay);
        break;
    case wire::envelope::kEnd:
        m_callbacks.end_transaction(message.end().instance(),
                                    {message.from(), message.end().transaction()});
        break;
    case wire::envelope::kDrop:
        m_callbacks.drop(message.drop().instance(), {message.from(), message.drop().number()});
        break;
    case wire::envelope::kReplication:
        handle_command(message.from(), message);
        break;
    case wire::envelope::kSample:
        handle_position_request(message.from(), message);
        break;
    case wire::envelope::kDirectory:
        send_directory(message.from());
        break;
    case wire::envelope::kBeatAsked:
        send_heartbeat_to(message.from());
        break;
    case wire::envelope::kDirectoryAnswer:
        handle_directory(message);
        break;
    case wire::envelope::kDirectoryChange:
        if (m_callbacks.accept_relayed) {
            m_callbacks.accept_relayed(read_directory(message.directory_change()));
        }
        break;
    default:
        complete_call(message);
    }
}

void fleet::handle_work(const std::string& from, const wire::envelope& message, duration delay) {
    const auto on_answer = [this, from, id = message.work().id()](const statement_answer& answer) {
        wire::envelope reply;
        reply.mutable_work_answer()->set_id(id);
        write_answer(answer, *reply.mutable_work_answer());
        send(from, reply);
    };
    upstream_work work;
    try {
        work = read_work(from, message.work());
    } catch (const input_error&) {
        on_answer({upstream_result::unsent, {}, {}, {}});
        throw;
    }
    work.time_left -= delay;
    work.objective_left = std::max(duration(0), work.objective_left - delay);
    work.refusal_margin =
        std::min<duration>(queue_refusal_margin, work.time_left / refusal_margin_divisor);
    m_callbacks.run(std::move(work), on_answer);
}

void fleet::handle_command(const std::string& from, const wire::envelope& message) {
    const auto& request = message.replication();
    m_callbacks.send_command(
        request.instance(), read_command(request), request.term(),
        [this, from, id = request.id()](const std::optional<replication_status>& status) {
            wire::envelope reply;
            reply.mutable_replication_answer()->set_id(id);
            write_report(status, *reply.mutable_replication_answer());
            send(from, reply);
        });
}

void fleet::handle_position_request(const std::string& from, const wire::envelope& message) {
    m_callbacks.request_verified_position(
        message.sample().group(),
        [this, from, id = message.sample().id()](const std::optional<log_position>& position) {
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

void fleet::send_directory(const std::string& from) {
    wire::envelope reply;
    write_directory(m_callbacks.snapshot_directory(true), *reply.mutable_directory_answer());
    send(from, reply);
}

void fleet::handle_directory(const wire::envelope& message) {
    m_callbacks.accept_directory(read_directory(message.directory_answer()));
}

// The platform is the preferred source. Peers are asked only when its update does not arrive in
// time.
void fleet::check_directory(time_point now) {
    const directory_versions known = m_callbacks.known_directory();
    directory_versions newest = known;
    for (const fleet_peer* peer : live_peers(now)) {
        newest.configuration = std::max(newest.configuration, peer->directory.configuration);
        newest.instances = std::max(newest.instances, peer->directory.instances);
        newest.withdrawals = std::max(newest.withdrawals, peer->directory.withdrawals);
    }
    if (newest == known) {
        m_behind_since.reset();
        m_directory_requests = 0;
        return;
    }
    if (!m_behind_since) {
        m_behind_since = now;
    } else if (now - *m_behind_since >= platform_update_grace) {
        m_behind_since = now;
        m_callbacks.directory_overdue(newest);
        request_newer_directory(known, now);
    }
}

// The peers that have a newer configuration, or newer lists if these come from peers; the newest
// first. Hosts of the own failure domain are connected already. Among equals, each host has an
// order of its own, so that the first one to know isn't asked by all others.
std::vector<const fleet_peer*> fleet::newer_peers(const directory_versions& known,
                                                  time_point now) const {
    const bool lists_from_peers = m_callbacks.lists_from_peers ? m_callbacks.lists_from_peers()
                                                               : m_callbacks.platform_unreachable();
    const auto rank = [&](const directory_versions& versions) {
        return lists_from_peers ? std::tuple(std::max(versions.configuration, known.configuration),
                                             std::max(versions.instances, known.instances),
                                             std::max(versions.withdrawals, known.withdrawals))
                                : std::tuple(std::max(versions.configuration, known.configuration),
                                             known.instances, known.withdrawals);
    };
    std::vector<const fleet_peer*> newer = live_peers(now);
    std::erase_if(newer,
                  [&](const fleet_peer* peer) { return rank(peer->directory) <= rank(known); });
    const auto preference = [&](const fleet_peer* peer) {
        return std::tuple(rank(peer->directory), peer->failure_domain == m_self.failure_domain,
                          peer->incarnation ^ m_incarnation);
    };
    std::ranges::sort(newer, std::greater(), preference);
    return newer;
}

// One peer at a time, and the next one if that doesn't help: a peer may be alive and yet not get
// its answer through.
void fleet::request_newer_directory(const directory_versions& known, time_point now) {
    const std::vector<const fleet_peer*> newer = newer_peers(known, now);
    if (newer.empty()) {
        return;
    }
    const fleet_peer& asked =
        *newer[(m_directory_requests++ / directory_requests_per_peer) % newer.size()];
    log(log_event::directory_requested,
        {{"host", asked.host},
         {"known_version", std::to_string(known.configuration)},
         {"reported_version", std::to_string(asked.directory.configuration)}});
    wire::envelope message;
    message.mutable_directory();
    send(asked.host, message);
}

void fleet::complete_call(const wire::envelope& message) {
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
        const statement_answer answer = read_answer(read);
        if (const auto waiting = take(read.id()); waiting.on_answer) {
            waiting.on_answer(answer);
        }
    } else if (message.has_replication_answer()) {
        const auto& read = message.replication_answer();
        if (const auto waiting = take(read.id()); waiting.on_status) {
            waiting.on_status(read_report(read));
        }
    } else if (message.has_sample_answer()) {
        const auto& read = message.sample_answer();
        if (const auto waiting = take(read.id()); waiting.on_position) {
            const log_position position{read.term(), read.offset()};
            waiting.on_position(read.verified() ? std::optional(position) : std::nullopt);
        }
    }
}

void fleet::fail_call(const call& failed, upstream_result result) {
    if (failed.on_answer) {
        failed.on_answer({result, {}, {}, {}});
    }
    if (failed.on_status) {
        failed.on_status(std::nullopt);
    }
    if (failed.on_position) {
        failed.on_position(std::nullopt);
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
        fail_call(entry, upstream_result::unanswered);
    }
}

void fleet::update_liveness(time_point now) {
    for (auto& [name, peer] : m_peers) {
        const bool alive = peer.alive(now);
        m_view_version += alive != peer.marked_alive ? 1 : 0;
        peer.marked_alive = alive;
    }
}

// Heartbeat intervals grow with the fleet, and with them the time until a dead peer is detected.
// A peer that has sent nothing since a call is therefore asked for a heartbeat, and is considered
// dead when that does not arrive either.
void fleet::probe_unresponsive_peers(time_point now) {
    for (auto& [id, waiting] : m_calls) {
        const auto found = m_peers.find(waiting.host);
        if (found == m_peers.end()) {
            continue;
        }
        if (m_relays && found->second.failure_domain != m_self.failure_domain) {
            check_call_to(found->second, waiting.sent_at, now);
            continue;
        }
        if (found->second.last_received >= waiting.sent_at) {
            continue;
        }
        const duration waited = now - waiting.sent_at;
        if (waited >= unresponsive_after) {
            found->second.response_overdue = true;
        } else if (waited >= probe_after && !waiting.probed) {
            waiting.probed = true;
            request_heartbeat(waiting.host);
        }
    }
    if (m_relays) {
        probe_overdue_peers(now);
    }
}

void fleet::request_heartbeat(const std::string& host) {
    wire::envelope message;
    message.mutable_beat_asked();
    send(host, message);
}

void fleet::sweep(time_point now) {
    probe_unresponsive_peers(now);
    update_liveness(now);
    drop_overdue_work(now);
    std::vector<call> failed;
    std::erase_if(m_calls, [&](auto& entry) {
        const bool expired =
            entry.second.deadline <= now || find_live(entry.second.host) == nullptr;
        if (expired) {
            failed.push_back(std::move(entry.second));
        }
        return expired;
    });
    for (const auto& entry : failed) {
        fail_call(entry, upstream_result::unanswered);
    }
    m_sweep = m_loop.after(sweep_interval, [this] { sweep(event_loop::now()); });
}

std::set<std::string> fleet::peer_addresses() const {
    std::set<std::string> addresses;
    for (const auto& seed : m_self.known_peers) {
        addresses.insert(seed.to_text());
    }
    for (const auto& [name, host] : m_directory.hosts()) {
        addresses.insert(host.peer_endpoint.to_text());
    }
    for (const auto& [name, peer] : m_peers) {
        if (peer.marked_alive) {
            addresses.insert(peer.address);
        }
    }
    addresses.erase(m_self.peer_endpoint.to_text());
    return addresses;
}

int fleet::unreachable_count(const std::string& instance) const {
    if (m_unreachable_view_version != m_view_version) {
        m_unreachable_view_version = m_view_version;
        m_unreachable_counts.clear();
        for (const auto& [name, peer] : m_peers) {
            for (const auto& [id, pool] : peer.pools) {
                m_unreachable_counts[id] += peer.marked_alive && !pool.reachable ? 1 : 0;
            }
        }
    }
    const auto found = m_unreachable_counts.find(instance);
    return found == m_unreachable_counts.end() ? 0 : found->second;
}

void fleet::tick() {
    const time_point now = event_loop::now();
    if (now >= m_next_heartbeat) {
        send_regular_heartbeat();
    }
    if (m_relays) {
        update_relay_rank(now);
        send_digests(now);
    }
    if (now - m_directory_checked >= directory_check_interval) {
        m_directory_checked = now;
        check_directory(now);
    }
    m_tick = m_loop.after(tick_interval, [this] { tick(); });
}

void fleet::leave() {
    m_leaving = true;
    send_heartbeat();
}

} // namespace bronzeplank
