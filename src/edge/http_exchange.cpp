#include "edge/http_exchange.hpp"

#include "edge/reply_limit.hpp"
#include "edge/socket_options.hpp"
#include "runtime/limit_log.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace bronzeplank {

namespace {

constexpr ev_ssize_t max_reply_head_bytes = 64 << 10;
std::size_t max_reply_body_bytes = 16U << 20U;

void on_request_error(evhttp_request_error error, void*) {
    if (error == EVREQ_HTTP_DATA_TOO_LONG) {
        record_limit(limit_kind::store_reply_bytes, max_reply_body_bytes);
    }
}

evhttp_cmd_type command_of(http_method method) {
    switch (method) {
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::get:
        break;
    }
    return EVHTTP_REQ_GET;
}

std::string header_of(evhttp_request* request, const std::string& name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name.c_str());
    return value == nullptr ? "" : value;
}

struct pending_reply {
    oneshot<http_reply> done;
    std::string reply_header;
    bool ended = false;

    // The argument is a pointer to a shared pointer: the reply is shared with run_exchange().
    static void on_answer(evhttp_request* request, void* argument) {
        const std::unique_ptr<std::shared_ptr<pending_reply>> owned(
            static_cast<std::shared_ptr<pending_reply>*>(argument));
        const std::shared_ptr<pending_reply> self = *owned;
        self->ended = true;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            self->done.set({});
            return;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        http_reply reply{evhttp_request_get_response_code(request),
                         std::string(evbuffer_get_length(input), '\0'),
                         header_of(request, "Bronzeplank-Session"),
                         header_of(request, self->reply_header)};
        evbuffer_copyout(input, reply.body.data(), reply.body.size());
        self->done.set(std::move(reply));
    }
};

} // namespace

void set_max_reply_bytes(std::size_t bytes) {
    max_reply_body_bytes = bytes;
}

std::size_t max_reply_bytes() {
    return max_reply_body_bytes;
}

task<http_reply> run_exchange(event_loop& loop, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration timeout) {
    const oneshot<http_reply> done(loop);
    co_return co_await run_exchange(loop, connection, target, std::move(request), timeout, done);
}

task<http_reply> run_exchange(event_loop&, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration timeout, oneshot<http_reply> done) {
    const timeval timeout_value{static_cast<time_t>(timeout.count() / 1'000'000),
                                static_cast<suseconds_t>(timeout.count() % 1'000'000)};
    evhttp_connection_set_timeout_tv(connection, &timeout_value);
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(max_reply_body_bytes));
    evhttp_connection_set_max_headers_size(connection, max_reply_head_bytes);
    const auto pending = std::make_shared<pending_reply>(pending_reply{done, request.reply_header});
    auto* const argument = new std::shared_ptr<pending_reply>(pending);
    evhttp_request* raw_request = evhttp_request_new(&pending_reply::on_answer, argument);
    evhttp_request_set_error_cb(raw_request, &on_request_error);
    evkeyvalq* headers = evhttp_request_get_output_headers(raw_request);
    evhttp_add_header(headers, "Host", target.to_text().c_str());
    for (const auto& [name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(raw_request), request.body.data(),
                 request.body.size());
    evhttp_make_request(connection, raw_request, command_of(request.method), request.path.c_str());
    if (request.dead_peer_timeout > duration::zero()) {
        // libevent creates the socket in evhttp_make_request().
        set_socket_options(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
                           request.dead_peer_timeout);
    }
    http_reply reply = co_await done;
    if (!pending->ended) {
        // The callback of a cancelled request is not called.
        evhttp_cancel_request(raw_request);
        delete argument;
    }
    co_return reply;
}

} // namespace bronzeplank
