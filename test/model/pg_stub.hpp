/// \file
/// A stub of a PostgreSQL server that accepts every connection and answers no statement.
#pragma once

#include "runtime/event_loop.hpp"

#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string_view>

namespace bronzeplank::model {

/// Listens on a free port of the loopback address. Usage: `pg_stub server(loop); server.port();`
class pg_stub {
public:
    explicit pg_stub(event_loop& loop) : m_loop(loop) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(
            loop.base(), &pg_stub::on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    ~pg_stub() { evconnlistener_free(m_listener); }
    pg_stub(const pg_stub&) = delete;
    pg_stub& operator=(const pg_stub&) = delete;

    std::uint16_t port() const {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address),
                    &size);
        return ntohs(address.sin_port);
    }

private:
    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        bufferevent* connection = bufferevent_socket_new(static_cast<pg_stub*>(self)->m_loop.base(),
                                                         socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection, &pg_stub::on_startup, nullptr, &pg_stub::on_end, nullptr);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    // AuthenticationOk and ReadyForQuery answer the first message, which is the startup message.
    static void on_startup(bufferevent* connection, void*) {
        constexpr std::string_view accepted("R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I", 15);
        evbuffer* input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        bufferevent_write(connection, accepted.data(), accepted.size());
        bufferevent_setcb(connection, nullptr, nullptr, &pg_stub::on_end, nullptr);
    }

    static void on_end(bufferevent* connection, short, void*) { bufferevent_free(connection); }

    event_loop& m_loop;
    evconnlistener* m_listener;
};

} // namespace bronzeplank::model
