#include "bronzeplank/heartbeat_relay.hpp"

#include <algorithm>
#include <set>

namespace bronzeplank {

bool relays_heartbeats(const std::map<std::string, std::string>& regions) {
    std::set<std::string> names;
    for (const auto& [domain, region] : regions) {
        names.insert(region);
    }
    return names.size() > 1;
}

heartbeat_route route_heartbeat(const std::string& own_domain, const heartbeat_receiver& receiver) {
    if (receiver.failure_domain == own_domain) {
        return heartbeat_route::direct;
    }
    if (!receiver.in_digests) {
        return heartbeat_route::direct_announced;
    }
    const bool relayed = receiver.reads_digests && !receiver.misses_digests && !receiver.is_new;
    return relayed ? heartbeat_route::relayed : heartbeat_route::direct;
}

std::vector<std::string> presumed_relays(const std::vector<relay_prospect>& hosts,
                                         std::size_t count) {
    const bool any_alive = std::ranges::any_of(hosts, &relay_prospect::alive);
    time_point newest{};
    for (const auto& host : hosts) {
        newest = std::max(newest, host.last_heard);
    }
    // Hosts that had died before the others were lost have been silent for longer.
    const time_point oldest = newest - relayed_timeout_for(max_heartbeat_interval);
    std::vector<relay_candidate> candidates;
    for (const auto& host : hosts) {
        if (any_alive ? host.alive : host.last_heard >= oldest) {
            candidates.push_back(host.candidate);
        }
    }
    return choose_relays(std::move(candidates), count);
}

std::string digest_target(const std::vector<std::string>& relays,
                          const std::map<std::size_t, digest_sender>& senders, std::size_t rank,
                          time_point now) {
    const auto sender = senders.find(rank);
    if (sender != senders.end() && now - sender->second.received < relay_sender_validity) {
        return sender->second.host;
    }
    return relays.empty() ? "" : relays[std::min(rank, relays.size() - 1)];
}

relayed_verdict judge_relayed(const heartbeat_history& known, const relayed_heartbeat& arrived) {
    if (known.incarnation == 0) {
        return relayed_verdict::apply;
    }
    if (known.incarnation != arrived.incarnation) {
        const time_point newest = std::max(known.direct_at, known.relayed_at);
        return arrived.heard_at >= newest + incarnation_change_margin ? relayed_verdict::apply
                                                                      : relayed_verdict::drop;
    }
    if (arrived.sent_ms <= known.relayed_sent_ms) {
        return relayed_verdict::drop;
    }
    // A host sends the same heartbeat to its relays and, until a digest names the receiver, to the
    // receiver. The relayed one must count, or the direct ones would go on for ever.
    return arrived.sent_ms <= known.direct_sent_ms ? relayed_verdict::record_only
                                                   : relayed_verdict::apply;
}

bool digest_forwarder::is_needed(std::size_t rank, bool urgent,
                                 const std::vector<relayed_heartbeat>& hosts) const {
    return rank == 0 || urgent || std::ranges::any_of(hosts, [&](const auto& host) {
               const auto known = m_forwarded.find(host.host);
               return known == m_forwarded.end() || known->second.incarnation != host.incarnation ||
                      host.heard_at >= known->second.heard_at + max_lag;
           });
}

void digest_forwarder::record(const std::vector<relayed_heartbeat>& hosts) {
    for (const auto& host : hosts) {
        relayed_heartbeat& known = m_forwarded[host.host];
        if (known.incarnation != host.incarnation || known.heard_at < host.heard_at) {
            known = host;
        }
    }
}

bool digest_sequence::advance(const std::string& relay, std::uint32_t incarnation,
                              std::uint64_t number) {
    position& newest = m_newest[relay];
    if (newest.incarnation == incarnation && number <= newest.number) {
        return false;
    }
    newest = {incarnation, number};
    return true;
}

call_check check_call(const call_contact& contact, duration probe_after,
                      duration unresponsive_after, time_point now) {
    // After an answer to a probe, the peer may be as silent as a host of the own domain.
    const bool answered = contact.last_received >= contact.sent_at;
    const time_point since = answered ? contact.last_received : contact.sent_at;
    const duration silent = now - since;
    if (silent >=
        (answered ? heartbeat_timeout_for(min_relayed_heartbeat_interval) : unresponsive_after)) {
        return call_check::overdue;
    }
    const bool due = silent >= (answered ? duration(digest_interval) : probe_after);
    return due && contact.probed_at < since ? call_check::probe : call_check::none;
}

} // namespace bronzeplank
