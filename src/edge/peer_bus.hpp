/// \file
/// One-way protobuf messages between hosts over ZeroMQ.
#pragma once

#include "bronzeplank/settings.hpp"
#include "runtime/event_loop.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bronzeplank::wire {
class envelope;
}

namespace bronzeplank {

/// What messages are counted by.
enum class peer_message_kind { heartbeat, digest, statement, command, directory, other };

/// Receives on this host's address and sends to peers by address. Sending never blocks: a message
/// to an unreachable or slow peer is dropped, so the sender must repeat messages that must arrive.
/// Usage: `peer_bus bus(loop, address, handler); bus.send("127.0.0.1:7301", message);`
class peer_bus {
public:
    using handler = std::function<void(const wire::envelope&)>;

    peer_bus(event_loop& loop, const endpoint& listen, handler on_message);
    ~peer_bus();
    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;

    /// Sends the message; false when it was dropped. True does not mean that it arrived.
    bool send(const std::string& address, const wire::envelope& message);

    /// Sends the same message to several peers; unreachable ones do not get it.
    void send_all(const std::set<std::string>& addresses, const wire::envelope& message);

    /// Opens the connection to a peer before the first message to it, which would be dropped.
    void connect(const std::string& address);

    /// Closes the connection to a peer that has left.
    void disconnect(const std::string& address);

    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_sent(peer_message_kind kind) const {
        return m_bytes_sent[static_cast<std::size_t>(kind)];
    }

private:
    struct sockets;

    void receive_pending();
    bool send_bytes(const std::string& address, const std::string& bytes, peer_message_kind kind);
    void refuse_address(const std::string& address, const std::string& reason);

    event_loop& m_loop;
    handler m_on_message;
    std::unique_ptr<sockets> m_sockets;
    std::array<std::uint64_t, static_cast<std::size_t>(peer_message_kind::other) + 1>
        m_bytes_sent{};
    std::set<std::string> m_refused_addresses;
    timer m_poll_timer;
};

} // namespace bronzeplank
