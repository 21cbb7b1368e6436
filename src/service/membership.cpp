#include "service/membership.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "peer.pb.h"
#include "runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds host_heartbeat_interval{500};
constexpr std::chrono::seconds host_list_interval{2};
constexpr std::chrono::seconds peer_timeout{15};
// One heartbeat in this many carries the terms of all groups, for a peer that missed a change.
constexpr std::uint64_t heartbeats_per_full_heartbeat = 10;

std::string format_host_entry(const settings& host, bool leaving) {
    return fmt::format(R"({{"host":{},"failure_domain":{},"peers":{},"state":"{}"}})",
                       internal::quoted(host.host), internal::quoted(host.failure_domain),
                       internal::quoted(host.peers.to_text()), leaving ? "leaving" : "live");
}

} // namespace

membership::membership(kernel& services, const settings& host, platform_client& platform)
    : m_loop(services.loop()), m_host(host), m_platform(platform),
      m_directory(services.find<directory>(directory::service_name)),
      m_bus(services.loop(), host.peers,
            [this](const wire::envelope& message) { receive(message); }),
      m_incarnation(static_cast<std::uint64_t>(event_loop::now().time_since_epoch().count())) {
    services.add(std::string(service_name), *this);
}

membership::~membership() = default;

void membership::start() {
    spawn(send_heartbeats());
    spawn(synchronize_host_list());
}

void membership::stop() {
    m_stopped = true;
}

void membership::leave() {
    m_leaving = true;
    send_heartbeat();
}

void membership::set_suspected(std::vector<std::string> groups) {
    if (groups == m_suspected) {
        return;
    }
    m_suspected = std::move(groups);
    send_heartbeat();
}

task<void> membership::send_heartbeats() {
    while (!m_stopped) {
        send_heartbeat();
        remove_expired_peers();
        co_await sleep_for(m_loop, host_heartbeat_interval);
    }
}

void membership::send_heartbeat() {
    wire::envelope message;
    message.set_from(m_host.host);
    wire::heartbeat& content = *message.mutable_beat();
    content.set_failure_domain(m_host.failure_domain);
    content.set_peer_address(m_host.peers.to_text());
    content.set_incarnation(m_incarnation);
    content.set_leaving(m_leaving);
    content.set_configuration_version(m_directory.current_configuration().version);
    content.set_withdrawn_count(m_directory.keys().withdrawn().size());
    content.set_given_count(m_directory.keys().assigned().size());
    content.set_keys_fingerprint(m_directory.keys().fingerprint());
    const bool full = m_heartbeats_sent++ % heartbeats_per_full_heartbeat == 0;
    for (const auto& [name, group] : m_directory.groups()) {
        const bool suspected =
            std::find(m_suspected.begin(), m_suspected.end(), name) != m_suspected.end();
        if (!suspected && !full) {
            continue;
        }
        wire::group_view& view = *content.add_groups();
        view.set_group(name);
        view.set_term(group->record().record.ready_term);
        view.set_primary(group->record().record.primary);
        view.set_record_version(group->record().version);
        view.set_suspected(suspected);
    }
    for (const auto& [host, known] : m_peers) {
        m_bus.send(known.address, message);
    }
    for (const auto& address : m_host.known_peers) {
        if (!knows_address(address.to_text())) {
            m_bus.send(address.to_text(), message);
        }
    }
}

bool membership::knows_address(const std::string& address) const {
    const bool own = address == m_host.peers.to_text();
    return own || std::any_of(m_peers.begin(), m_peers.end(),
                              [&](const auto& item) { return item.second.address == address; });
}

task<void> membership::synchronize_host_list() {
    while (!m_stopped) {
        co_await m_platform.report_host(m_host.host, format_host_entry(m_host, m_leaving));
        apply_host_list(co_await m_platform.hosts());
        co_await sleep_for(m_loop, host_list_interval);
    }
}

void membership::apply_host_list(const std::string& text) {
    if (text.empty()) {
        return;
    }
    try {
        const rapidjson::Document document = internal::parse_json(text);
        auto object = internal::json_node(document, "").object();
        for (const auto& node : object.required("hosts").array()) {
            auto item = node.object();
            const std::string host = item.required("host").name();
            const std::string address = item.required("peers").text();
            const std::string domain = item.required("failure_domain").name();
            if (host != m_host.host && !m_peers.contains(host)) {
                // The rest is filled in by its first heartbeat.
                m_peers[host] = peer{host, domain, address, 0, false, event_loop::now(), {}};
            }
        }
    } catch (const input_error&) {
        // The list is fetched again soon, and heartbeats do not depend on it.
        return;
    }
}

void membership::receive(const wire::envelope& message) {
    switch (message.payload_case()) {
    case wire::envelope::kBeat:
        receive_heartbeat(message);
        break;
    case wire::envelope::kKeys:
        receive_keys(message);
        break;
    case wire::envelope::kConfiguration:
        m_directory.offer_configuration(message.configuration().body());
        break;
    case wire::envelope::kRequest:
    case wire::envelope::kAnswer:
        if (m_relay) {
            m_relay(message);
        }
        break;
    default:
        // Messages between session hosts are not handled by this kind of host.
        break;
    }
}

void membership::receive_heartbeat(const wire::envelope& message) {
    const wire::heartbeat& content = message.beat();
    peer& known = m_peers[message.from()];
    if (content.incarnation() < known.incarnation) {
        // A delayed message from an earlier incarnation of the host.
        return;
    }
    if (known.incarnation == 0) {
        log(log_event::peer_joined,
            {{"peer", message.from()}, {"failure_domain", content.failure_domain()}});
    }
    known.host = message.from();
    known.failure_domain = content.failure_domain();
    known.address = content.peer_address();
    known.incarnation = content.incarnation();
    known.leaving = content.leaving();
    known.last_received = event_loop::now();
    known.suspected_groups.clear();
    for (const auto& view : content.groups()) {
        if (view.suspected()) {
            known.suspected_groups.push_back(view.group());
        }
        const group_record record{view.term(), "", view.term(), view.primary()};
        if (view.term() > 0) {
            m_directory.offer_record(view.group(), {view.record_version(), record});
        }
    }
    send_missing_updates(message);
}

// Sends the configuration and the keys to a peer whose heartbeat shows that it lacks them.
void membership::send_missing_updates(const wire::envelope& message) {
    const wire::heartbeat& content = message.beat();
    const std::string& address = content.peer_address();
    if (content.configuration_version() < m_directory.current_configuration().version) {
        wire::envelope offer;
        offer.set_from(m_host.host);
        offer.mutable_configuration()->set_version(m_directory.current_configuration().version);
        offer.mutable_configuration()->set_body(m_directory.configuration_text());
        m_bus.send(address, offer);
    }
    const key_ring& keys = m_directory.keys();
    const bool has_fewer = content.withdrawn_count() < keys.withdrawn().size() ||
                           content.given_count() < keys.assigned().size();
    // Two sets of one size may differ. Hosts of earlier versions send no fingerprint.
    const bool differs =
        content.keys_fingerprint() != 0 && content.keys_fingerprint() != keys.fingerprint();
    if (has_fewer || differs) {
        wire::envelope update = make_key_update(keys.withdrawn());
        for (const auto& [digest, workspace] : keys.assigned()) {
            wire::given_key& assignment = *update.mutable_keys()->add_given();
            assignment.set_digest(digest.hex);
            assignment.set_workspace(workspace);
        }
        m_bus.send(address, update);
    }
}

wire::envelope membership::make_key_update(const std::set<key_digest>& withdrawn) const {
    wire::envelope message;
    message.set_from(m_host.host);
    message.mutable_keys();
    for (const auto& digest : withdrawn) {
        message.mutable_keys()->add_withdrawn(digest.hex);
    }
    return message;
}

void membership::receive_keys(const wire::envelope& message) {
    for (const auto& digest : message.keys().withdrawn()) {
        m_directory.withdraw_key({digest});
    }
    for (const auto& assignment : message.keys().given()) {
        m_directory.assign_key({assignment.digest()}, assignment.workspace());
    }
}

void membership::broadcast_withdrawal(const key_digest& digest) {
    const wire::envelope message = make_key_update({digest});
    for (const auto& [host, known] : m_peers) {
        m_bus.send(known.address, message);
    }
}

bool membership::send(const std::string& host, wire::envelope& message) {
    const auto found = m_peers.find(host);
    if (found == m_peers.end()) {
        return false;
    }
    message.set_from(m_host.host);
    return m_bus.send(found->second.address, message);
}

void membership::remove_expired_peers() {
    const time_point now = event_loop::now();
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (now - item->second.last_received <= peer_timeout) {
            ++item;
            continue;
        }
        log(log_event::peer_lost, {{"peer", item->first}});
        m_bus.disconnect(item->second.address);
        item = m_peers.erase(item);
    }
}

std::vector<suspicion_vote> membership::votes(const std::string& group) const {
    std::vector<suspicion_vote> result;
    for (const auto& [host, known] : m_peers) {
        // A host that has sent no heartbeat yet, or that is leaving, has no vote.
        if (known.incarnation == 0 || known.leaving) {
            continue;
        }
        const auto& groups = known.suspected_groups;
        const bool suspected = std::find(groups.begin(), groups.end(), group) != groups.end();
        result.push_back({host, known.failure_domain, suspected, known.last_received});
    }
    return result;
}

} // namespace bronzeplank
