/// \file
/// The connection over which a replica receives the log of its primary.
#pragma once

#include "wire.hpp"

#include "runtime/event_loop.hpp"

#include <cstdint>
#include <event2/bufferevent.h>
#include <string>

namespace standin {

class instance;

/// Connects to the primary, requests the log from the replica's last received position on, stores
/// the received entries and reports the received and applied positions. Reconnects after an error
/// or a disconnection, until it is destroyed.
///
///     m_replication = std::make_unique<replication_connection>(*this, port, application);
class replication_connection {
public:
    replication_connection(instance& owner, std::uint16_t port, std::string application);
    ~replication_connection();
    replication_connection(const replication_connection&) = delete;
    replication_connection& operator=(const replication_connection&) = delete;

    /// Sends the received and applied positions to the primary.
    void report_positions();
    /// True once the primary has accepted the replication request.
    bool streaming() const { return m_streaming; }

private:
    static void on_read(bufferevent* stream, void* argument);
    static void on_event(bufferevent* stream, short what, void* argument);

    void connect();
    void disconnect();
    void send(const std::string& bytes);
    void handle_message(const wire_message& message);
    void receive_entry(const std::string& body);

    instance& m_owner;
    std::uint16_t m_port;
    std::string m_application;
    bufferevent* m_stream = nullptr;
    wire_reader m_reader;
    bool m_streaming = false;
    bronzeplank::timer m_reconnect_timer;
};

} // namespace standin
