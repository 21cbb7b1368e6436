#include "runtime/signal_watch.hpp"

#include <cerrno>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace bronzeplank {

blocked_signals::blocked_signals(std::initializer_list<int> signals) {
    sigemptyset(&m_signals);
    for (const int number : signals) {
        sigaddset(&m_signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

signal_watch::signal_watch(event_loop& loop, const blocked_signals& signals,
                           std::function<void(int)> on_signal)
    : m_on_signal(std::move(on_signal)),
      m_descriptor(signalfd(-1, &signals.set(), SFD_NONBLOCK | SFD_CLOEXEC)) {
    if (m_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot watch signals");
    }
    m_event = event_new(loop.base(), m_descriptor, EV_READ | EV_PERSIST, &signal_watch::on_readable,
                        this);
    event_add(m_event, nullptr);
}

signal_watch::~signal_watch() {
    event_free(m_event);
    close(m_descriptor);
}

void signal_watch::on_readable(evutil_socket_t descriptor, short, void* argument) {
    auto* self = static_cast<signal_watch*>(argument);
    signalfd_siginfo received{};
    while (read(descriptor, &received, sizeof received) == sizeof received) {
        self->m_on_signal(static_cast<int>(received.ssi_signo));
    }
}

} // namespace bronzeplank
