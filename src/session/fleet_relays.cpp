// The part of a fleet that relays heartbeats between failure domains.
#include "session/fleet_relays.hpp"

#include "runtime/log.hpp"
#include "session/fleet.hpp"
#include "session/heartbeat_digest.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bronzeplank {

namespace {

// Relays change when hosts die, which takes far longer.
constexpr std::chrono::milliseconds rank_check_interval{200};
// How often a peer whose response is overdue is asked for a heartbeat, which is as often as a peer
// of the own domain would send one.
constexpr std::chrono::milliseconds overdue_probe_interval{1000};

duration interval_of(const wire::fleet_heartbeat& heartbeat) {
    return std::max<duration>(std::chrono::milliseconds(heartbeat.period_ms()),
                              min_heartbeat_interval);
}

bool same_primaries(const wire::fleet_heartbeat& left, const wire::fleet_heartbeat& right) {
    return std::equal(left.primaries().begin(), left.primaries().end(), right.primaries().begin(),
                      right.primaries().end(), [](const auto& one, const auto& other) {
                          return one.SerializeAsString() == other.SerializeAsString();
                      });
}

bool same_reachability(const wire::fleet_heartbeat& left, const wire::fleet_heartbeat& right) {
    const auto unreachable = [](const wire::fleet_heartbeat& heartbeat) {
        std::set<std::string> found;
        for (const auto& pool : heartbeat.lanes()) {
            if (!pool.reachable()) {
                found.insert(pool.instance());
            }
        }
        return found;
    };
    return unreachable(left) == unreachable(right);
}

} // namespace

bool fleet::is_relay() const {
    return m_relays && m_relays->rank.has_value();
}

std::map<std::string, heartbeat_route> fleet::heartbeat_routes(time_point now) const {
    std::map<std::string, heartbeat_route> routes;
    const auto route_to = [&](const fleet_peer& peer) {
        return route_heartbeat(m_self.failure_domain,
                               {peer.failure_domain, peer.reads_digests, peer.in_digests(now),
                                now < peer.misses_digests_until,
                                now - peer.joined_at < introduction_time});
    };
    for (const auto& seed : m_self.known_peers) {
        routes[seed.to_text()] = heartbeat_route::direct_announced;
    }
    for (const auto& [name, host] : m_directory.hosts()) {
        routes[host.peer_endpoint.to_text()] =
            route_heartbeat(m_self.failure_domain, {host.failure_domain});
    }
    for (const auto& [name, peer] : m_peers) {
        if (peer.marked_alive || peer.in_digests(now)) {
            routes[peer.address] = route_to(peer);
        }
    }
    routes.erase(m_self.peer_endpoint.to_text());
    return routes;
}

void fleet::send_routed_heartbeats(wire::envelope& message) {
    std::map<heartbeat_route, std::set<std::string>> addresses;
    for (const auto& [address, route] : heartbeat_routes(event_loop::now())) {
        addresses[route].insert(address);
    }
    m_bus.send_all(addresses[heartbeat_route::direct], message);
    message.mutable_fleet()->set_misses_digests(true);
    m_bus.send_all(addresses[heartbeat_route::direct_announced], message);
}

// Changes that other domains wait for are relayed early: hosts that come or leave, votes on an
// instance's reachability, and new primaries.
void fleet::store_domain_heartbeat(const wire::envelope& message, duration delay) {
    const auto& heartbeat = message.fleet();
    if (!heartbeat.whole() || heartbeat.failure_domain() != m_self.failure_domain) {
        return;
    }
    auto& stored = m_relays->domain_heartbeats[message.from()];
    m_relays->urgent = m_relays->urgent || stored.incarnation != message.incarnation() ||
                       stored.heartbeat.leaving() != heartbeat.leaving() ||
                       !same_reachability(stored.heartbeat, heartbeat) ||
                       !same_primaries(stored.heartbeat, heartbeat);
    stored = {message.incarnation(), message.sent_ms(), event_loop::now() - delay, heartbeat};
}

std::vector<std::string> fleet::own_relays(time_point now) const {
    std::vector<relay_candidate> staying;
    std::vector<relay_candidate> leaving;
    (m_leaving ? leaving : staying).push_back({m_self.host, 0});
    for (const auto& [name, peer] : m_peers) {
        if (peer.failure_domain == m_self.failure_domain && peer.alive(now) && peer.reads_digests) {
            (peer.leaving ? leaving : staying).push_back({name, 0});
        }
    }
    // The last hosts of a domain that is stopped still serve their callers.
    return choose_relays(staying.empty() ? std::move(leaving) : std::move(staying),
                         relays_per_domain);
}

void fleet::update_relay_rank(time_point now) {
    if (now - m_relays->rank_checked < rank_check_interval) {
        return;
    }
    m_relays->rank_checked = now;
    const std::vector<std::string> relays = own_relays(now);
    const auto own = std::ranges::find(relays, m_self.host);
    // A host that has just started has not heard the other hosts of its domain yet.
    const bool knows_domain = now - m_started >= heartbeat_timeout_for(heartbeat_interval());
    const bool is_relay = own != relays.end() && knows_domain;
    if (is_relay != m_relays->rank.has_value()) {
        log(is_relay ? log_event::relay_started : log_event::relay_stopped,
            {{"failure_domain", m_self.failure_domain},
             {"relays", fmt::format("{}", fmt::join(relays, " "))}});
    }
    const auto rank = is_relay ? std::optional<std::size_t>(own - relays.begin()) : std::nullopt;
    m_relays->urgent = m_relays->urgent || rank != m_relays->rank;
    m_relays->rank = rank;
}

std::map<std::string, std::vector<std::string>> fleet::foreign_relays(time_point now) const {
    std::map<std::string, std::vector<relay_prospect>> prospects;
    for (const auto& [name, peer] : m_peers) {
        if (peer.failure_domain != m_self.failure_domain && peer.reads_digests) {
            prospects[peer.failure_domain].push_back(
                {{name, 0}, peer.alive(now) && !peer.leaving, peer.last_heard()});
        }
    }
    std::map<std::string, std::vector<std::string>> relays;
    for (const auto& [domain, hosts] : prospects) {
        relays[domain] = presumed_relays(hosts, relays_per_domain);
    }
    return relays;
}

void fleet::write_domain(wire::heartbeat_digest& digest, time_point now) const {
    std::vector<domain_heartbeat> hosts;
    wire::envelope own;
    write_heartbeat(own, true);
    hosts.push_back({m_self.host, m_incarnation, own.sent_ms(), duration(0), own.fleet()});
    for (const auto& [name, stored] : m_relays->domain_heartbeats) {
        const duration age = now - stored.received;
        if (age < heartbeat_timeout_for(interval_of(stored.heartbeat))) {
            hosts.push_back({name, stored.incarnation, stored.sent_ms, age, stored.heartbeat});
        }
    }
    write_digest(m_self.failure_domain, hosts, digest);
}

void fleet::send_digests(time_point now) {
    const duration since_last = now - m_relays->digest_sent;
    const bool due = since_last >= digest_interval;
    const bool early = m_relays->urgent && since_last >= min_digest_gap;
    if (!m_relays->rank || (!due && !early)) {
        return;
    }
    m_relays->digest_sent = now;
    wire::envelope message;
    auto* digest = message.mutable_digest();
    write_domain(*digest, now);
    digest->set_relay(m_self.host);
    digest->set_relay_incarnation(m_incarnation);
    digest->set_number(++m_relays->last_number);
    digest->set_rank(static_cast<std::uint32_t>(*m_relays->rank));
    digest->set_urgent(std::exchange(m_relays->urgent, false));
    digest->set_forward(true);
    for (const auto& [domain, relays] : foreign_relays(now)) {
        const std::string target =
            digest_target(relays, m_relays->senders[domain], *m_relays->rank, now);
        if (!target.empty()) {
            send(target, message);
        }
    }
}

void fleet::handle_digest(const wire::envelope& message, duration delay) {
    const wire::heartbeat_digest& digest = message.digest();
    if (!m_relays || digest.failure_domain() == m_self.failure_domain) {
        return;
    }
    const time_point now = event_loop::now();
    const auto relay = m_incarnation_filters.find(digest.relay());
    const bool ended =
        relay != m_incarnation_filters.end() && relay->second.has_ended(digest.relay_incarnation());
    if (ended ||
        !m_relays->sequence.advance(digest.relay(), digest.relay_incarnation(), digest.number())) {
        return;
    }
    if (digest.rank() < relays_per_domain) {
        m_relays->senders[digest.failure_domain()][digest.rank()] = {digest.relay(), now};
    }
    const std::vector<relayed_heartbeat> times = read_times(digest, now - delay);
    if (digest.forward()) {
        forward_digest(digest, times, delay);
    } else {
        m_relays->forwarder.record(times);
    }
    for (std::size_t i = 0; i < times.size(); ++i) {
        apply_relayed(times[i], read_heartbeat(digest, digest.hosts(static_cast<int>(i))));
    }
    record_primaries(digest.primaries());
}

void fleet::forward_digest(const wire::heartbeat_digest& digest,
                           const std::vector<relayed_heartbeat>& times, duration delay) {
    if (!m_relays->forwarder.is_needed(digest.rank(), digest.urgent(), times)) {
        return;
    }
    m_relays->forwarder.record(times);
    std::set<std::string> addresses;
    for (const auto& [name, peer] : m_peers) {
        if (peer.failure_domain == m_self.failure_domain && peer.marked_alive) {
            addresses.insert(peer.address);
        }
    }
    wire::envelope message;
    *message.mutable_digest() = digest;
    message.mutable_digest()->set_forward(false);
    add_age(*message.mutable_digest(), delay);
    set_sender(message);
    m_bus.send_all(addresses, message);
}

void fleet::apply_relayed(const relayed_heartbeat& arrived,
                          const wire::fleet_heartbeat& heartbeat) {
    const time_point now = event_loop::now();
    if (arrived.host == m_self.host ||
        now - arrived.heard_at >= relayed_timeout_for(interval_of(heartbeat))) {
        return;
    }
    const auto known = m_peers.find(arrived.host);
    const auto verdict = judge_relayed(
        known == m_peers.end() ? heartbeat_history{} : known->second.history(), arrived);
    if (verdict == relayed_verdict::drop ||
        !m_incarnation_filters[arrived.host].begin(arrived.incarnation)) {
        return;
    }
    fleet_peer& peer = m_peers[arrived.host];
    const bool was_heard = peer.heard(now);
    if (peer.incarnation != arrived.incarnation) {
        schedule_heartbeat_soon();
    }
    const bool restarted = begin_incarnation(peer, arrived.host, arrived.incarnation, heartbeat);
    peer.record_relayed(now, arrived.heard_at);
    peer.relayed_sent_ms = arrived.sent_ms;
    if (verdict == relayed_verdict::apply) {
        apply_heartbeat(peer, heartbeat);
    }
    const bool alive = peer.alive(now);
    m_view_version += alive != peer.marked_alive ? 1 : 0;
    peer.marked_alive = alive;
    if (!was_heard) {
        // The other end may have closed the connection during a partition. The first message to an
        // address without a connection is lost.
        m_bus.disconnect(peer.address);
        m_bus.connect(peer.address);
    }
    if (restarted) {
        fail_calls_to(arrived.host);
    }
}

void fleet::check_call_to(const fleet_peer& peer, time_point sent_at, time_point now) {
    time_point& probed = m_relays->probed[peer.host];
    switch (
        check_call({sent_at, peer.last_received, probed}, probe_after, unresponsive_after, now)) {
    case call_check::probe:
        probed = now;
        request_heartbeat(peer.host);
        break;
    case call_check::overdue:
        m_peers[peer.host].response_overdue = true;
        break;
    case call_check::none:
        break;
    }
}

// Only a direct message ends the state, and hosts of other domains send none by themselves.
void fleet::probe_overdue_peers(time_point now) {
    for (const auto& [name, peer] : m_peers) {
        if (peer.response_overdue && peer.in_digests(now) &&
            now - m_relays->probed[name] >= overdue_probe_interval) {
            m_relays->probed[name] = now;
            request_heartbeat(name);
        }
    }
}

} // namespace bronzeplank
