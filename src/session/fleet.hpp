/// \file
/// The other session hosts: who lives, what they reach, and work that is handed to them.
#pragma once

#include "bronzeplank/heartbeat_interval.hpp"
#include "bronzeplank/incarnation_filter.hpp"
#include "edge/peer_bus.hpp"
#include "session/fleet_directory.hpp"
#include "session/upstream_work.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeplank::wire {
class fleet_beat;
}

namespace bronzeplank {

/// What a gateway says of an instance.
struct lane_state {
    bool reachable = true;
    duration wait{};
    /// A write has run there for much longer than any should.
    bool stalled = false;
    /// The share of its latest statements that failed or hang, from 0 to 1.
    double failing = 0;
    bool operator==(const lane_state&) const = default;
};

/// Another host as heard last.
struct fleet_peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    std::uint32_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    std::uint64_t list_revision = 0;
    bool leaving = false;
    time_point heard;
    /// A longer silence means that the peer is dead.
    duration silence{};
    /// Nothing has come although an answer is long due.
    bool owes_answer = false;
    /// Whether it was heard lately when the fleet looked last.
    bool lives = false;
    std::map<std::string, lane_state, std::less<>> lanes;
    /// Operations a second, by workspace.
    std::map<std::string, double, std::less<>> demands;
    /// The newest commit that the peer has acknowledged to a caller, by group.
    std::map<std::string, log_position, std::less<>> acknowledged;

    bool alive(time_point now) const { return !owes_answer && now - heard < silence; }
};

/// What this host does for others, and tells them.
struct fleet_services {
    std::function<void(upstream_work, answer_handler)> run;
    std::function<void(const std::string&, const transaction_key&)> end_transaction;
    std::function<void(const std::string&, replication_order, std::uint64_t, status_handler)> order;
    std::function<void(const std::string&, sample_handler)> sample;
    std::function<std::map<std::string, lane_state, std::less<>>()> lanes;
    std::function<std::map<std::string, double>()> demands;
    std::function<std::map<std::string, known_primary>()> primaries;
    std::function<std::map<std::string, log_position>()> acknowledged;
    std::function<void(const std::string&, const known_primary&)> learn_primary;
    /// Without the contents, for beats, or whole.
    std::function<directory_copy(bool whole)> copy_directory;
    /// Whether this host asks peers for what they know newer of the list.
    std::function<bool()> platform_lost;
    std::function<void(const directory_copy&)> accept_directory;
};

/// Exchanges beats with every known host and relays work. A peer that has been silent for three of
/// its beats, or for `unanswered_silence` after a call, or has started again, answers nothing any
/// more: what it was asked is unanswered. A call to a peer that isn't connected is `unsent`. What a
/// cut has held up for longer than its sender waits is not acted on, nor is what an earlier start
/// of a peer had sent; an answer reaches only the call that it belongs to, not one of a later start
/// of this host.
class fleet {
public:
    struct identity {
        std::string host;
        std::string failure_domain;
        endpoint peers;
        std::vector<endpoint> known_peers;
    };

    /// A peer from which nothing at all has come for this long after a call is dead.
    static constexpr std::chrono::milliseconds unanswered_silence{650};
    /// A host that nobody here has heard for this long is gone for good.
    static constexpr std::chrono::seconds gone_after{30};

    fleet(event_loop& loop, identity self, fleet_directory& directory, fleet_services services);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Begins to beat; everything that the services use must be there by then.
    void start();

    /// The peers that were heard lately, by name.
    std::vector<const fleet_peer*> live(time_point now) const;
    /// All hosts, this one included, that live or may live where they can't be heard.
    std::size_t known_hosts(time_point now) const;
    /// How many peers can't reach the instance.
    int unreachable_from(const std::string& instance) const;
    /// A number that changes whenever a peer comes, goes, leaves, or reaches other instances.
    std::uint64_t view() const { return m_view; }
    /// Null unless the peer lives.
    const fleet_peer* find(const std::string& host) const;

    void run(const std::string& host, const upstream_work& work, answer_handler answered);
    void end_transaction(const std::string& host, const std::string& instance,
                         const transaction_key& key);
    void order(const std::string& host, const std::string& instance, replication_order what,
               std::uint64_t term, status_handler reported);
    void sample(const std::string& host, const std::string& group, sample_handler sampled);

    /// Tells all peers at once, instead of at the next beat.
    void beat();
    void leave();

    /// Tells one start of this process from the others; never 0.
    std::uint32_t incarnation() const { return m_incarnation; }

    std::uint64_t relayed() const { return m_relayed; }
    /// Messages that came too late to be acted on.
    std::uint64_t dropped() const { return m_dropped; }
    std::uint64_t bytes_sent() const { return m_bus.bytes_sent(); }

private:
    struct call {
        std::string host;
        time_point sent;
        time_point limit;
        /// The peer was asked for a sign of life.
        bool doubted = false;
        answer_handler answered;
        status_handler reported;
        sample_handler sampled;
    };

    void receive(const wire::envelope& message);
    bool acts_on(const wire::envelope& message, duration late);
    void hear(const std::string& from, std::uint32_t incarnation, const wire::fleet_beat& beat);
    void hear_whole(fleet_peer& peer, const wire::fleet_beat& beat);
    void write_changes(wire::fleet_beat& beat);
    void serve_work(const std::string& from, const wire::envelope& message, duration late);
    void serve_order(const std::string& from, const wire::envelope& message);
    void serve_sample(const std::string& from, const wire::envelope& message);
    void serve_directory(const std::string& from);
    void take_directory(const wire::envelope& message);
    void ask_for_directory(time_point now);
    void finish(const wire::envelope& message);
    std::uint64_t expect(const std::string& host, duration limit, call handlers);
    bool send(const std::string& host, wire::envelope& message);
    void sign(wire::envelope& message) const;
    void fail(const call& failed, upstream_result result);
    void fail_calls_to(const std::string& host);
    void look_who_lives(time_point now);
    void doubt_silent_peers(time_point now);
    void write_beat(wire::envelope& message, bool whole);
    void beat_to(const std::string& host);
    void beat_soon();
    duration period() const;
    void tick();
    void sweep(time_point now);
    std::set<std::string> addresses() const;

    event_loop& m_loop;
    identity m_self;
    fleet_directory& m_directory;
    fleet_services m_services;
    std::uint32_t m_incarnation;
    time_point m_started;
    bool m_leaving = false;
    std::map<std::string, fleet_peer> m_peers;
    std::map<std::uint64_t, call> m_calls;
    std::uint64_t m_next_call;
    std::map<std::string, incarnation_filter> m_sources;
    std::uint64_t m_dropped = 0;
    /// Since when peers know a newer directory.
    std::optional<time_point> m_behind_since;
    std::uint64_t m_view = 0;
    mutable std::map<std::string, int, std::less<>> m_unreachable;
    mutable std::uint64_t m_unreachable_view = 0;
    time_point m_beaten{};
    time_point m_next_beat{};
    time_point m_directory_asked{};
    std::uint64_t m_relayed = 0;
    /// Short beats until the next whole one.
    int m_next_whole = 0;
    std::map<std::string, known_primary> m_told_primaries;
    std::map<std::string, log_position> m_told_acknowledged;
    peer_bus m_bus;
    timer m_tick;
    timer m_sweep;
};

} // namespace bronzeplank
