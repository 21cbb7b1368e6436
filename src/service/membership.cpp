#include "service/membership.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "peer.pb.h"
#include "runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds beat_period{500};
constexpr std::chrono::seconds platform_period{2};
constexpr std::chrono::seconds peer_lifetime{15};
// Every so many beats carry the terms of all groups, for a peer that missed a change.
constexpr std::uint64_t full_beat_interval = 10;

std::string describe_self(const settings& host, bool leaving) {
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
    spawn(beat_regularly());
    spawn(follow_platform());
}

void membership::stop() {
    m_stopped = true;
}

void membership::leave() {
    m_leaving = true;
    beat();
}

void membership::set_suspected(std::vector<std::string> groups) {
    if (groups == m_suspected) {
        return;
    }
    m_suspected = std::move(groups);
    beat();
}

task<void> membership::beat_regularly() {
    while (!m_stopped) {
        beat();
        forget_silent();
        co_await sleep_for(m_loop, beat_period);
    }
}

void membership::beat() {
    wire::envelope message;
    message.set_from(m_host.host);
    wire::heartbeat& content = *message.mutable_beat();
    content.set_failure_domain(m_host.failure_domain);
    content.set_peer_address(m_host.peers.to_text());
    content.set_incarnation(m_incarnation);
    content.set_leaving(m_leaving);
    content.set_configuration_version(m_directory.current().version);
    content.set_withdrawn_count(m_directory.keys().withdrawn().size());
    content.set_given_count(m_directory.keys().assigned().size());
    const bool full = m_beats++ % full_beat_interval == 0;
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

task<void> membership::follow_platform() {
    while (!m_stopped) {
        co_await m_platform.report_host(m_host.host, describe_self(m_host, m_leaving));
        read_hosts(co_await m_platform.hosts());
        co_await sleep_for(m_loop, platform_period);
    }
}

void membership::read_hosts(const std::string& text) {
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
                // Its first heartbeat tells the rest.
                m_peers[host] = peer{host, domain, address, 0, false, event_loop::now(), {}};
            }
        }
    } catch (const input_error&) {
        // The list comes again; the heartbeats go on meanwhile.
        return;
    }
}

void membership::receive(const wire::envelope& message) {
    switch (message.payload_case()) {
    case wire::envelope::kBeat:
        receive_beat(message);
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
        // Session hosts' messages belong to another kind of host.
        break;
    }
}

void membership::receive_beat(const wire::envelope& message) {
    const wire::heartbeat& content = message.beat();
    peer& known = m_peers[message.from()];
    if (content.incarnation() < known.incarnation) {
        // A late message of an earlier process under the same name.
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
    known.heard = event_loop::now();
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
    catch_up(message);
}

// Brings a peer that knows less up to date.
void membership::catch_up(const wire::envelope& message) {
    const wire::heartbeat& content = message.beat();
    const std::string& address = content.peer_address();
    if (content.configuration_version() < m_directory.current().version) {
        wire::envelope offer;
        offer.set_from(m_host.host);
        offer.mutable_configuration()->set_version(m_directory.current().version);
        offer.mutable_configuration()->set_body(m_directory.configuration_text());
        m_bus.send(address, offer);
    }
    const key_ring& keys = m_directory.keys();
    if (content.withdrawn_count() < keys.withdrawn().size() ||
        content.given_count() < keys.assigned().size()) {
        wire::envelope news = key_news(keys.withdrawn());
        for (const auto& [digest, workspace] : keys.assigned()) {
            wire::given_key& given = *news.mutable_keys()->add_given();
            given.set_digest(digest.hex);
            given.set_workspace(workspace);
        }
        m_bus.send(address, news);
    }
}

wire::envelope membership::key_news(const std::set<key_digest>& withdrawn) const {
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
    for (const auto& given : message.keys().given()) {
        m_directory.give_key({given.digest()}, given.workspace());
    }
}

void membership::spread_withdrawal(const key_digest& digest) {
    const wire::envelope message = key_news({digest});
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

void membership::forget_silent() {
    const time_point now = event_loop::now();
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (now - item->second.heard <= peer_lifetime) {
            ++item;
            continue;
        }
        log(log_event::peer_lost, {{"peer", item->first}});
        m_bus.disconnect(item->second.address);
        item = m_peers.erase(item);
    }
}

std::vector<suspicion_vote> membership::opinions(const std::string& group) const {
    std::vector<suspicion_vote> result;
    for (const auto& [host, known] : m_peers) {
        // A host that was only listed so far, or that leaves, has no vote.
        if (known.incarnation == 0 || known.leaving) {
            continue;
        }
        const auto& groups = known.suspected_groups;
        const bool suspected = std::find(groups.begin(), groups.end(), group) != groups.end();
        result.push_back({host, known.failure_domain, suspected, known.heard});
    }
    return result;
}

} // namespace bronzeplank
