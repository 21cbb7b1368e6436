/// \file
/// The connection pool for one upstream.
#pragma once

#include "bronzeplank/error.hpp"
#include "bronzeplank/fair_queue.hpp"
#include "edge/pg_connection.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank {

class pg_pool;

/// Exclusive use of a pooled connection, returned to the pool by the destructor. A connection that
/// was closed meanwhile is replaced by the pool.
/// Usage: `if (lease) { auto outcome = co_await lease->run(batch, deadline); }`
class connection_lease {
public:
    connection_lease() = default;
    connection_lease(std::shared_ptr<pg_pool> pool, std::unique_ptr<pg_connection> connection,
                     bool pinned);
    connection_lease(connection_lease&& other) noexcept = default;
    connection_lease& operator=(connection_lease&& other) noexcept;
    ~connection_lease();

    pg_connection& operator*() const { return *m_connection; }
    pg_connection* operator->() const { return m_connection.get(); }
    explicit operator bool() const { return m_connection != nullptr; }
    const std::string& upstream() const;
    /// Returns the connection to the pool now.
    void release();

private:
    std::shared_ptr<pg_pool> m_pool;
    std::unique_ptr<pg_connection> m_connection;
    bool m_pinned = false;
};

/// Up to `size` connections to one upstream, opened in advance and reopened after a loss. Waiting
/// requests are queued fairly by workspace. Requests for a transaction wait in such a queue of
/// their own and are served before them, and control requests before both. Transactions may pin all
/// connections but one, so that probes and confirmations are not blocked; a pool of one connection
/// lets them pin it. Usage: `connection_lease lease = co_await pool->acquire("w1", deadline);`
class pg_pool : public std::enable_shared_from_this<pg_pool> {
public:
    pg_pool(event_loop& loop, std::string upstream, pg_target target, int size,
            std::size_t queue_capacity);

    /// Opens the connections; call once.
    void start();
    /// Closes all connections; waiting requests get none and running batches end as lost.
    void stop();

    /// Waits for a connection; empty when the request is evicted from the full workspace queue, no
    /// connection to the upstream becomes free by the deadline, or the pool is interrupted. Nothing
    /// was sent in that case.
    /// \param pin whether the connection is for a transaction of several requests
    task<connection_lease> acquire(std::string workspace, time_point deadline, bool pin = false);
    /// Waits for a connection ahead of all workspaces; empty when there is none by the deadline or
    /// the pool is interrupted.
    task<connection_lease> acquire_control(time_point deadline);

    /// Ends all waits and running batches, for example after a failover.
    void interrupt_all(const std::string& reason);

    const std::string& upstream() const { return m_upstream; }
    /// Whether any connection is open.
    bool reachable() const { return m_open_count > 0; }
    /// Number of queued workspace requests and connections in use.
    std::size_t load() const {
        return m_workspace_queue.size() + static_cast<std::size_t>(m_assigned_count);
    }

private:
    friend class connection_lease;
    using assigned_connection = std::shared_ptr<std::unique_ptr<pg_connection>>;
    using waiter = oneshot<assigned_connection>;

    task<void> open_connection();
    void return_connection(std::unique_ptr<pg_connection> connection, bool pinned);
    void assign_idle_connections();
    bool may_pin() const { return m_pinned + 1 < m_size || m_size == 1; }
    connection_lease make_lease(assigned_connection connection, bool pin);

    event_loop& m_loop;
    std::string m_upstream;
    pg_target m_target;
    int m_size;
    bool m_stopped = false;
    int m_open_count = 0;
    int m_assigned_count = 0;
    int m_pinned = 0;
    std::vector<std::unique_ptr<pg_connection>> m_idle;
    std::deque<waiter> m_control_waiters;
    fair_queue<waiter> m_workspace_queue;
    fair_queue<waiter> m_pinning_queue;
    std::vector<pg_connection*> m_assigned;
};

} // namespace bronzeplank
