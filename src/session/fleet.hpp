/// \file
/// The other session hosts: which are alive, which instances they reach, and work that is forwarded
/// to them.
#pragma once

#include "bronzeplank/gateway_order.hpp"
#include "bronzeplank/heartbeat_interval.hpp"
#include "bronzeplank/heartbeat_relay.hpp"
#include "bronzeplank/incarnation_filter.hpp"
#include "bronzeplank/usage_report.hpp"
#include "edge/peer_bus.hpp"
#include "session/fleet_directory.hpp"
#include "session/upstream_work.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeplank::wire {
class fleet_heartbeat;
class heartbeat_digest;
class primary_view;
} // namespace bronzeplank::wire

namespace google::protobuf {
template <typename Element>
class RepeatedPtrField;
}

namespace bronzeplank {

struct fleet_relays;

/// A gateway's view of its connection pool to one instance.
struct pool_status {
    bool reachable = true;
    /// Expected queueing time of a new statement.
    duration wait{};
    /// A write has been running for far longer than expected.
    bool stalled = false;
    /// The fraction of recent statements that failed or hang, from 0 to 1.
    double failure_rate = 0;
    bool operator==(const pool_status&) const = default;
};

/// A host's use of one workspace's rate.
struct workspace_usage {
    /// Operations per second, admitted or refused.
    double demand = 0;
    /// Operations admitted since the host's process started.
    std::uint64_t admitted = 0;
    bool operator==(const workspace_usage&) const = default;
};

/// What a host says of usage reports.
struct usage_announcement {
    /// The claim by which the host reports; revision 0 if it doesn't.
    store_position claim;
    /// The last window whose report is decided, as far as the host knows.
    window_number decided = 0;
    bool operator==(const usage_announcement&) const = default;
};

/// Another host, as of its latest heartbeats.
struct fleet_peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    std::uint32_t incarnation = 0;
    /// The latest changes that the peer has applied.
    directory_versions directory;
    bool leaving = false;
    bool platform_reachable = false;
    host_resources resources{};
    /// The last direct message.
    time_point last_received;
    /// The peer is considered dead after this long without a message.
    duration timeout{};
    /// When a relay of the peer's domain received the latest heartbeat that a digest has brought.
    time_point last_relayed;
    /// The peer is considered dead after this long without a newer heartbeat in a digest.
    duration relayed_timeout{};
    /// The newest heartbeats by route, on the peer's clock.
    std::uint64_t direct_sent_ms = 0;
    std::uint64_t relayed_sent_ms = 0;
    /// When this incarnation became known.
    time_point joined_at;
    /// The peer applies digests.
    bool reads_digests = false;
    /// Until then, the peer is taken to receive no digest that names this host.
    time_point misses_digests_until;
    /// No message has arrived although the response to a call is overdue.
    bool response_overdue = false;
    /// Result of the latest liveness check.
    bool marked_alive = false;
    /// By instance.
    std::map<std::string, pool_status, std::less<>> pools;
    /// By workspace.
    std::map<std::string, workspace_usage, std::less<>> usage;
    /// Whether the usage was reported since the peer became reachable.
    bool usage_reported = false;
    /// The newest commit that the peer has acknowledged to a caller, by group.
    std::map<std::string, log_position, std::less<>> acknowledged;
    usage_announcement reporting;

    bool in_digests(time_point now) const { return now - last_relayed < relayed_timeout; }
    bool heard(time_point now) const { return now - last_received < timeout || in_digests(now); }
    bool alive(time_point now) const { return !response_overdue && heard(now); }
    time_point last_heard() const { return std::max(last_received, last_relayed); }
    heartbeat_history history() const {
        return {incarnation, direct_sent_ms, relayed_sent_ms, last_received, last_relayed};
    }

    void record_contact(time_point now) {
        usage_reported = usage_reported && alive(now);
        last_received = now;
        response_overdue = false;
    }

    /// Unlike a direct message, a digest doesn't show that the peer answers calls.
    void record_relayed(time_point now, time_point heard_at) {
        usage_reported = usage_reported && alive(now);
        last_relayed = std::max(last_relayed, heard_at);
    }
};

/// What a host says of a group's primary.
struct reported_primary {
    known_primary primary;
    /// The position with which its term began, if the host knows it.
    std::optional<log_position> first_position;
    bool operator==(const reported_primary&) const = default;
};

/// Callbacks through which the fleet serves requests of peers, reads the local state that
/// heartbeats report, and passes on the state that it receives.
struct fleet_callbacks {
    std::function<void(upstream_work, answer_handler)> run;
    std::function<void(const std::string&, const transaction_key&)> end_transaction;
    /// Refuses work of another host that is still queued.
    std::function<void(const std::string& instance, const work_key&)> drop;
    std::function<void(const std::string&, replication_command, std::uint64_t, status_handler)>
        send_command;
    std::function<void(const std::string&, verified_position_handler)> request_verified_position;
    std::function<std::map<std::string, pool_status, std::less<>>()> pools;
    std::function<std::map<std::string, workspace_usage>()> usage;
    std::function<std::map<std::string, reported_primary>()> primaries;
    std::function<std::map<std::string, log_position>()> acknowledged;
    std::function<void(const std::string&, const reported_primary&)> record_primary;
    /// Versions only, for heartbeats, or with the contents when `with_contents` is set.
    std::function<directory_snapshot(bool with_contents)> snapshot_directory;
    std::function<bool()> platform_unreachable;
    /// Whether a newer instance list is to be requested from peers; without it, while the platform
    /// is unreachable.
    std::function<bool()> lists_from_peers;
    /// Applies an instance list that a relay has sent without being asked.
    std::function<void(const directory_snapshot&)> accept_relayed;
    std::function<void(const directory_snapshot&)> accept_directory;
    /// Up to which changes this host knows the platform's directory.
    std::function<directory_versions()> known_directory;
    /// Called when peers have had later changes for longer than the platform needs to deliver them.
    std::function<void(const directory_versions& newest)> directory_overdue;
    /// What this host's heartbeats say of usage reports. This and the following callbacks are empty
    /// if the platform asks for none.
    std::function<usage_announcement()> reporting{};
    /// This host's time of day, and that of a peer now, without the time that it was on its way.
    std::function<utc_time()> time_of_day{};
    std::function<void(const std::string& host, utc_time reading)> record_time_of_day{};
    std::function<void(const std::string& host, std::uint32_t incarnation, const usage_update&)>
        record_usage{};
};

/// Exchanges heartbeats with all known hosts and forwards work to their gateways. In a deployment
/// over several regions, hosts of other failure domains are known through the digests of relays.
///
/// Guarantees:
/// - A peer is dead after a little more than three of its heartbeat intervals without a message, or
///   after `unresponsive_after` without a message following a call. When it dies or restarts, the
///   pending calls to it complete as `unanswered`.
/// - A call to a peer that is dead or not connected completes as `unsent`.
/// - Heartbeats and requests that arrive too late to be acted on, as after a network partition, and
///   all messages of a peer's earlier incarnation are dropped.
/// - A response reaches only the call that it belongs to, never a call that a later incarnation
///   of this host has made.
///
/// Usage: `fleet peers(loop, self, directory, callbacks); peers.start();`
/// `peers.run(host, work, on_answer);`
class fleet {
public:
    struct identity {
        std::string host;
        std::string failure_domain;
        endpoint peer_endpoint;
        std::vector<endpoint> known_peers;
        host_resources resources{};
        /// The region of each failure domain, if known; with two or more, heartbeats are relayed.
        std::map<std::string, std::string> regions{};
    };

    /// A peer is dead when no message at all arrives within this time after a call.
    static constexpr std::chrono::milliseconds unresponsive_after{650};
    /// A heartbeat is requested from a peer that has sent nothing for this long after a call. Most
    /// statements are answered sooner.
    static constexpr std::chrono::milliseconds probe_after{250};
    /// Timeout of replication commands and position requests. Both are cheap: a gateway that takes
    /// longer is of no use to the caller.
    static constexpr std::chrono::milliseconds control_call_timeout{500};
    /// A host without messages for this long no longer counts as part of the fleet.
    static constexpr std::chrono::seconds host_retention{30};
    /// Two, so that a failure domain keeps a relay when one of them dies.
    static constexpr std::size_t relays_per_domain = 2;
    /// Up to this many hosts follow the platform on their own: the calls that relays would save
    /// don't outweigh a change's longer way.
    static constexpr std::size_t max_hosts_without_relays = 24;

    fleet(event_loop& loop, identity self, fleet_directory& directory, fleet_callbacks callbacks);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts sending heartbeats; everything that the callbacks use must exist by then.
    void start();

    /// Peers that are alive, ordered by name.
    std::vector<const fleet_peer*> live_peers(time_point now) const;
    /// The number of hosts that are alive, this one included.
    std::size_t live_host_count(time_point now) const;
    /// This host's index among the hosts that are alive, ordered by name.
    std::size_t live_host_index(time_point now) const;
    /// The number of hosts, this one included, that are alive or may be alive but unreachable.
    std::size_t presumed_host_count(time_point now) const;
    /// The number of live peers that report the instance as unreachable.
    int unreachable_count(const std::string& instance) const;
    /// Changes whenever a peer joins, dies, starts to leave, announces another capacity,
    /// or reports other instances as unreachable.
    std::uint64_t view_version() const { return m_view_version; }
    /// The hosts that relay for the failure domain, as this host sees it: live ones that reach the
    /// platform and aren't leaving. May include this host.
    std::vector<std::string> relays_of(const std::string& failure_domain, time_point now) const;
    /// Whether relays send this host what it needs from outside its failure domain. False in small
    /// fleets, on relays, and while this host sees no relay.
    bool follows_relay(time_point now) const;
    /// The number of hosts that relay for any failure domain.
    std::size_t relay_count(time_point now) const;
    /// Sends the instance list to the other hosts of this host's failure domain.
    void send_directory_change(const directory_snapshot& snapshot);
    /// What this host announces of its machine.
    const host_resources& own_resources() const { return m_self.resources; }
    /// Null unless the peer is alive.
    const fleet_peer* find_live(const std::string& host) const;

    void run(const std::string& host, const upstream_work& work, answer_handler on_answer);
    void end_transaction(const std::string& host, const std::string& instance,
                         const transaction_key& key);
    /// Tells the gateway that this host no longer waits for the work. If the work is still queued,
    /// it is answered as not run.
    void drop_work(const std::string& host, const std::string& instance, const work_key& key);
    void send_command(const std::string& host, const std::string& instance,
                      replication_command command, std::uint64_t term, status_handler on_status);
    void request_verified_position(const std::string& host, const std::string& group,
                                   verified_position_handler on_position);

    /// Sends counts of operations to a host; not repeated if it can't be reached.
    void send_usage(const std::string& host, const usage_update& update);

    /// The time between two reports of the use of rates.
    duration usage_report_interval() const;

    /// Sends a heartbeat to all peers now instead of at the next interval.
    void send_heartbeat();
    /// Announces that this host is leaving the fleet.
    void leave();

    /// Identifies this start of the process; never 0.
    std::uint32_t incarnation() const { return m_incarnation; }

    std::uint64_t relayed_count() const { return m_relayed_count; }
    /// Messages that arrived too late or came from an earlier incarnation of their sender.
    std::uint64_t dropped_count() const { return m_dropped_count; }
    std::uint64_t bytes_sent() const { return m_bus.bytes_sent(); }
    std::uint64_t bytes_sent(peer_message_kind kind) const { return m_bus.bytes_sent(kind); }
    /// Whether this host exchanges digests for its failure domain.
    bool is_relay() const;

private:
    /// A request that waits for its response; exactly one of the handlers is set.
    struct call {
        std::string host;
        time_point sent_at;
        time_point deadline;
        /// A heartbeat was requested to check whether the peer is alive.
        bool probed = false;
        answer_handler on_answer;
        status_handler on_status;
        verified_position_handler on_position;
        /// Of a statement: what to drop, and when, if no answer has arrived.
        std::string instance{};
        work_key work{};
        std::optional<time_point> drop_at{};
    };

    void receive(const wire::envelope& message);
    void handle(const wire::envelope& message, duration delay);
    bool is_timely(const wire::envelope& message, duration delay);
    void record_round_trip(const wire::envelope& message, time_point sent, time_point received);
    void handle_heartbeat(const wire::envelope& message, duration delay);
    bool begin_incarnation(fleet_peer& peer, const std::string& host, std::uint32_t incarnation,
                           const wire::fleet_heartbeat& heartbeat);
    void apply_heartbeat(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat);
    void apply_full_heartbeat(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat);
    void record_primaries(const google::protobuf::RepeatedPtrField<wire::primary_view>& primaries);
    std::map<std::string, heartbeat_route> heartbeat_routes(time_point now) const;
    void send_routed_heartbeats(wire::envelope& message);
    void store_domain_heartbeat(const wire::envelope& message, duration delay);
    std::vector<std::string> own_relays(time_point now) const;
    std::map<std::string, std::vector<std::string>> foreign_relays(time_point now) const;
    void update_relay_rank(time_point now);
    void write_domain(wire::heartbeat_digest& digest, time_point now) const;
    void send_digests(time_point now);
    void handle_digest(const wire::envelope& message, duration delay);
    void forward_digest(const wire::heartbeat_digest& digest,
                        const std::vector<relayed_heartbeat>& times, duration delay);
    void apply_relayed(const relayed_heartbeat& arrived, const wire::fleet_heartbeat& heartbeat);
    void check_call_to(const fleet_peer& peer, time_point sent_at, time_point now);
    void probe_overdue_peers(time_point now);
    void request_heartbeat(const std::string& host);
    void record_time_of_day(const wire::envelope& message, duration delay) const;
    void write_resources(wire::fleet_heartbeat& heartbeat) const;
    void read_resources(fleet_peer& peer, const wire::fleet_heartbeat& heartbeat);
    void write_changed_state(wire::fleet_heartbeat& heartbeat) const;
    void write_usage_state(wire::fleet_heartbeat& heartbeat) const;
    void handle_work(const std::string& from, const wire::envelope& message, duration delay);
    void handle_command(const std::string& from, const wire::envelope& message);
    void handle_position_request(const std::string& from, const wire::envelope& message);
    void send_directory(const std::string& from);
    void handle_directory(const wire::envelope& message);
    void check_directory(time_point now);
    std::vector<const fleet_peer*> newer_peers(const directory_versions& known,
                                               time_point now) const;
    void request_newer_directory(const directory_versions& known, time_point now);
    void complete_call(const wire::envelope& message);
    std::uint64_t register_call(const std::string& host, duration timeout, call handlers);
    bool send(const std::string& host, wire::envelope& message);
    void set_sender(wire::envelope& message) const;
    void fail_call(const call& failed, upstream_result result);
    void fail_calls_to(const std::string& host);
    void update_liveness(time_point now);
    void probe_unresponsive_peers(time_point now);
    void drop_overdue_work(time_point now);
    void write_heartbeat(wire::envelope& message, bool full) const;
    void send_regular_heartbeat();
    void send_heartbeat_to(const std::string& host);
    void schedule_heartbeat_soon();
    duration heartbeat_interval() const;
    void tick();
    void sweep(time_point now);
    std::set<std::string> peer_addresses() const;

    event_loop& m_loop;
    identity m_self;
    fleet_directory& m_directory;
    fleet_callbacks m_callbacks;
    std::uint32_t m_incarnation;
    time_point m_started;
    bool m_leaving = false;
    std::map<std::string, fleet_peer> m_peers;
    std::map<std::uint64_t, call> m_calls;
    std::uint64_t m_next_call;
    std::map<std::string, incarnation_filter> m_incarnation_filters;
    /// The newest message of each peer.
    struct heard_message {
        std::uint32_t incarnation = 0;
        std::uint64_t sent_ms = 0;
        time_point received{};
    };
    std::map<std::string, heard_message> m_heard;
    std::uint64_t m_dropped_count = 0;
    /// Since when a peer has reported a newer directory.
    std::optional<time_point> m_behind_since;
    /// Requests for a newer directory since this host fell behind.
    std::size_t m_directory_requests = 0;
    std::uint64_t m_view_version = 0;
    mutable std::map<std::string, int, std::less<>> m_unreachable_counts;
    mutable std::uint64_t m_unreachable_view_version = 0;
    time_point m_next_heartbeat{};
    time_point m_directory_checked{};
    std::uint64_t m_relayed_count = 0;
    /// Incremental heartbeats left until the next full one.
    int m_heartbeats_until_full = 0;
    /// What the last heartbeat to all hosts reported.
    std::map<std::string, reported_primary> m_sent_primaries;
    std::map<std::string, log_position> m_sent_acknowledged;
    /// Null unless heartbeats are relayed.
    std::unique_ptr<fleet_relays> m_relays;
    peer_bus m_bus;
    timer m_tick;
    timer m_sweep;
};

} // namespace bronzeplank
