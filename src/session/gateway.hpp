/// \file
/// The connection pools of one host.
#pragma once

#include "session/upstream_pool.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzeplank {

/// Runs work at any instance on behalf of this host's callers and of other hosts. The preferred
/// gateway of an instance uses most of the instance's connections; any other host falls back on a
/// few connections of its own when it can't reach a gateway.
/// A pool is opened when first used, and closed when the instance is unlisted, replaced, or neither
/// used nor watched.
/// Usage: construct it with an environment, then call run(); an internal timer drives the pools.
template <upstream_connection Connection>
class gateway {
public:
    /// \param find returns the current entry of an instance; null if it is not listed
    /// \param limits returns the limits of the pool for the instance
    /// \param is_primary whether the instance is its group's primary
    /// \param can_acknowledge whether a commit at the instance could be acknowledged now, without a
    /// leadership check
    /// \param watched whether this host probes the instance even without work for it
    struct environment {
        std::function<const upstream_instance*(const std::string&)> find;
        std::function<pool_limits(const upstream_instance&)> limits;
        std::function<bool(const std::string&)> watched;
        std::function<bool(const std::string&)> is_primary;
        std::function<bool(const std::string& group, const std::string& instance)> can_acknowledge;
        leadership_check check_leadership;
        commit_confirmation confirm_commit;
        /// Called when an instance has become reachable or unreachable.
        std::function<void()> reachability_changed;
    };

    gateway(event_loop& loop, environment callbacks)
        : m_loop(loop), m_environment(std::move(callbacks)) {
        schedule_tick();
    }

    void run(upstream_work work, answer_handler on_answer) {
        if (begins_changes(work) && !m_environment.can_acknowledge(work.group, work.instance)) {
            run_if_leading(std::move(work), std::move(on_answer));
        } else {
            start(std::move(work), std::move(on_answer));
        }
    }

    void end_transaction(const std::string& instance, const transaction_key& key) {
        if (const auto found = m_pools.find(instance); found != m_pools.end()) {
            found->second->end_transaction(key);
        }
    }

    /// Refuses the work if it is still queued.
    void drop(const std::string& instance, const work_key& key) {
        if (const auto found = m_pools.find(instance); found != m_pools.end()) {
            found->second->drop(key);
        }
    }

    void send_command(const std::string& instance, replication_command command, std::uint64_t term,
                      status_handler on_status) {
        upstream_pool<Connection>* pool = pool_for(instance);
        if (pool == nullptr) {
            on_status(std::nullopt);
            return;
        }
        if (command == replication_command::hold) {
            pool->hold_writes(std::move(on_status));
        } else {
            pool->send_command(command, term, std::move(on_status));
        }
    }

    /// Calls `visit(pool)` for each pool.
    template <class Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [id, pool] : m_pools) {
            visit(*pool);
        }
    }

    /// Returns null if this host has no pool for the instance.
    const upstream_pool<Connection>* find(const std::string& instance) const {
        const auto found = m_pools.find(instance);
        return found == m_pools.end() ? nullptr : found->second.get();
    }

    /// Opens a pool for the instance, so that this host probes it too.
    void watch(const std::string& instance) { pool_for(instance); }

    bool busy() const {
        for (const auto& [id, pool] : m_pools) {
            if (pool->busy()) {
                return true;
            }
        }
        return false;
    }

    std::uint64_t opened_connection_count() const {
        return m_opened_by_closed_pools + opened_by_open_pools();
    }

    /// Of all pools. The totals count since the start.
    struct queue_totals {
        std::size_t queued = 0;
        std::uint64_t refused = 0;
        std::uint64_t evicted = 0;
    };
    queue_totals queue_counts() const {
        queue_totals counts = m_closed_pools_queue;
        for (const auto& [id, pool] : m_pools) {
            add_counts(counts, *pool);
        }
        return counts;
    }

private:
    // Coarse enough to cost little, fine enough for timeouts of a few hundred milliseconds.
    static constexpr std::chrono::milliseconds tick_interval{25};
    static_assert(command_answer_limit + tick_interval < command_send_limit);
    // A pool that has not been used for this long is closed unless its instance is watched.
    static constexpr std::chrono::seconds unused_pool_timeout{2};

    void start(upstream_work work, answer_handler on_answer) {
        upstream_pool<Connection>* pool = pool_for(work.instance);
        on_answer = with_load(work.instance, std::move(on_answer));
        if (pool == nullptr) {
            on_answer({upstream_result::unsent, {}, {}, {}});
            return;
        }
        if (commits_changes(work)) {
            on_answer = with_commit_confirmation(m_environment.confirm_commit, work.group,
                                                 work.instance, std::move(on_answer));
        }
        pool->run(std::move(work), std::move(on_answer));
    }

    // A change that could not be acknowledged isn't begun: its caller would be told that the
    // outcome is unknown, and might not repeat it.
    void run_if_leading(upstream_work work, answer_handler on_answer) {
        const std::string group = work.group;
        const std::string instance = work.instance;
        m_environment.check_leadership(
            group, instance,
            [this, work = std::move(work), on_answer = std::move(on_answer),
             requested_at = event_loop::now()](bool leads) {
                if (!leads) {
                    on_answer({upstream_result::not_primary, {}, {}, {}});
                    return;
                }
                upstream_work checked = work;
                const duration waited = event_loop::now() - requested_at;
                checked.objective_left -= waited;
                checked.time_left -= waited;
                start(std::move(checked), on_answer);
            });
    }

    static void add_counts(queue_totals& counts, const upstream_pool<Connection>& pool) {
        counts.queued += pool.queued_count();
        counts.refused += pool.refused_count();
        counts.evicted += pool.evicted_count();
    }

    upstream_pool<Connection>* pool_for(const std::string& id) {
        const upstream_instance* listed = m_environment.find(id);
        const auto found = m_pools.find(id);
        if (found != m_pools.end()) {
            return listed == nullptr ? nullptr : found->second.get();
        }
        if (listed == nullptr) {
            return nullptr;
        }
        auto added = std::make_unique<upstream_pool<Connection>>(
            m_loop, *listed, m_environment.limits(*listed), m_environment.check_leadership);
        return m_pools.emplace(id, std::move(added)).first->second.get();
    }

    // Every answer carries the load, refusals as well: after them it matters most.
    answer_handler with_load(const std::string& instance, answer_handler on_answer) const {
        return [this, instance, on_answer = std::move(on_answer)](const statement_answer& answer) {
            statement_answer reporting = answer;
            if (const auto* pool = find(instance)) {
                reporting.load = pool->load();
            }
            on_answer(reporting);
        };
    }

    void schedule_tick() {
        m_tick = m_loop.after(tick_interval, [this] {
            tick();
            schedule_tick();
        });
    }

    void tick() {
        const time_point now = event_loop::now();
        bool changed = false;
        for (auto entry = m_pools.begin(); entry != m_pools.end();) {
            upstream_pool<Connection>& pool = *entry->second;
            const upstream_instance* listed = m_environment.find(entry->first);
            const bool replaced =
                listed != nullptr && (listed->address != pool.instance().address ||
                                      listed->born_ms != pool.instance().born_ms);
            const bool needed = m_environment.watched(entry->first) || pool.busy() ||
                                now - pool.last_used_at() < unused_pool_timeout;
            if (listed == nullptr || replaced || !needed) {
                m_opened_by_closed_pools += pool.opened_connection_count();
                pool.close();
                add_counts(m_closed_pools_queue, pool);
                entry = m_pools.erase(entry);
                continue;
            }
            const bool reachable = pool.reachable();
            pool.update(*listed, m_environment.limits(*listed));
            if (!m_environment.watched(entry->first)) {
                // Another host is the gateway now and needs the connections.
                pool.close_idle_connections();
            }
            if (!m_environment.is_primary(entry->first)) {
                pool.refuse_queued_writes();
            }
            pool.tick(now, m_environment.watched(entry->first));
            changed |= reachable != pool.reachable();
            ++entry;
        }
        if (changed) {
            m_environment.reachability_changed();
        }
    }

    std::uint64_t opened_by_open_pools() const {
        std::uint64_t sum = 0;
        for (const auto& [id, pool] : m_pools) {
            sum += pool->opened_connection_count();
        }
        return sum;
    }

    event_loop& m_loop;
    environment m_environment;
    std::map<std::string, std::unique_ptr<upstream_pool<Connection>>, std::less<>> m_pools;
    std::uint64_t m_opened_by_closed_pools = 0;
    queue_totals m_closed_pools_queue;
    timer m_tick;
};

} // namespace bronzeplank
