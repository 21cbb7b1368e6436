#include "edge/abortive_exchange.hpp"

#include "edge/socket_options.hpp"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>
#include <string_view>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzeplank {

namespace {

// The kernel ends a connection without a reset when it gives up. It must not do so before the call
// is given up here; it is left to end the call of a process that is suspended.
constexpr std::chrono::milliseconds kernel_timeout_margin{300};

std::string_view name_of(http_method method) {
    switch (method) {
    case http_method::put:
        return "PUT";
    case http_method::post:
        return "POST";
    case http_method::get:
        break;
    }
    return "GET";
}

std::string to_bytes(const http_exchange& request, const endpoint& target) {
    std::string bytes =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", name_of(request.method),
                    request.path, target.to_text(), request.body.size());
    for (const auto& [name, value] : request.headers) {
        bytes += fmt::format("{}: {}\r\n", name, value);
    }
    return bytes + "\r\n" + request.body;
}

// Returns 0 if the line is no status line.
int read_status(std::string_view line) {
    const std::size_t space = line.find(' ');
    int status = 0;
    if (!line.starts_with("HTTP/1.") || space == std::string_view::npos) {
        return 0;
    }
    std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    return status;
}

/// The connection of one call. It must stay in place until the call has ended.
class abortive_call {
public:
    abortive_call(std::string bytes, time_point send_by, oneshot<int> done)
        : m_bytes(std::move(bytes)), m_send_by(send_by), m_done(std::move(done)) {}
    ~abortive_call() {
        if (m_stream != nullptr) {
            // bufferevent_free() would close the descriptor in a later iteration of the loop only.
            bufferevent_setfd(m_stream, -1);
            bufferevent_free(m_stream);
        }
        if (m_descriptor >= 0) {
            close(m_descriptor);
        }
    }
    abortive_call(const abortive_call&) = delete;
    abortive_call& operator=(const abortive_call&) = delete;

    void start(event_loop& loop, const endpoint& target, duration dead_peer_timeout) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
        m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (m_descriptor < 0) {
            m_done.set(0);
            return;
        }
        reset_on_close(m_descriptor);
        set_socket_options(m_descriptor, dead_peer_timeout);
        m_stream = bufferevent_socket_new(loop.base(), m_descriptor, 0);
        bufferevent_setcb(m_stream, &abortive_call::on_read, nullptr, &abortive_call::on_event,
                          this);
        if (bufferevent_socket_connect(m_stream, reinterpret_cast<const sockaddr*>(&address),
                                       sizeof address) != 0) {
            m_done.set(0);
        }
    }

    bool sent() const { return m_sent; }

private:
    static void on_event(bufferevent*, short events, void* argument) {
        auto* self = static_cast<abortive_call*>(argument);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            self->send_request();
        } else {
            self->m_done.set(0);
        }
    }

    // Written at once rather than by the loop, which may run again only after `m_send_by`.
    void send_request() {
        if (event_loop::now() >= m_send_by) {
            m_done.set(0);
            return;
        }
        const ssize_t count = ::send(m_descriptor, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
        m_sent = count > 0;
        if (count != static_cast<ssize_t>(m_bytes.size())) {
            m_done.set(0);
            return;
        }
        bufferevent_enable(m_stream, EV_READ);
    }

    static void on_read(bufferevent* stream, void* argument) {
        std::size_t length = 0;
        char* line = evbuffer_readln(bufferevent_get_input(stream), &length, EVBUFFER_EOL_CRLF);
        if (line != nullptr) {
            static_cast<abortive_call*>(argument)->m_done.set(read_status({line, length}));
            free(line);
        }
    }

    std::string m_bytes;
    time_point m_send_by;
    oneshot<int> m_done;
    int m_descriptor = -1;
    bufferevent* m_stream = nullptr;
    bool m_sent = false;
};

} // namespace

task<abortive_reply> run_abortive_exchange(event_loop& loop, endpoint target, http_exchange request,
                                           duration timeout, time_point send_by) {
    const oneshot<int> done(loop);
    const timer expiry = loop.after(timeout, [done] { done.set(0); });
    abortive_call call(to_bytes(request, target), send_by, done);
    call.start(loop, target, timeout + kernel_timeout_margin);
    const int status = co_await done;
    co_return abortive_reply{call.sent(), status};
}

} // namespace bronzeplank
