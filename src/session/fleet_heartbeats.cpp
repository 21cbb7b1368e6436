// The heartbeats of a fleet: what they carry, and how often they are sent.
#include "peer.pb.h"
#include "runtime/log.hpp"
#include "session/fleet.hpp"
#include "session/fleet_relays.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

namespace {

// Demand is sent in full heartbeats only; a rate limit is still divided well by demand that is
// 600 ms old.
constexpr int incremental_heartbeats_between_full = 2;
// Shorter waits don't affect which host a read is sent to.
constexpr std::chrono::milliseconds min_reported_wait{2};
// Single failures don't affect which host a read is sent to.
constexpr std::uint32_t min_reported_failure_percent = 3;
// In operations per second; less demand takes no share of a rate limit.
constexpr double min_reported_demand = 0.5;
// A heartbeat that is brought forward because a peer has joined is sent after this delay, so that
// several joins share one heartbeat.
constexpr std::chrono::milliseconds early_heartbeat_delay{50};
// From this interval on, every heartbeat is full.
constexpr std::chrono::milliseconds full_heartbeat_interval{600};

// Far above any machine's, and within the range of the messages' fields.
constexpr double max_announced_amount = 1e9;

std::uint32_t announced_amount(double value) {
    return static_cast<std::uint32_t>(std::lround(std::clamp(value, 0.0, max_announced_amount)));
}

std::set<std::string> unreachable_instances(const fleet_peer& peer) {
    std::set<std::string> found;
    for (const auto& [instance, pool] : peer.pools) {
        if (!pool.reachable) {
            found.insert(instance);
        }
    }
    return found;
}

} // namespace

void fleet::handle_heartbeat(const wire::envelope& message, duration delay) {
    const std::string& from = message.from();
    const wire::fleet_heartbeat& heartbeat = message.fleet();
    const auto known = m_peers.find(from);
    // Only a full heartbeat carries the sender's address.
    if (from == m_self.host || (known == m_peers.end() && !heartbeat.whole())) {
        return;
    }
    fleet_peer& peer = m_peers[from];
    if (peer.incarnation != message.incarnation()) {
        m_heartbeats_until_full = 0;
        schedule_heartbeat_soon();
    }
    const bool restarted = begin_incarnation(peer, from, message.incarnation(), heartbeat);
    m_view_version += peer.marked_alive ? 0 : 1;
    peer.marked_alive = true;
    peer.record_contact(event_loop::now());
    peer.direct_sent_ms = message.sent_ms();
    apply_heartbeat(peer, heartbeat);
    if (m_relays) {
        store_domain_heartbeat(message, delay);
        if (heartbeat.misses_digests()) {
            peer.misses_digests_until = event_loop::now() + peer.timeout;
        }
    }
    if (restarted) {
        fail_calls_to(from);
    }
}

// Returns whether the peer was known in an earlier incarnation.
bool fleet::begin_incarnation(fleet_peer& peer, const std::string& host, std::uint32_t incarnation,
                              const wire::fleet_heartbeat& heartbeat) {
    if (peer.incarnation == incarnation) {
        return false;
    }
    log(log_event::peer_joined, {{"host", host}, {"address", heartbeat.peer_address()}});
    const bool restarted = peer.incarnation != 0;
    peer.host = host;
    peer.incarnation = incarnation;
    peer.direct_sent_ms = 0;
    peer.relayed_sent_ms = 0;
    peer.last_relayed = {};
    peer.joined_at = event_loop::now();
    return restarted;
}

void fleet::apply_heartbeat(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat) {
    const auto unreachable_before = unreachable_instances(peer);
    m_view_version += peer.leaving != heartbeat.leaving() ? 1 : 0;
    peer.leaving = heartbeat.leaving();
    peer.reads_digests = heartbeat.reads_digests();
    peer.platform_reachable = heartbeat.platform_reachable();
    peer.directory = {heartbeat.configuration_version(),
                      {heartbeat.list_era(), heartbeat.list_revision()},
                      {heartbeat.withdrawals_era(), heartbeat.withdrawals_revision()}};
    peer.reporting = {{heartbeat.usage_claim_era(), heartbeat.usage_claim_revision()},
                      static_cast<window_number>(heartbeat.usage_decided())};
    const duration interval = std::max<duration>(std::chrono::milliseconds(heartbeat.period_ms()),
                                                 min_heartbeat_interval);
    peer.timeout = heartbeat_timeout_for(interval);
    peer.relayed_timeout = relayed_timeout_for(interval);
    peer.pools.clear();
    for (const auto& pool : heartbeat.lanes()) {
        peer.pools[pool.instance()] = {pool.reachable(),
                                       duration(static_cast<std::int64_t>(pool.wait_us())),
                                       pool.stalled(), pool.failing_percent() / 100.0};
    }
    m_view_version += unreachable_instances(peer) != unreachable_before ? 1 : 0;
    for (const auto& newest : heartbeat.acknowledged()) {
        peer.acknowledged[newest.group()] = {newest.term(), newest.offset()};
    }
    record_primaries(heartbeat.primaries());
    if (heartbeat.whole()) {
        apply_full_heartbeat(peer, heartbeat);
    }
}

void fleet::record_primaries(
    const google::protobuf::RepeatedPtrField<wire::primary_view>& primaries) {
    for (const auto& primary : primaries) {
        reported_primary reported{{primary.instance(), primary.term()}, std::nullopt};
        if (primary.has_first_position()) {
            reported.first_position = log_position{primary.first_term(), primary.first_offset()};
        }
        m_callbacks.record_primary(primary.group(), reported);
    }
}

void fleet::apply_full_heartbeat(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat) {
    if (peer.address != heartbeat.peer_address() && !peer.address.empty()) {
        m_bus.disconnect(peer.address);
    }
    peer.address = heartbeat.peer_address();
    peer.failure_domain = heartbeat.failure_domain();
    read_resources(peer, heartbeat);
    peer.usage.clear();
    for (const auto& demand : heartbeat.demands()) {
        peer.usage[demand.workspace()] = {demand.per_second(), demand.admitted()};
    }
    peer.usage_reported = true;
}

void fleet::send_heartbeat() {
    if (m_relays) {
        m_relays->urgent = true;
    }
    send_regular_heartbeat();
}

void fleet::send_regular_heartbeat() {
    const time_point now = event_loop::now();
    m_next_heartbeat = now + heartbeat_interval();
    const bool full =
        m_heartbeats_until_full == 0 || heartbeat_interval() >= full_heartbeat_interval;
    m_heartbeats_until_full = m_heartbeats_until_full == 0 ? incremental_heartbeats_between_full
                                                           : m_heartbeats_until_full - 1;
    wire::envelope message;
    write_heartbeat(message, full);
    if (m_relays) {
        send_routed_heartbeats(message);
    } else {
        m_bus.send_all(peer_addresses(), message);
    }
    m_sent_primaries = m_callbacks.primaries();
    m_sent_acknowledged = m_callbacks.acknowledged();
}

// Always full, since the requester may have missed earlier heartbeats.
void fleet::send_heartbeat_to(const std::string& host) {
    wire::envelope message;
    write_heartbeat(message, true);
    send(host, message);
}

void fleet::schedule_heartbeat_soon() {
    m_next_heartbeat = std::min(m_next_heartbeat, event_loop::now() + early_heartbeat_delay);
}

duration fleet::heartbeat_interval() const {
    std::size_t hosts = 1;
    for (const auto& [name, peer] : m_peers) {
        const bool receives = !m_relays || peer.failure_domain == m_self.failure_domain;
        hosts += peer.marked_alive && receives ? 1 : 0;
    }
    return m_relays ? domain_heartbeat_interval_for(hosts) : heartbeat_interval_for(hosts);
}

duration fleet::usage_report_interval() const {
    const duration interval = heartbeat_interval();
    if (m_relays) {
        return std::max<duration>(interval, digest_interval);
    }
    return interval >= full_heartbeat_interval
               ? interval
               : interval * (incremental_heartbeats_between_full + 1);
}

void fleet::write_heartbeat(wire::envelope& message, bool full) const {
    set_sender(message);
    auto* heartbeat = message.mutable_fleet();
    heartbeat->set_leaving(m_leaving);
    heartbeat->set_reads_digests(m_relays != nullptr);
    heartbeat->set_platform_reachable(!m_callbacks.platform_unreachable());
    heartbeat->set_period_ms(static_cast<std::uint32_t>(to_milliseconds(heartbeat_interval())));
    const directory_snapshot own = m_callbacks.snapshot_directory(false);
    heartbeat->set_configuration_version(own.configuration_version);
    heartbeat->set_list_era(own.list_position.era);
    heartbeat->set_list_revision(own.list_position.revision);
    heartbeat->set_withdrawals_era(own.withdrawals_position.era);
    heartbeat->set_withdrawals_revision(own.withdrawals_position.revision);
    heartbeat->set_whole(full);
    for (const auto& [instance, state] : m_callbacks.pools()) {
        const auto failing_percent = static_cast<std::uint32_t>(state.failure_rate * 100);
        if (state.reachable && !state.stalled && state.wait < min_reported_wait &&
            failing_percent < min_reported_failure_percent) {
            continue;
        }
        auto* pool = heartbeat->add_lanes();
        pool->set_instance(instance);
        pool->set_reachable(state.reachable);
        pool->set_stalled(state.stalled);
        pool->set_failing_percent(failing_percent);
        pool->set_wait_us(
            static_cast<std::uint64_t>(std::max<duration::rep>(0, state.wait.count())));
    }
    write_changed_state(*heartbeat);
    write_usage_state(*heartbeat);
    if (heartbeat->whole()) {
        heartbeat->set_failure_domain(m_self.failure_domain);
        heartbeat->set_peer_address(m_self.peer_endpoint.to_text());
        write_resources(*heartbeat);
        for (const auto& [workspace, usage] : m_callbacks.usage()) {
            if (usage.demand >= min_reported_demand) {
                auto* reported = heartbeat->add_demands();
                reported->set_workspace(workspace);
                reported->set_per_second(static_cast<float>(usage.demand));
                reported->set_admitted(usage.admitted);
            }
        }
    }
}

void fleet::write_resources(wire::fleet_heartbeat& heartbeat) const {
    if (m_self.resources.cores) {
        heartbeat.set_centicores(announced_amount(*m_self.resources.cores * 100));
    }
    if (m_self.resources.link_mbps) {
        heartbeat.set_link_mbps(announced_amount(*m_self.resources.link_mbps));
    }
}

void fleet::read_resources(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat) {
    host_resources announced;
    if (heartbeat.centicores() > 0) {
        announced.cores = heartbeat.centicores() / 100.0;
    }
    if (heartbeat.link_mbps() > 0) {
        announced.link_mbps = heartbeat.link_mbps();
    }
    m_view_version += announced != peer.resources ? 1 : 0;
    peer.resources = announced;
}

void fleet::write_usage_state(wire::fleet_heartbeat& heartbeat) const {
    if (!m_callbacks.reporting) {
        return;
    }
    const auto reading = m_callbacks.time_of_day().time_since_epoch();
    heartbeat.set_time_of_day_ms(static_cast<std::uint64_t>(to_milliseconds(reading)));
    const usage_announcement reporting = m_callbacks.reporting();
    heartbeat.set_usage_claim_era(reporting.claim.era);
    heartbeat.set_usage_claim_revision(reporting.claim.revision);
    heartbeat.set_usage_decided(
        static_cast<std::uint64_t>(std::max<window_number>(0, reporting.decided)));
}

// Only of heartbeats that come directly: a relay may have held others for a while.
void fleet::record_time_of_day(const wire::envelope& message, duration delay) const {
    const std::uint64_t reading = message.fleet().time_of_day_ms();
    if (reading == 0 || message.from() == m_self.host || !m_callbacks.record_time_of_day) {
        return;
    }
    const std::chrono::milliseconds sent(reading);
    m_callbacks.record_time_of_day(message.from(), utc_time(sent + delay));
}

void fleet::write_changed_state(wire::fleet_heartbeat& heartbeat) const {
    const auto primaries = m_callbacks.primaries();
    for (const auto& [group, reported] : primaries) {
        const auto sent = m_sent_primaries.find(group);
        if (heartbeat.whole() || sent == m_sent_primaries.end() || sent->second != reported) {
            auto* view = heartbeat.add_primaries();
            view->set_group(group);
            view->set_instance(reported.primary.instance);
            view->set_term(reported.primary.term);
            if (const auto& first = reported.first_position) {
                view->set_has_first_position(true);
                view->set_first_term(first->term);
                view->set_first_offset(first->offset);
            }
        }
    }
    const auto acknowledged = m_callbacks.acknowledged();
    for (const auto& [group, position] : acknowledged) {
        const auto sent = m_sent_acknowledged.find(group);
        if (heartbeat.whole() || sent == m_sent_acknowledged.end() || sent->second != position) {
            auto* newest = heartbeat.add_acknowledged();
            newest->set_group(group);
            newest->set_term(position.term);
            newest->set_offset(position.offset);
        }
    }
}

} // namespace bronzeplank
