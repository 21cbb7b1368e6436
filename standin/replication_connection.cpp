#include "replication_connection.hpp"

#include "instance.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace standin {

namespace {

constexpr std::chrono::milliseconds reconnect_delay{200};

// A startup packet is framed like other messages, but has no type byte.
std::string startup_packet(const std::string& application) {
    message_builder builder('\0');
    builder.int32(196608).text("user").text("replicator").text("replication").text("true");
    builder.text("application_name").text(application).bytes(std::string_view("\0", 1));
    return builder.finish().substr(1);
}

} // namespace

replication_connection::replication_connection(instance& owner, std::uint16_t port,
                                               std::string application)
    : m_owner(owner), m_port(port), m_application(std::move(application)) {
    connect();
}

replication_connection::~replication_connection() {
    disconnect();
}

void replication_connection::connect() {
    disconnect();
    m_reader = wire_reader();
    m_reader.finish_startup();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    inet_pton(AF_INET, m_owner.options().address.c_str(), &address.sin_addr);
    m_stream = bufferevent_socket_new(m_owner.loop().base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(m_stream, &replication_connection::on_read, nullptr,
                      &replication_connection::on_event, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr*>(&address), sizeof address);
    const int on = 1;
    setsockopt(bufferevent_getfd(m_stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    send(startup_packet(m_application));
}

void replication_connection::disconnect() {
    if (m_stream != nullptr) {
        bufferevent_free(m_stream);
    }
    m_stream = nullptr;
    m_streaming = false;
}

void replication_connection::on_event(bufferevent*, short what, void* argument) {
    auto* self = static_cast<replication_connection*>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        self->disconnect();
        self->m_reconnect_timer =
            self->m_owner.loop().after(reconnect_delay, [self] { self->connect(); });
    }
}

void replication_connection::on_read(bufferevent* stream, void* argument) {
    auto* self = static_cast<replication_connection*>(argument);
    evbuffer* input = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    self->m_reader.append(bytes);
    for (auto message = self->m_reader.next(); message; message = self->m_reader.next()) {
        self->handle_message(*message);
    }
}

void replication_connection::handle_message(const wire_message& message) {
    if (message.type == 'Z') {
        const auto& log = m_owner.storage().log();
        const std::string request =
            fmt::format("START_REPLICATION {} {}", m_owner.storage().received_position(),
                        log.empty() ? 0 : log.back().id);
        send(message_builder('Q').text(request).finish());
    } else if (message.type == 'W') {
        m_streaming = true;
        report_positions();
    } else if (message.type == 'd') {
        receive_entry(message.body);
    } else if (message.type == 'E') {
        disconnect();
        m_reconnect_timer = m_owner.loop().after(reconnect_delay, [this] { connect(); });
    }
}

void replication_connection::receive_entry(const std::string& body) {
    if (body == "RESET") {
        m_owner.reset_data();
        return;
    }
    m_owner.storage().append_received(decode_entry(body));
    report_positions();
    m_owner.schedule_apply();
}

void replication_connection::report_positions() {
    if (m_streaming) {
        const std::string status = fmt::format("{} {}", m_owner.storage().received_position(),
                                               m_owner.storage().applied_position());
        send(message_builder('d').bytes(status).finish());
    }
}

void replication_connection::send(const std::string& bytes) {
    if (m_stream != nullptr) {
        bufferevent_write(m_stream, bytes.data(), bytes.size());
    }
}

} // namespace standin
