/// \file
/// Membership of hosts by heartbeat, and the state that hosts exchange.
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

/// Another host, as its last heartbeat describes it.
struct peer {
    std::string host;
    std::string failure_domain;
    std::string address;
    /// 0 until the first heartbeat, when the host is only on the platform's list.
    std::uint64_t incarnation = 0;
    bool leaving = false;
    time_point last_received;
    /// Groups whose primary the peer suspects.
    std::vector<std::string> suspected_groups;
    bool operator==(const peer&) const = default;
};

/// Discovers other hosts from the platform's list and from heartbeats, votes on failed primaries,
/// and propagates state that only grows: configuration versions, group terms and withdrawn keys.
/// Messages may be lost, delayed or repeated; later heartbeats repeat the state.
/// Usage: `membership members(kernel, host, platform); members.start();`
class membership {
public:
    static constexpr std::string_view service_name = "membership";
    using relay_handler = std::function<void(const wire::envelope&)>;

    membership(kernel& services, const settings& host, platform_client& platform);
    ~membership();

    void start();
    void stop();

    /// Announces to the peers that this host is shutting down and takes no more work.
    void leave();
    /// Sets the groups whose primary this host suspects; a change is sent at once.
    void set_suspected(std::vector<std::string> groups);
    /// Sends a heartbeat to every peer now.
    void send_heartbeat();

    /// Sets the handler of relay requests and answers; there is one.
    void on_relay(relay_handler handler) { m_relay = std::move(handler); }
    /// Sends the message to the host; returns false if the host is unknown or the message was
    /// dropped at once.
    bool send(const std::string& host, wire::envelope& message);

    /// Returns the peers' votes on a group's primary.
    std::vector<suspicion_vote> votes(const std::string& group) const;
    const std::map<std::string, peer>& peers() const { return m_peers; }
    std::uint64_t bytes_sent() const { return m_bus.bytes_sent(); }
    /// Sends the withdrawal to all peers at once.
    void broadcast_withdrawal(const key_digest& digest);

private:
    task<void> send_heartbeats();
    task<void> synchronize_host_list();
    void apply_host_list(const std::string& text);
    void receive(const wire::envelope& message);
    void receive_heartbeat(const wire::envelope& message);
    void receive_keys(const wire::envelope& message);
    void send_missing_updates(const wire::envelope& message);
    wire::envelope make_key_update(const std::set<key_digest>& withdrawn) const;
    void remove_expired_peers();
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
    std::uint64_t m_heartbeats_sent = 0;
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace bronzeplank
