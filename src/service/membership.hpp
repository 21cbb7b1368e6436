/// \file
/// Which hosts there are, and what they tell each other.
#pragma once

#include "bronzeplank/settings.hpp"
#include "bronzeplank/suspicion.hpp"
#include "edge/peer_bus.hpp"
#include "edge/platform_client.hpp"
#include "runtime/kernel.hpp"
#include "runtime/task.hpp"
#include "service/directory.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzeplank {

/// One other host.
struct peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    std::uint64_t incarnation = 0;
    bool leaving = false;
    time_point heard;
    /// Groups whose primary the peer suspects.
    std::vector<std::string> suspected_groups;
    bool operator==(const peer&) const = default;
};

/// Learns of other hosts from the platform's list and from their heartbeats, tells them what this
/// host suspects, and passes on what only ever grows: configuration versions, group terms and
/// withdrawn keys. Messages may be lost, late or repeated; each beat repeats what matters.
class membership {
public:
    static constexpr std::string_view service_name = "membership";
    using relay_handler = std::function<void(const wire::envelope&)>;

    membership(kernel& services, const settings& host, platform_client& platform);
    ~membership();

    void start();
    void stop();

    /// Tells the peers that this host takes no more work.
    void leave();
    /// What this host suspects now; a change is told at once.
    void set_suspected(std::vector<std::string> groups);
    /// Sends a beat to every peer now.
    void beat();

    /// Takes the messages of relays; one handler.
    void on_relay(relay_handler handler) { m_relay = std::move(handler); }
    bool send(const std::string& host, wire::envelope& message);

    /// The peers' opinions of a group's primary.
    std::vector<suspicion_vote> opinions(const std::string& group) const;
    const std::map<std::string, peer>& peers() const { return m_peers; }
    std::uint64_t bytes_sent() const { return m_bus.bytes_sent(); }
    /// Tells all peers of a withdrawal at once.
    void spread_withdrawal(const key_digest& digest);

private:
    task<void> beat_regularly();
    task<void> follow_platform();
    void read_hosts(const std::string& text);
    void receive(const wire::envelope& message);
    void receive_beat(const wire::envelope& message);
    void receive_keys(const wire::envelope& message);
    void catch_up(const wire::envelope& message);
    wire::envelope key_news(const std::set<key_digest>& withdrawn) const;
    void forget_silent();
    bool knows_address(const std::string& address) const;

    event_loop& m_loop;
    const settings& m_host;
    platform_client& m_platform;
    directory& m_directory;
    peer_bus m_bus;
    relay_handler m_relay;
    std::map<std::string, peer> m_peers;
    std::vector<std::string> m_suspected;
    std::uint64_t m_incarnation;
    std::uint64_t m_beats = 0;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace bronzeplank
