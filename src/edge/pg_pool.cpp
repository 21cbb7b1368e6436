#include "edge/pg_pool.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

constexpr std::chrono::seconds connect_timeout{2};
constexpr std::chrono::milliseconds initial_retry_delay{50};
constexpr std::chrono::milliseconds max_retry_delay{1000};

} // namespace

connection_lease::connection_lease(std::shared_ptr<pg_pool> pool,
                                   std::unique_ptr<pg_connection> connection, bool pinned)
    : m_pool(std::move(pool)), m_connection(std::move(connection)), m_pinned(pinned) {}

connection_lease& connection_lease::operator=(connection_lease&& other) noexcept {
    if (this != &other) {
        release();
        m_pool = std::move(other.m_pool);
        m_connection = std::move(other.m_connection);
        m_pinned = other.m_pinned;
    }
    return *this;
}

connection_lease::~connection_lease() {
    release();
}

const std::string& connection_lease::upstream() const {
    return m_pool->upstream();
}

void connection_lease::release() {
    if (m_connection != nullptr) {
        m_pool->return_connection(std::move(m_connection), m_pinned);
    }
}

pg_pool::pg_pool(event_loop& loop, std::string upstream, pg_target target, int size,
                 std::size_t queue_capacity)
    : m_loop(loop), m_upstream(std::move(upstream)), m_target(std::move(target)), m_size(size),
      m_workspace_queue(queue_capacity), m_pinning_queue(queue_capacity) {}

void pg_pool::start() {
    for (int i = 0; i < m_size; ++i) {
        spawn(open_connection());
    }
}

void pg_pool::stop() {
    m_stopped = true;
    interrupt_all("the pool is closed");
    m_idle.clear();
    m_open_count = 0;
}

void pg_pool::interrupt_all(const std::string& reason) {
    const assigned_connection no_connection = std::make_shared<std::unique_ptr<pg_connection>>();
    for (auto* queue : {&m_workspace_queue, &m_pinning_queue}) {
        while (const auto request = queue->pop(time_point::min())) {
            request->set(no_connection);
        }
    }
    for (const auto& request : std::exchange(m_control_waiters, {})) {
        request.set(no_connection);
    }
    const auto assigned = m_assigned;
    for (auto* connection : assigned) {
        connection->close(reason);
    }
}

task<void> pg_pool::open_connection() {
    const auto self = shared_from_this();
    duration retry_delay = initial_retry_delay;
    while (!m_stopped) {
        const time_point connect_deadline = event_loop::now() + connect_timeout;
        auto connection = co_await pg_connection::open(m_loop, m_target, connect_deadline);
        if (m_stopped) {
            co_return;
        }
        if (connection != nullptr) {
            ++m_open_count;
            m_idle.push_back(std::move(connection));
            assign_idle_connections();
            co_return;
        }
        co_await sleep_for(m_loop, retry_delay);
        retry_delay = std::min<duration>(retry_delay * 2, max_retry_delay);
    }
}

void pg_pool::return_connection(std::unique_ptr<pg_connection> connection, bool pinned) {
    --m_assigned_count;
    m_pinned -= pinned ? 1 : 0;
    std::erase(m_assigned, connection.get());
    if (m_stopped) {
        return;
    }
    if (connection->usable()) {
        m_idle.push_back(std::move(connection));
        assign_idle_connections();
        return;
    }
    --m_open_count;
    spawn(open_connection());
}

void pg_pool::assign_idle_connections() {
    // An idle connection that the upstream has closed is replaced instead of being assigned.
    const auto first_unusable = std::partition(m_idle.begin(), m_idle.end(),
                                               [](const auto& item) { return item->usable(); });
    for (auto item = first_unusable; item != m_idle.end(); ++item) {
        --m_open_count;
        spawn(open_connection());
    }
    m_idle.erase(first_unusable, m_idle.end());
    while (!m_idle.empty()) {
        std::optional<waiter> next;
        bool pins = false;
        if (!m_control_waiters.empty()) {
            next = m_control_waiters.front();
            m_control_waiters.pop_front();
        } else if (may_pin() && (next = m_pinning_queue.pop(event_loop::now()))) {
            pins = true;
        } else {
            next = m_workspace_queue.pop(event_loop::now());
            // The timers of expired requests have already answered them.
            m_workspace_queue.take_expired(event_loop::now());
        }
        m_pinning_queue.take_expired(event_loop::now());
        if (!next) {
            return;
        }
        if (next->settled()) {
            continue;
        }
        auto connection =
            std::make_shared<std::unique_ptr<pg_connection>>(std::move(m_idle.back()));
        m_idle.pop_back();
        ++m_assigned_count;
        m_assigned.push_back(connection->get());
        // Counted now: the request resumes only after this loop.
        m_pinned += pins ? 1 : 0;
        next->set(std::move(connection));
    }
}

connection_lease pg_pool::make_lease(assigned_connection connection, bool pin) {
    if (*connection == nullptr) {
        return {};
    }
    return {shared_from_this(), std::move(*connection), pin};
}

task<connection_lease> pg_pool::acquire(std::string workspace, time_point deadline, bool pin) {
    const auto self = shared_from_this();
    const assigned_connection no_connection = std::make_shared<std::unique_ptr<pg_connection>>();
    waiter request(m_loop);
    if (m_stopped) {
        co_return connection_lease();
    }
    fair_queue<waiter>& queue = pin ? m_pinning_queue : m_workspace_queue;
    if (const auto evicted = queue.push(workspace, request, deadline)) {
        evicted->set(no_connection);
    }
    const timer deadline_timer = m_loop.after(
        deadline - event_loop::now(), [request, no_connection] { request.set(no_connection); });
    assign_idle_connections();
    assigned_connection connection = co_await request;
    co_return make_lease(std::move(connection), pin);
}

task<connection_lease> pg_pool::acquire_control(time_point deadline) {
    const auto self = shared_from_this();
    const assigned_connection no_connection = std::make_shared<std::unique_ptr<pg_connection>>();
    if (m_stopped) {
        co_return connection_lease();
    }
    waiter request(m_loop);
    m_control_waiters.push_back(request);
    const timer deadline_timer = m_loop.after(
        deadline - event_loop::now(), [request, no_connection] { request.set(no_connection); });
    assign_idle_connections();
    assigned_connection connection = co_await request;
    co_return make_lease(std::move(connection), false);
}

} // namespace bronzeplank
