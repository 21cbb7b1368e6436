/// \file
/// A single-threaded libevent loop with timers and deferred callbacks.
#pragma once

#include "bronzeplank/time.hpp"

#include <deque>
#include <event2/event.h>
#include <functional>
#include <memory>

namespace bronzeplank {

/// A one-shot timer. Its destructor cancels it, so the callback never runs after the owner is gone.
/// Usage: `timer t(loop, std::chrono::seconds(1), [] { ... });`
class timer {
public:
    timer() = default;
    timer(event_base* base, duration delay, std::function<void()> callback);

    /// Cancels the timer; safe to call from its own callback.
    void cancel() { m_state.reset(); }

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// The event loop of the process. It owns the libevent base, reads the boot clock and runs posted
/// callbacks after the current one has returned, which rules out reentrancy.
/// Usage: `event_loop loop; loop.post([] { ... }); loop.run();`
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    event_base* base() const { return m_base; }

    /// The current time of the boot clock, which keeps running while the machine is suspended.
    static time_point now();

    /// Runs the callback once, in the next iteration of the loop.
    void post(std::function<void()> callback);

    /// Starts a timer that fires once after the delay.
    timer after(duration delay, std::function<void()> callback) {
        return timer(m_base, delay, std::move(callback));
    }

    /// Runs the callback once after the delay. It cannot be cancelled.
    void later(duration delay, std::function<void()> callback);

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();

private:
    static void on_post_event(evutil_socket_t, short, void* argument);

    event_base* m_base;
    event* m_post_event;
    std::deque<std::function<void()>> m_posted;
};

} // namespace bronzeplank
