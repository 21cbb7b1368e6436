/// \file
/// The exchange of heartbeats through relays: direct within a failure domain, and as one digest per
/// domain between domains.
#pragma once

#include "bronzeplank/heartbeat_interval.hpp"
#include "bronzeplank/relay_election.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// Heartbeats within a domain are not sent more often: a digest carries the latest one only.
constexpr std::chrono::milliseconds min_relayed_heartbeat_interval{600};
/// The time between two digests of a domain. With the interval above it bounds the age of what a
/// host knows about another domain: about 1.6 s and the transit times.
constexpr std::chrono::milliseconds digest_interval{1000};
/// A digest that is sent early, because of a change that other domains wait for, is sent no sooner
/// than this after the previous one.
constexpr std::chrono::milliseconds min_digest_gap{200};
/// Heartbeats also go directly to a host that has just become known, so that it can answer calls
/// although no digest has named the caller to it yet.
constexpr std::chrono::milliseconds introduction_time = 2 * digest_interval;
/// The latest digest of a relay shows for this long that it is one: one digest may be lost.
constexpr std::chrono::milliseconds relay_sender_validity = 2 * digest_interval;
/// A digest may replace the known incarnation of a host only with a heartbeat that is this much
/// newer. Incarnations have no order, and the age of a relayed heartbeat is known up to its transit
/// time, of which heartbeats that are delayed by more than a second are dropped.
constexpr std::chrono::milliseconds incarnation_change_margin{1000};

/// Whether heartbeats are relayed: the failure domains lie in two regions or more.
/// \param regions the region of each failure domain
bool relays_heartbeats(const std::map<std::string, std::string>& regions);

/// The interval of the heartbeats within a domain of this many hosts.
constexpr duration domain_heartbeat_interval_for(std::size_t hosts) {
    return std::max<duration>(heartbeat_interval_for(hosts), min_relayed_heartbeat_interval);
}

/// The time after which a host that is known through digests counts as dead, from the time at which
/// its relay received its latest heartbeat. Both relays of a domain may die: their successors send
/// after a heartbeat timeout, and the last digest was up to a digest interval old by then.
constexpr duration relayed_timeout_for(duration heartbeat_interval) {
    return heartbeat_timeout_for(heartbeat_interval) + 2 * digest_interval;
}

/// What decides whether a host sends its heartbeats to another one directly.
struct heartbeat_receiver {
    std::string failure_domain;
    /// It applies digests and may be a relay.
    bool reads_digests = false;
    /// A digest has named it within its timeout.
    bool in_digests = false;
    /// It has announced that no digest names this host.
    bool misses_digests = false;
    /// It has been known for less than `introduction_time`.
    bool is_new = false;
    bool operator==(const heartbeat_receiver&) const = default;
};

enum class heartbeat_route {
    /// Only through the relays.
    relayed,
    direct,
    /// Directly, and with the announcement that no digest names the receiver.
    direct_announced
};

/// The route of heartbeats to another host. Hosts that no digest names, as after a start or a
/// partition, exchange direct heartbeats until one does.
heartbeat_route route_heartbeat(const std::string& own_domain, const heartbeat_receiver& receiver);

/// A host of another domain that may be its relay.
struct relay_prospect {
    relay_candidate candidate;
    bool alive = false;
    time_point last_heard;
    bool operator==(const relay_prospect&) const = default;
};

/// The relays of another domain. If none of its hosts is alive, as during a partition, they are
/// chosen from the hosts that were heard last, so that the first digest afterwards arrives.
std::vector<std::string> presumed_relays(const std::vector<relay_prospect>& hosts,
                                         std::size_t count);

/// A relay of another domain that has sent a digest.
struct digest_sender {
    std::string host;
    time_point received;
    bool operator==(const digest_sender&) const = default;
};

/// The host of another domain that a relay sends its digests to; empty if there is none. A relay
/// that has recently sent a digest with the same rank is preferred to one that is only presumed:
/// that domain knows first when a relay has died.
/// \param relays as `presumed_relays` returns them
/// \param rank of the sending relay in its own domain, from 0
std::string digest_target(const std::vector<std::string>& relays,
                          const std::map<std::size_t, digest_sender>& senders, std::size_t rank,
                          time_point now);

/// A heartbeat in a digest. The peer's clock gives `sent_ms`; `heard_at` is the time, on this
/// host's clock, at which the relay received it.
struct relayed_heartbeat {
    std::string host;
    std::uint32_t incarnation = 0;
    std::uint64_t sent_ms = 0;
    time_point heard_at;
    bool operator==(const relayed_heartbeat&) const = default;
};

/// The newest heartbeats of a peer, by their route.
struct heartbeat_history {
    /// 0 for an unknown peer.
    std::uint32_t incarnation = 0;
    std::uint64_t direct_sent_ms = 0;
    std::uint64_t relayed_sent_ms = 0;
    /// The last direct message of any kind.
    time_point direct_at;
    time_point relayed_at;
    bool operator==(const heartbeat_history&) const = default;
};

enum class relayed_verdict {
    /// It is older than one applied before, or of an earlier incarnation.
    drop,
    /// It shows that digests name the peer; its contents are known.
    record_only,
    apply
};

relayed_verdict judge_relayed(const heartbeat_history& known, const relayed_heartbeat& arrived);

/// Decides which digests a relay forwards to its own domain. Digests of a second relay are
/// forwarded only when the first relays' path has not delivered them, which halves what each host
/// receives. Usage: `if (forwarder.is_needed(rank, urgent, hosts)) { ...; forwarder.record(hosts);
/// }`
class digest_forwarder {
public:
    /// The difference of age at which a digest is forwarded although it came through second relays:
    /// a digest interval and the variation of transit times.
    static constexpr std::chrono::milliseconds max_lag = digest_interval * 6 / 5;

    bool is_needed(std::size_t rank, bool urgent,
                   const std::vector<relayed_heartbeat>& hosts) const;
    /// Records heartbeats that all hosts of the own domain have been sent.
    void record(const std::vector<relayed_heartbeat>& hosts);

private:
    std::map<std::string, relayed_heartbeat> m_forwarded;
};

/// Drops digests that arrive after a later one of the same relay, as on two paths.
class digest_sequence {
public:
    /// Whether the digest is the newest one of its relay's process.
    bool advance(const std::string& relay, std::uint32_t incarnation, std::uint64_t number);

private:
    struct position {
        std::uint32_t incarnation = 0;
        std::uint64_t number = 0;
    };
    std::map<std::string, position> m_newest;
};

/// The direct contact with a peer while a call to it waits for its response.
struct call_contact {
    time_point sent_at;
    time_point last_received;
    /// When the peer was last asked for a heartbeat.
    time_point probed_at;
    bool operator==(const call_contact&) const = default;
};

enum class call_check { none, probe, overdue };

/// Decides about a peer of another domain, which sends no regular heartbeats directly: it is asked
/// for one when it is silent, and its response is overdue when that does not arrive either.
/// \param probe_after the silence after the call at which the peer is asked
/// \param unresponsive_after the silence after the call at which its response is overdue
call_check check_call(const call_contact& contact, duration probe_after,
                      duration unresponsive_after, time_point now);

} // namespace bronzeplank
