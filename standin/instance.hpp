/// \file
/// The state of a simulated PostgreSQL instance, which its sessions share.
#pragma once

#include "database.hpp"
#include "runtime/event_loop.hpp"
#include "upstream.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace standin {

class session;
class replication_connection;

/// Formats a log position as PostgreSQL formats an LSN: `high/low` in hexadecimal.
std::string format_position(std::uint64_t position);

/// A simulated instance: its database, its role (primary or replica), the lock that serializes
/// transactions, the execution slots and the fault switches. Not thread-safe: its sessions and its
/// replication connection run on the same event loop.
///
///     instance state(loop, options);
///     state.add_session(std::make_shared<session>(state, socket, pid));
class instance {
public:
    instance(bronzeplank::event_loop& loop, const upstream_options& options);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    bronzeplank::event_loop& loop() const { return m_loop; }
    const upstream_options& options() const { return m_options; }
    database& storage() { return m_database; }

    bool in_recovery() const { return !m_primary; }
    bool crashed() const { return m_crashed; }
    /// True while the `cut` switch blocks the traffic with the failure domain.
    bool is_partitioned_from(const std::string& domain) const {
        return m_partitioned_domains.contains(domain);
    }
    /// The simulated network round trip from a client in the failure domain.
    bronzeplank::duration round_trip_delay_from(const std::string& domain) const;

    /// Executes a statement; system functions act on behalf of the calling session.
    statement_result execute(session& caller, const std::string& text, const parameters& values);

    /// The lock that serializes transactions: one open transaction holds it.
    bool lock_available_to(const session& caller) const;
    bool holds_lock(const session& caller) const { return m_transaction_lock_holder == &caller; }
    void acquire_lock(session& caller) { m_transaction_lock_holder = &caller; }
    void release_lock(const session& caller);
    /// Takes one of the slots that limit concurrent statements; false if all are in use.
    bool acquire_slot();
    void release_slot();
    /// Calls back once, when the lock or a slot may have become available.
    void wait_for_release(std::function<void()> retry) {
        m_release_callbacks.push_back(std::move(retry));
    }

    void add_session(std::shared_ptr<session> new_session);
    void remove_session(session& closed_session);
    /// The number of sessions that count against the connection limit: those of replicas and those
    /// over which the load tool injects faults don't.
    std::size_t client_session_count() const;

    void send_log_to_replicas();
    /// Applies a received log entry after the configured replay delay.
    void schedule_apply();

    /// Sets the primary_conninfo that takes effect at the next reload.
    void set_conninfo(std::string value) { m_pending_conninfo = std::move(value); }
    /// Sets `lag_ms` (replay delay; `default` for that of the start), `crash_ms` (crash, with this
    /// downtime), `cut` (the failure domains to be partitioned from, separated by blanks) or
    /// `refused_roles` (the number of `SET ROLE` statements to refuse).
    void set_fault_switch(const std::string& name, const std::string& value);
    /// Closes all sessions and deletes the data, before the whole log is received again.
    void reset_data();

    /// Whether a `SET ROLE` statement is to be refused; counts it.
    bool refuse_role();

private:
    friend struct system_functions;

    void register_functions();
    void refresh_views();
    void reload_configuration();
    void promote();
    void follow(const std::string& peer);
    void crash(std::chrono::milliseconds downtime);
    void poll_group_record();
    /// Demotes this instance if the group's record names another primary.
    void apply_group_record(const std::string& body);
    /// The highest term in the database's term table; 0 if the table does not exist.
    std::uint64_t highest_recorded_term();
    void notify_waiters();

    bronzeplank::event_loop& m_loop;
    upstream_options m_options;
    database m_database;
    bool m_primary;
    bool m_crashed = false;
    std::string m_pending_conninfo;
    std::string m_conninfo;
    session* m_transaction_lock_holder = nullptr;
    session* m_advisory_lock_holder = nullptr;
    session* m_calling_session = nullptr;
    int m_slots_used = 0;
    int m_lag_ms;
    int m_refused_roles = 0;
    std::deque<std::function<void()>> m_release_callbacks;
    std::vector<std::shared_ptr<session>> m_sessions;
    std::unique_ptr<replication_connection> m_replication;
    std::set<std::string> m_partitioned_domains;
};

} // namespace standin
