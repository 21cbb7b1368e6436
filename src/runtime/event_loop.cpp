#include "runtime/event_loop.hpp"

#include <ctime>
#include <stdexcept>

namespace bronzeplank {

namespace {

timeval to_timeval(duration delay) {
    const auto count = std::max<long long>(delay.count(), 0);
    return timeval{static_cast<time_t>(count / 1'000'000),
                   static_cast<suseconds_t>(count % 1'000'000)};
}

} // namespace

struct timer::state : std::enable_shared_from_this<timer::state> {
    std::function<void()> callback;
    event* handle = nullptr;

    ~state() {
        if (handle != nullptr) {
            event_free(handle);
        }
    }

    static void on_fire(evutil_socket_t, short, void* argument) {
        // Keeps the state alive if the callback destroys its timer.
        const auto self = static_cast<state*>(argument)->shared_from_this();
        self->callback();
    }
};

timer::timer(event_base* base, duration delay, std::function<void()> callback)
    : m_state(std::make_shared<state>()) {
    m_state->callback = std::move(callback);
    m_state->handle = event_new(base, -1, 0, &state::on_fire, m_state.get());
    const timeval timeout = to_timeval(delay);
    event_add(m_state->handle, &timeout);
}

event_loop::event_loop() {
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    // Otherwise a timer counts from the time at which the loop has last looked for events.
    event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
    m_base = event_base_new_with_config(config);
    event_config_free(config);
    if (m_base == nullptr) {
        throw std::runtime_error("libevent could not create an event base");
    }
    m_post_event = event_new(m_base, -1, EV_PERSIST, &event_loop::on_post_event, this);
}

event_loop::~event_loop() {
    event_free(m_post_event);
    event_base_free(m_base);
}

time_point event_loop::now() {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::microseconds(value.tv_nsec / 1000));
}

void event_loop::post(std::function<void()> callback) {
    m_posted.push_back(std::move(callback));
    event_active(m_post_event, EV_TIMEOUT, 0);
}

void event_loop::later(duration delay, std::function<void()> callback) {
    struct delayed_call {
        std::function<void()> callback;
    };
    auto* call = new delayed_call{std::move(callback)};
    const timeval timeout = to_timeval(delay);
    const auto fire = [](evutil_socket_t, short, void* argument) {
        const std::unique_ptr<delayed_call> owner(static_cast<delayed_call*>(argument));
        owner->callback();
    };
    event_base_once(m_base, -1, EV_TIMEOUT, fire, call, &timeout);
}

void event_loop::on_post_event(evutil_socket_t, short, void* argument) {
    auto* loop = static_cast<event_loop*>(argument);
    std::deque<std::function<void()>> callbacks;
    callbacks.swap(loop->m_posted);
    for (auto& callback : callbacks) {
        callback();
    }
}

void event_loop::run() {
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(m_base);
}

} // namespace bronzeplank
