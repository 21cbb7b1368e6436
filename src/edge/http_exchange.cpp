#include "edge/http_exchange.hpp"

#include "edge/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace bronzeplank {

namespace {

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

struct pending_reply {
    oneshot<http_reply> done;

    static void on_answer(evhttp_request* request, void* argument) {
        const std::unique_ptr<pending_reply> self(static_cast<pending_reply*>(argument));
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            self->done.set({});
            return;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        http_reply reply{evhttp_request_get_response_code(request),
                         std::string(evbuffer_get_length(input), '\0'), ""};
        evbuffer_copyout(input, reply.body.data(), reply.body.size());
        const char* session =
            evhttp_find_header(evhttp_request_get_input_headers(request), "Bronzeplank-Session");
        reply.session = session == nullptr ? "" : session;
        self->done.set(std::move(reply));
    }
};

} // namespace

task<http_reply> run_exchange(event_loop& loop, evhttp_connection* connection, endpoint target,
                              http_exchange request, duration timeout) {
    const timeval timeout_value{static_cast<time_t>(timeout.count() / 1'000'000),
                                static_cast<suseconds_t>(timeout.count() % 1'000'000)};
    evhttp_connection_set_timeout_tv(connection, &timeout_value);
    const oneshot<http_reply> done(loop);
    evhttp_request* raw_request =
        evhttp_request_new(&pending_reply::on_answer, new pending_reply{done});
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
    co_return co_await done;
}

} // namespace bronzeplank
