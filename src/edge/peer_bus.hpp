/// \file
/// One-way messages between hosts: protobuf over ZeroMQ.
#pragma once

#include "bronzeplank/settings.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bronzeplank::wire {
class envelope;
}

namespace bronzeplank {

/// Receives on this host's own address and sends to peers by address. Sending never blocks: a
/// message to a peer that is away or slow is dropped, and whoever sends it repeats what matters.
/// Usage: `peer_bus bus(loop, at, handler); bus.send("127.0.0.1:7301", message);`
class peer_bus {
public:
    using handler = std::function<void(const wire::envelope&)>;

    peer_bus(event_loop& loop, const endpoint& listen, handler received);
    ~peer_bus();
    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;

    /// Sends the message; false when it was dropped at once.
    bool send(const std::string& address, const wire::envelope& message);

    /// Sends the same message to several peers; those that are away miss it.
    void send_all(const std::set<std::string>& addresses, const wire::envelope& message);

    /// Closes the connection to a peer that is gone.
    void forget(const std::string& address);

    std::uint64_t bytes_sent() const { return m_bytes_sent; }

private:
    struct sockets;

    void drain();
    bool send_bytes(const std::string& address, const std::string& bytes);

    event_loop& m_loop;
    handler m_received;
    std::unique_ptr<sockets> m_sockets;
    std::uint64_t m_bytes_sent = 0;
    timer m_poll;
};

} // namespace bronzeplank
