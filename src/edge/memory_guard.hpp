/// \file
/// Applies the process's byte budget to its connections.
#pragma once

#include "bronzeplank/byte_budget.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <unordered_map>

namespace bronzeplank {

/// Keeps the accounts of connections in a byte budget and closes the largest ones when it is
/// exceeded.
///
/// Guarantee: no handler is called before the call that causes it has returned.
///
/// Usage: `memory_guard guard(loop, bytes); const auto id = guard.add([] { return close(); });`
class memory_guard {
public:
    using owner_id = byte_budget::owner_id;
    /// Closes a connection; false if that is not possible now.
    using closer = std::function<bool()>;

    memory_guard(event_loop& loop, std::size_t total_bytes);
    memory_guard(const memory_guard&) = delete;
    memory_guard& operator=(const memory_guard&) = delete;

    /// Opens an account. \param close without it, the owner is never closed by the guard
    owner_id add(closer close = nullptr);
    void remove(owner_id owner);
    void set(owner_id owner, memory_use use, std::size_t bytes);

    /// Whether the connection is to be read.
    bool may_read(owner_id owner) { return m_budget.may_read(owner); }
    bool may_start(std::size_t cost) const { return m_budget.may_start(cost); }
    /// Whether that much more may be held for the use.
    bool has_room(memory_use use, std::size_t bytes) const {
        return m_budget.used(use) + bytes <= m_budget.share(use);
    }
    /// Closes the owner that holds the most for the use, if it can be closed.
    bool close_largest(memory_use use);

    /// Calls the handler once when something has been released.
    void call_on_release(std::function<void()> handler);

    const byte_budget& budget() const { return m_budget; }

private:
    bool close(owner_id owner);
    void notify_released();
    void close_unsent_output();
    void close_stalled_reader();

    event_loop& m_loop;
    byte_budget m_budget;
    owner_id m_last_owner = 0;
    std::unordered_map<owner_id, closer> m_closers;
    std::function<void()> m_on_release;
    bool m_relief_pending = false;
    std::optional<owner_id> m_last_reader;
    std::size_t m_last_reader_bytes = 0;
    timer m_release_timer;
    timer m_relief_timer;
    timer m_stall_timer;
};

} // namespace bronzeplank
