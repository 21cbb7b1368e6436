/// \file
/// Signals that are received by the event loop.
#pragma once

#include "runtime/event_loop.hpp"

#include <csignal>
#include <functional>
#include <initializer_list>

namespace bronzeplank {

/// Keeps signals pending for the rest of the process, so that they neither end it before it watches
/// them or after its loop has ended, nor interrupt a system call. To be created before the process
/// has further threads, which inherit what is blocked.
/// Usage: `const blocked_signals signals({SIGTERM}); signal_watch watch(loop, signals, on_signal);`
class blocked_signals {
public:
    blocked_signals(std::initializer_list<int> signals);

    const sigset_t& set() const { return m_signals; }

private:
    sigset_t m_signals{};
};

/// Calls a function in the event loop for each blocked signal, also for one that is pending
/// already.
class signal_watch {
public:
    signal_watch(event_loop& loop, const blocked_signals& signals,
                 std::function<void(int)> on_signal);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    static void on_readable(evutil_socket_t, short, void* argument);

    std::function<void(int)> m_on_signal;
    int m_descriptor;
    event* m_event;
};

} // namespace bronzeplank
