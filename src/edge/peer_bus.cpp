#include "edge/peer_bus.hpp"

#include "peer.pb.h"
#include "runtime/log.hpp"

#include <fmt/format.h>
#include <numeric>
#include <zmq.hpp>

namespace bronzeplank {

namespace {

constexpr int max_queued_messages = 256;
constexpr std::int64_t max_message_bytes = 4 << 20;
constexpr int max_reconnect_interval_ms = 400;
// TCP retransmits a lost SYN only after seconds, so a connect during a network partition is
// abandoned and repeated.
constexpr int connect_timeout_ms = 500;
// Detects an outgoing connection that is dead without a reset. Every connection carries heartbeats,
// so unacknowledged bytes are enough to detect it; ZeroMQ's own heartbeats would double the number
// of messages.
constexpr int unacknowledged_timeout_ms = 1500;
// Keepalive probes close an incoming connection whose peer is dead, for example after a power loss.
constexpr int keepalive_idle_s = 3;
constexpr int keepalive_interval_s = 1;
constexpr int max_keepalive_probes = 2;
constexpr std::chrono::milliseconds poll_interval{100};
// A connection that isn't completed by the greeting of a peer is closed after this.
constexpr int handshake_timeout_ms = 2000;

peer_message_kind kind_of(const wire::envelope& message) {
    switch (message.payload_case()) {
    case wire::envelope::kBeat:
    case wire::envelope::kFleet:
    case wire::envelope::kBeatAsked:
        return peer_message_kind::heartbeat;
    case wire::envelope::kDigest:
        return peer_message_kind::digest;
    case wire::envelope::kRequest:
    case wire::envelope::kAnswer:
    case wire::envelope::kWork:
    case wire::envelope::kWorkAnswer:
    case wire::envelope::kEnd:
        return peer_message_kind::statement;
    case wire::envelope::kReplication:
    case wire::envelope::kReplicationAnswer:
    case wire::envelope::kSample:
    case wire::envelope::kSampleAnswer:
        return peer_message_kind::command;
    case wire::envelope::kKeys:
    case wire::envelope::kConfiguration:
    case wire::envelope::kDirectory:
    case wire::envelope::kDirectoryAnswer:
    case wire::envelope::kDirectoryChange:
        return peer_message_kind::directory;
    default:
        return peer_message_kind::other;
    }
}

} // namespace

struct peer_bus::sockets {
    zmq::context_t context{1};
    zmq::socket_t incoming{context, zmq::socket_type::pull};
    std::map<std::string, zmq::socket_t> outgoing;
    event* readable_event = nullptr;

    ~sockets() {
        if (readable_event != nullptr) {
            event_free(readable_event);
        }
    }

    zmq::socket_t& socket_for(const std::string& address) {
        const auto found = outgoing.find(address);
        if (found != outgoing.end()) {
            return found->second;
        }
        zmq::socket_t socket(context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, max_queued_messages);
        // While not connected, messages are dropped, so that no outdated one is delivered later.
        socket.set(zmq::sockopt::immediate, 1);
        socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
        socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
        socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_timeout_ms);
        socket.connect("tcp://" + address);
        return outgoing.emplace(address, std::move(socket)).first->second;
    }
};

peer_bus::peer_bus(event_loop& loop, const endpoint& listen, handler on_message)
    : m_loop(loop), m_on_message(std::move(on_message)), m_sockets(std::make_unique<sockets>()) {
    m_sockets->incoming.set(zmq::sockopt::linger, 0);
    m_sockets->incoming.set(zmq::sockopt::rcvhwm, max_queued_messages);
    m_sockets->incoming.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    m_sockets->incoming.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive, 1);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_idle, keepalive_idle_s);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_intvl, keepalive_interval_s);
    m_sockets->incoming.set(zmq::sockopt::tcp_keepalive_cnt, max_keepalive_probes);
    try {
        m_sockets->incoming.bind("tcp://" + listen.to_text());
    } catch (const zmq::error_t& error) {
        throw std::runtime_error(
            fmt::format("cannot listen on {}: {}", listen.to_text(), error.what()));
    }
    const auto on_readable = [](evutil_socket_t, short, void* argument) {
        static_cast<peer_bus*>(argument)->receive_pending();
    };
    m_sockets->readable_event = event_new(loop.base(), m_sockets->incoming.get(zmq::sockopt::fd),
                                          EV_READ | EV_PERSIST, on_readable, this);
    event_add(m_sockets->readable_event, nullptr);
    receive_pending();
}

peer_bus::~peer_bus() = default;

// ZeroMQ's descriptor is edge-triggered, so all pending messages are read at each event. A periodic
// timer covers an edge that another call on the socket has consumed.
void peer_bus::receive_pending() {
    zmq::message_t message;
    while (m_sockets->incoming.recv(message, zmq::recv_flags::dontwait)) {
        wire::envelope envelope;
        if (envelope.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
            m_on_message(envelope);
        } else {
            log(log_event::peer_message_refused, {{"host", envelope.from()},
                                                  {"kind", "envelope"},
                                                  {"reason", "it can't be parsed"}});
        }
    }
    m_poll_timer = m_loop.after(poll_interval, [this] { receive_pending(); });
}

bool peer_bus::send(const std::string& address, const wire::envelope& message) {
    return send_bytes(address, message.SerializeAsString(), kind_of(message));
}

void peer_bus::send_all(const std::set<std::string>& addresses, const wire::envelope& message) {
    const std::string bytes = message.SerializeAsString();
    for (const auto& address : addresses) {
        send_bytes(address, bytes, kind_of(message));
    }
}

void peer_bus::connect(const std::string& address) {
    try {
        m_sockets->socket_for(address);
    } catch (const zmq::error_t& error) {
        refuse_address(address, error.what());
    }
}

std::uint64_t peer_bus::bytes_sent() const {
    return std::accumulate(m_bytes_sent.begin(), m_bytes_sent.end(), std::uint64_t{0});
}

// Logged once: heartbeats repeat the attempt.
void peer_bus::refuse_address(const std::string& address, const std::string& reason) {
    if (m_refused_addresses.insert(address).second) {
        log(log_event::peer_address_refused, {{"address", address}, {"reason", reason}});
    }
}

bool peer_bus::send_bytes(const std::string& address, const std::string& bytes,
                          peer_message_kind kind) {
    try {
        zmq::message_t frame(bytes.data(), bytes.size());
        const auto sent = m_sockets->socket_for(address).send(frame, zmq::send_flags::dontwait);
        m_bytes_sent[static_cast<std::size_t>(kind)] += sent ? bytes.size() : 0;
        return sent.has_value();
    } catch (const zmq::error_t& error) {
        refuse_address(address, error.what());
        return false;
    }
}

void peer_bus::disconnect(const std::string& address) {
    m_sockets->outgoing.erase(address);
}

} // namespace bronzeplank
