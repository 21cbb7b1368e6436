/// \file
/// A condition variable for coroutines.
#pragma once

#include "runtime/task.hpp"

#include <utility>
#include <vector>

namespace bronzeplank {

/// Wakes all waiting coroutines at each notify(). A waiter must check its condition again, since
/// the state may have changed several times. Usage: `co_await signal.wait(deadline);`
class change_signal {
public:
    explicit change_signal(event_loop& loop) : m_loop(loop) {}

    /// Wakes all coroutines that wait now.
    void notify() {
        for (const auto& waiter : std::exchange(m_waiters, {})) {
            waiter.set(true);
        }
    }

    /// Returns after the next notify(), or at the deadline.
    task<void> wait(time_point deadline) {
        const oneshot<bool> notified(m_loop);
        m_waiters.push_back(notified);
        const timer deadline_timer =
            m_loop.after(deadline - event_loop::now(), [notified] { notified.set(false); });
        co_await notified;
        // A waiter whose deadline has passed would otherwise stay until the next notify().
        std::erase_if(m_waiters, [](const oneshot<bool>& waiter) { return waiter.settled(); });
    }

    /// The number of coroutines that wait.
    std::size_t waiter_count() const { return m_waiters.size(); }

private:
    event_loop& m_loop;
    std::vector<oneshot<bool>> m_waiters;
};

} // namespace bronzeplank
