/// \file
/// A server that is not driven by the event loop of the test, which may therefore stand still.
#pragma once

#include "bronzeplank/settings.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzeplank::model {

/// How a connection has ended, as its receiving end sees it first.
enum class connection_end { none, closed, reset };

/// Takes one connection and what arrives on it, without waiting for either.
///
/// Usage: `plain_listener server; ... REQUIRE(server.received().empty());`
class plain_listener {
public:
    // No other fixture listens on this port. Tests that listen on a port are run one at a time.
    static constexpr std::uint16_t port = 7589;

    plain_listener() : m_listening(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        const int yes = 1;
        setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_listening, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            listen(m_listening, 1) != 0) {
            throw std::runtime_error("the port is in use");
        }
    }
    ~plain_listener() {
        close(m_listening);
        if (m_connection >= 0) {
            close(m_connection);
        }
    }
    plain_listener(const plain_listener&) = delete;
    plain_listener& operator=(const plain_listener&) = delete;

    static endpoint address() { return {"127.0.0.1", port}; }

    /// All that has arrived so far.
    const std::string& received() {
        accept_connection();
        char buffer[4096];
        ssize_t count = 0;
        while (m_connection >= 0 && (count = recv(m_connection, buffer, sizeof buffer, 0)) > 0) {
            m_received.append(buffer, static_cast<std::size_t>(count));
        }
        if (m_connection >= 0 && m_end == connection_end::none && count == 0) {
            m_end = connection_end::closed;
        } else if (m_connection >= 0 && m_end == connection_end::none && errno == ECONNRESET) {
            m_end = connection_end::reset;
        }
        return m_received;
    }

    /// How the connection has ended, once all that had arrived was received.
    connection_end end() {
        received();
        return m_end;
    }

    void send_text(const std::string& text) {
        accept_connection();
        send(m_connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

private:
    void accept_connection() {
        if (m_connection < 0) {
            m_connection = accept4(m_listening, nullptr, nullptr, SOCK_NONBLOCK);
        }
    }

    int m_listening;
    int m_connection = -1;
    std::string m_received;
    connection_end m_end = connection_end::none;
};

} // namespace bronzeplank::model
