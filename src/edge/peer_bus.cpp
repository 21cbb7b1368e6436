#include "edge/peer_bus.hpp"

#include "peer.pb.h"

#include <fmt/format.h>
#include <zmq.hpp>

namespace bronzeplank {

namespace {

constexpr int queue_messages = 256;
constexpr std::int64_t maximum_message_bytes = 4 << 20;
constexpr int longest_reconnect_ms = 400;
// A first packet that a cut swallowed is repeated only after seconds.
constexpr int connect_timeout_ms = 500;
// A connection may go silent without a reset. Beats flow on every one, so that bytes that stay
// unacknowledged show it; ZeroMQ's own pings would be as many messages again.
constexpr int unacknowledged_ms = 1500;
// What a peer opened and left, as when its machine lost power, is closed by probes.
constexpr int probe_after_s = 3;
constexpr int probe_interval_s = 1;
constexpr int probes_before_close = 2;
constexpr std::chrono::milliseconds poll_period{100};

} // namespace

struct peer_bus::sockets {
    zmq::context_t context{1};
    zmq::socket_t incoming{context, zmq::socket_type::pull};
    std::map<std::string, zmq::socket_t> outgoing;
    event* ready = nullptr;

    ~sockets() {
        if (ready != nullptr) {
            event_free(ready);
        }
    }

    zmq::socket_t& to(const std::string& address) {
        const auto found = outgoing.find(address);
        if (found != outgoing.end()) {
            return found->second;
        }
        zmq::socket_t socket(context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, queue_messages);
        // Without a connection a message is dropped, so that none arrives long after its time.
        socket.set(zmq::sockopt::immediate, 1);
        socket.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_ms);
        socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
        socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_ms);
        socket.connect("tcp://" + address);
        return outgoing.emplace(address, std::move(socket)).first->second;
    }
};

peer_bus::peer_bus(event_loop& loop, const endpoint& listen, handler received)
    : m_loop(loop), m_received(std::move(received)), m_sockets(std::make_unique<sockets>()) {
    m_sockets->incoming.set(zmq::sockopt::linger, 0);
    m_sockets->incoming.set(zmq::sockopt::rcvhwm, queue_messages);
    m_sockets->incoming.set(zmq::sockopt::maxmsgsize, maximum_message_bytes);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive, 1);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_idle, probe_after_s);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_intvl, probe_interval_s);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_cnt, probes_before_close);
    try {
        m_sockets->incoming.bind("tcp://" + listen.to_text());
    } catch (const zmq::error_t& error) {
        throw std::runtime_error(
            fmt::format("cannot listen on {}: {}", listen.to_text(), error.what()));
    }
    const auto on_ready = [](evutil_socket_t, short, void* argument) {
        static_cast<peer_bus*>(argument)->drain();
    };
    m_sockets->ready = event_new(loop.base(), m_sockets->incoming.get(zmq::sockopt::fd),
                                 EV_READ | EV_PERSIST, on_ready, this);
    event_add(m_sockets->ready, nullptr);
    drain();
}

peer_bus::~peer_bus() = default;

// ZeroMQ's descriptor is edge-triggered: everything is read at each event, and a slow timer
// makes up for an edge that was consumed elsewhere.
void peer_bus::drain() {
    zmq::message_t message;
    while (m_sockets->incoming.recv(message, zmq::recv_flags::dontwait)) {
        wire::envelope envelope;
        if (envelope.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
            m_received(envelope);
        }
    }
    m_poll = m_loop.after(poll_period, [this] { drain(); });
}

bool peer_bus::send(const std::string& address, const wire::envelope& message) {
    return send_bytes(address, message.SerializeAsString());
}

void peer_bus::send_all(const std::set<std::string>& addresses, const wire::envelope& message) {
    const std::string bytes = message.SerializeAsString();
    for (const auto& address : addresses) {
        send_bytes(address, bytes);
    }
}

bool peer_bus::send_bytes(const std::string& address, const std::string& bytes) {
    zmq::message_t frame(bytes.data(), bytes.size());
    const auto sent = m_sockets->to(address).send(frame, zmq::send_flags::dontwait);
    m_bytes_sent += sent ? bytes.size() : 0;
    return sent.has_value();
}

void peer_bus::forget(const std::string& address) {
    m_sockets->outgoing.erase(address);
}

} // namespace bronzeplank
