#include "edge/memory_guard.hpp"

#include <utility>

namespace bronzeplank {

namespace {

// While input is short, all long messages wait for one, so it must arrive without long gaps. The
// retransmission of a lost packet takes less.
constexpr std::chrono::seconds stall_check_interval{1};

} // namespace

memory_guard::memory_guard(event_loop& loop, std::size_t total_bytes)
    : m_loop(loop), m_budget(total_bytes) {
    close_stalled_reader();
}

memory_guard::owner_id memory_guard::add(closer close) {
    const owner_id added = ++m_last_owner;
    if (close) {
        m_closers.emplace(added, std::move(close));
    }
    return added;
}

void memory_guard::remove(owner_id owner) {
    m_budget.remove(owner);
    m_closers.erase(owner);
    notify_released();
}

void memory_guard::set(owner_id owner, memory_use use, std::size_t bytes) {
    const bool released = bytes < m_budget.used_by(owner, use);
    m_budget.set(owner, use, bytes);
    if (released) {
        notify_released();
    }
    if (m_budget.exceeded(memory_use::output) && !std::exchange(m_relief_pending, true)) {
        m_relief_timer = m_loop.after(duration::zero(), [this] { close_unsent_output(); });
    }
}

void memory_guard::call_on_release(std::function<void()> handler) {
    m_on_release = std::move(handler);
}

void memory_guard::notify_released() {
    if (m_on_release) {
        m_release_timer = m_loop.after(
            duration::zero(), [handler = std::exchange(m_on_release, nullptr)] { handler(); });
    }
}

bool memory_guard::close(owner_id owner) {
    const auto found = m_closers.find(owner);
    // A copy, since closing removes the account.
    const closer close = found == m_closers.end() ? nullptr : found->second;
    return close && close();
}

bool memory_guard::close_largest(memory_use use) {
    const auto owner = m_budget.largest(use);
    return owner && close(*owner);
}

void memory_guard::close_unsent_output() {
    m_relief_pending = false;
    while (m_budget.exceeded(memory_use::output) && close_largest(memory_use::output)) {
    }
}

// A caller that stops half-way while input is short would stop all other long messages, too.
void memory_guard::close_stalled_reader() {
    m_stall_timer = m_loop.after(stall_check_interval, [this] { close_stalled_reader(); });
    const auto reader = m_budget.preferred_reader();
    const std::size_t bytes = reader ? m_budget.used_by(*reader, memory_use::input) : 0;
    const bool stalled = reader && reader == m_last_reader && bytes == m_last_reader_bytes;
    m_last_reader = reader;
    m_last_reader_bytes = bytes;
    if (stalled && m_budget.exceeded(memory_use::input)) {
        close(*reader);
    }
}

} // namespace bronzeplank
