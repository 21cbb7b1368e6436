#include "edge/http_server.hpp"

#include "bronzeplank/error.hpp"
#include "runtime/limit_log.hpp"

#include <event2/buffer.h>
#include <evhtp.h>
#include <fmt/format.h>
#include <random>
#include <sys/socket.h>

namespace bronzeplank {

namespace {

// Starts again with each byte; host_limits::receive_timeout is for a whole request.
constexpr timeval receive_timeout{30, 0};
constexpr timeval send_timeout{30, 0};
constexpr int listen_backlog = 1024;
// A body of up to this many times the limit is read and discarded, so that the sender receives the
// error answer. The connection is closed when the body is larger than that.
constexpr std::size_t discarded_body_factor = 16;
// The bytes of a head's names and values.
constexpr std::size_t max_head_bytes = 64 << 10;
// What is received and not parsed yet; a body is moved on from there in parts.
constexpr std::size_t max_unparsed_bytes = 64 << 10;
// A client that sends requests ahead is closed when more than this is left of their answers.
constexpr std::size_t max_unread_bytes = 4 << 20;
constexpr std::chrono::seconds late_check_interval{1};
// A body is copied from libevent's buffer into the request, parsed, and sent to an instance.
constexpr std::size_t body_copies = 6;
constexpr std::size_t request_bytes = 4096;
const char* const oversized_header = "Bronzeplank-Oversized";

// libevhtp declares all hooks as functions without parameters.
template <class Function>
evhtp_hook as_hook(Function* function) {
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

// Senders can't know it, so that only this server marks requests as oversized.
std::string random_mark() {
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

std::string header(evhtp_request* request, const char* name) {
    const char* value = evhtp_header_find(request->headers_in, name);
    return value == nullptr ? "" : value;
}

std::string method_name(evhtp_request* request) {
    const char* name = htparser_get_methodstr_m(request->method);
    return name == nullptr ? "" : name;
}

std::string body_of(evhtp_request* request) {
    std::string body(evbuffer_get_length(request->buffer_in), '\0');
    evbuffer_copyout(request->buffer_in, body.data(), body.size());
    return body;
}

http_request read_request(evhtp_request* request) {
    return {method_name(request),
            request->uri->path->full,
            body_of(request),
            header(request, "Authorization"),
            header(request, "Bronzeplank-Session"),
            header(request, "Idempotency-Key"),
            header(request, "Bronzeplank-Deadline-Ms"),
            header(request, "Bronzeplank-Max-Staleness-Ms")};
}

void add_header(evhtp_request* request, const char* name, const std::string& value) {
    evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
}

void send(evhtp_request* request, const http_answer& answer) {
    add_header(request, "Content-Type", answer.content_type);
    if (!answer.session.empty()) {
        add_header(request, "Bronzeplank-Session", answer.session);
    }
    evbuffer_add(request->buffer_out, answer.body.data(), answer.body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(answer.status));
}

} // namespace

/// A client's connection, as its limits see it.
struct http_server::connection {
    http_server& server;
    evhtp_connection* handle;
    memory_guard::owner_id account = 0;
    // When the request began that is being received; nothing between two requests.
    std::optional<time_point> receiving_since = event_loop::now();
    std::size_t head_bytes = 0;
    bool closed = false;

    // libevhtp frees the connection when it sees the end of its stream.
    bool close(limit_kind reason, std::size_t bytes) {
        if (std::exchange(closed, true)) {
            return false;
        }
        record_limit(reason, bytes);
        ::shutdown(handle->sock, SHUT_RDWR);
        if (server.m_guard != nullptr) {
            server.m_guard->set(account, memory_use::input, 0);
        }
        return true;
    }
};

// The callback functions passed to libevhtp.
struct http_server::callbacks {
    static void on_request(evhtp_request* request, void* argument) {
        auto* self = static_cast<http_server*>(argument);
        const auto found = self->m_connections.find(request->conn);
        connection* const open = found == self->m_connections.end() ? nullptr : found->second.get();
        const std::size_t body_bytes = evbuffer_get_length(request->buffer_in);
        if (open != nullptr) {
            open->receiving_since.reset();
            if (self->m_guard != nullptr) {
                self->m_guard->set(open->account, memory_use::input, 0);
            }
        }
        if (header(request, oversized_header) == self->m_oversized_mark) {
            record_limit(limit_kind::request_bytes, self->m_limits.body_bytes);
            send(request, self->m_refusals.too_large);
            return;
        }
        const std::size_t unread =
            evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(request)));
        if (open != nullptr && unread > max_unread_bytes) {
            open->close(limit_kind::unread_answers, unread);
        }
        const std::size_t cost = body_bytes * body_copies + request_bytes;
        if (self->m_guard != nullptr && !self->m_guard->may_start(cost)) {
            record_limit(limit_kind::statement_budget, cost);
            send(request, self->m_refusals.overloaded);
            return;
        }
        evhtp_request_pause(request);
        spawn(self->serve_request(request, read_request(request), cost));
    }

    static evhtp_res on_accept(evhtp_connection* handle, void* argument) {
        auto* self = static_cast<http_server*>(argument);
        if (self->open_connections() >= self->m_limits.connections) {
            return EVHTP_RES_ERROR;
        }
        auto& open = self->m_connections[handle];
        open = std::make_unique<connection>(connection{*self, handle});
        if (self->m_guard != nullptr) {
            open->account = self->m_guard->add([added = open.get()] {
                return added->close(
                    limit_kind::input_budget,
                    added->server.m_guard->budget().used_by(added->account, memory_use::input));
            });
        }
        bufferevent_setwatermark(evhtp_connection_get_bev(handle), EV_READ, 0, max_unparsed_bytes);
        const auto set_hook = [&](evhtp_hook_type type, evhtp_hook hook) {
            evhtp_connection_set_hook(handle, type, hook, open.get());
        };
        set_hook(evhtp_hook_on_headers_start, as_hook(&on_head_start));
        set_hook(evhtp_hook_on_header, as_hook(&on_header));
        set_hook(evhtp_hook_on_read, as_hook(&on_body_part));
        set_hook(evhtp_hook_on_connection_fini, as_hook(&on_connection_end));
        return EVHTP_RES_OK;
    }

    static evhtp_res on_head_start(evhtp_request*, void* argument) {
        auto* const open = static_cast<connection*>(argument);
        open->receiving_since = open->receiving_since.value_or(event_loop::now());
        open->head_bytes = 0;
        return EVHTP_RES_OK;
    }

    static evhtp_res on_header(evhtp_request*, evhtp_header_t* added, void* argument) {
        auto* const open = static_cast<connection*>(argument);
        open->head_bytes += added->klen + added->vlen;
        if (open->head_bytes <= max_head_bytes) {
            return EVHTP_RES_OK;
        }
        open->close(limit_kind::request_bytes, open->head_bytes);
        return EVHTP_RES_ERROR;
    }

    // Discards the part of a body that exceeds the limit, and marks the request as oversized.
    static evhtp_res on_body_part(evhtp_request* request, evbuffer* part, void* argument) {
        auto* const open = static_cast<connection*>(argument);
        const http_server& self = open->server;
        const std::size_t buffered_bytes = evbuffer_get_length(request->buffer_in);
        const std::size_t part_bytes = evbuffer_get_length(part);
        if (open->closed) {
            evbuffer_drain(part, part_bytes);
            evbuffer_drain(request->buffer_in, buffered_bytes);
            return EVHTP_RES_OK;
        }
        if (buffered_bytes + part_bytes <= self.m_limits.body_bytes) {
            if (self.m_guard != nullptr) {
                self.m_guard->set(open->account, memory_use::input, buffered_bytes + part_bytes);
                if (self.m_guard->budget().exceeded(memory_use::input)) {
                    self.m_guard->close_largest(memory_use::input);
                }
            }
            return EVHTP_RES_OK;
        }
        evbuffer_drain(part, part_bytes);
        if (header(request, oversized_header) != self.m_oversized_mark) {
            // A sender may have set the header itself.
            if (evhtp_kv* sent = evhtp_headers_find_header(request->headers_in, oversized_header)) {
                evhtp_header_rm_and_free(request->headers_in, sent);
            }
            evhtp_headers_add_header(
                request->headers_in,
                evhtp_header_new(oversized_header, self.m_oversized_mark.c_str(), 1, 1));
        }
        return EVHTP_RES_OK;
    }

    static evhtp_res on_connection_end(evhtp_connection*, void* argument) {
        auto* const ended = static_cast<connection*>(argument);
        if (ended->server.m_guard != nullptr) {
            ended->server.m_guard->remove(ended->account);
        }
        ended->server.m_connections.erase(ended->handle);
        return EVHTP_RES_OK;
    }

    static evhtp_res on_request_end(evhtp_request*, void* argument) {
        *static_cast<bool*>(argument) = false;
        return EVHTP_RES_OK;
    }
};

http_server::http_server(event_loop& loop, const endpoint& listen, const host_limits& limits,
                         http_refusals refusals, handler handle_request, memory_guard* guard)
    : m_limits(limits), m_refusals(std::move(refusals)), m_oversized_mark(random_mark()),
      m_handler(std::move(handle_request)), m_server(evhtp_new(loop.base(), nullptr)), m_loop(loop),
      m_guard(guard) {
    // With Nagle's algorithm an answer would wait for the acknowledgement of the previous one.
    evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(m_server, &callbacks::on_request, this);
    evhtp_set_post_accept_cb(m_server, &callbacks::on_accept, this);
    evhtp_set_max_body_size(m_server, limits.body_bytes * discarded_body_factor);
    evhtp_set_timeouts(m_server, &receive_timeout, &send_timeout);
    if (evhtp_bind_socket(m_server, listen.address.c_str(), listen.port, listen_backlog) != 0) {
        throw std::runtime_error(fmt::format("cannot listen on {}", listen.to_text()));
    }
    m_listening = true;
    close_late_connections();
}

http_server::~http_server() {
    close();
    evhtp_free(m_server);
}

void http_server::close() {
    if (m_listening) {
        evhtp_unbind_socket(m_server);
        m_listening = false;
    }
}

void http_server::close_late_connections() {
    const time_point latest_start = event_loop::now() - m_limits.receive_timeout;
    for (const auto& [handle, open] : m_connections) {
        if (open->receiving_since && *open->receiving_since < latest_start) {
            open->close(limit_kind::request_timeout, open->head_bytes);
        }
    }
    m_late_timer = m_loop.after(late_check_interval, [this] { close_late_connections(); });
}

task<void> http_server::serve_request(evhtp_request* request, http_request parsed_request,
                                      std::size_t cost) {
    // libevhtp frees the request when its connection breaks; the hook clears this flag then.
    const auto alive = std::make_unique<bool>(true);
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, as_hook(&callbacks::on_request_end),
                           alive.get());
    ++m_running_requests;
    const memory_guard::owner_id account = m_guard == nullptr ? 0 : m_guard->add();
    if (m_guard != nullptr) {
        m_guard->set(account, memory_use::statements, cost);
    }
    const http_answer answer = co_await m_handler(std::move(parsed_request));
    if (m_guard != nullptr) {
        m_guard->remove(account);
    }
    --m_running_requests;
    if (!*alive) {
        co_return;
    }
    evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
    send(request, answer);
    evhtp_request_resume(request);
}

} // namespace bronzeplank
