/// \file
/// One caller's session: its transaction, session values and prepared statements.
#pragma once

#include "session/session_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bronzeplank {

/// The transaction state of a session between two statements.
enum class session_state { idle, in_transaction, failed };

/// The result of one statement.
struct session_answer {
    /// Nothing if the statement succeeded.
    std::optional<error_kind> error;
    std::string message;
    std::vector<std::string> rows;
    /// The instance's signature; empty if this host completed the statement without an instance.
    std::string signature;
    session_state state = session_state::idle;
};

/// Executes the statements of one caller, one at a time. Statements that only change the session
/// (session values, prepared statements, the begin of a transaction) are completed locally and are
/// applied at an instance with the first statement that needs one, so that an idle session holds
/// no connection.
///
/// Guarantees: a write is sent again only if it is certain that the previous attempt did not run;
/// an error that states that nothing was committed is returned only if that is certain.
///
/// Usage: `session->submit(statement, [](const session_answer& answer) { ... });`
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using handler = std::function<void(const session_answer&)>;

    caller_session(session_service& service, std::string database, std::string credential);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Checks that the database has a route and that the credential may use it.
    /// \throws request_error
    void authenticate() const;

    /// Executes a statement and calls `on_answer` with its result. Must not be called again before
    /// that.
    void submit(statement request, handler on_answer);

    /// Answers a pending statement at once, without its result. Called when the session is about to
    /// be closed: it drops later answers.
    void interrupt();

    /// Rolls back an open transaction and drops the pending handler; called when the caller has
    /// disconnected.
    void close();

    session_state state() const { return m_state; }
    /// Whether no transaction is open and no statement is pending.
    bool is_idle() const { return m_state == session_state::idle && !m_handler; }

    /// The bytes of the session's values, which each of its statements takes along.
    std::size_t value_bytes() const { return m_value_bytes; }
    /// The bytes of its values and prepared statements.
    std::size_t held_bytes() const { return m_value_bytes + m_prepared_bytes; }

private:
    /// A transaction, or a single statement in autocommit mode.
    struct operation {
        database_route route;
        std::string workspace;
        bool read_only = false;
        /// Where the transaction runs; set when its first statement is sent.
        std::optional<statement_target> target;
        std::optional<transaction_key> transaction;
        bool has_written = false;
        /// An upstream has begun to run it.
        std::shared_ptr<bool> began;
    };

    /// The statement that is being executed.
    struct pending_statement {
        statement request;
        time_point received_at;
        int attempts = 0;
        std::set<std::string> excluded;
        bool opens_transaction = false;
        /// Passed on to an instance that may run it: its answer has not arrived, or does not
        /// guarantee that the statement has not run.
        bool sent = false;
        /// Where the statement was sent and not answered yet; two entries during a hedged read.
        std::map<work_key, statement_target> outstanding{};
        bool hedged = false;
    };

    /// The first statement of an operation, as sent to an instance.
    struct sent_operation {
        std::string workspace;
        time_point sent_at;
        /// Shared by all attempts of the operation.
        std::shared_ptr<bool> began;
    };

    void set_value(const statement& request);
    void prepare(const statement& request);
    void deallocate(const std::string& name);
    void check_room(std::size_t added, std::size_t removed) const;
    void start_operation(bool read_only);
    void begin_transaction(const statement& request);
    void finish_transaction(const statement& request);
    void start_statement(statement request);
    bool resolve_prepared(statement& request);
    void dispatch();
    std::optional<statement_target> choose_target();
    void send(const statement_target& target);
    void record_beginning(const sent_operation& sent, upstream_result result);
    void handle_answer(const work_key& key, const statement_answer& answer);
    void hedge_if_silent(const work_key& key, time_point sent_at);
    void hedge(const work_key& key);
    void drop_outstanding();
    void retry_or_fail(const statement_target& target, upstream_result result);
    bool send_to_successor(const statement_target& target, upstream_result result);
    std::optional<statement_target> place_read_elsewhere(const std::string& silent_gateway = {});
    void retry_read_fairly(const statement_target& target, upstream_result result);
    bool at_primary() const;
    error_kind error_after(upstream_result result) const;
    void fail_statement(upstream_result result);
    void end_statement(bool may_have_run, error_kind kind, const std::string& reason);
    void complete_statement(const std::string& instance, const statement_answer& answer);
    void respond(session_answer result);
    void complete() { respond({}); }
    void fail(error_kind kind, const std::string& message);
    void abort_transaction();
    bool may_write() const;
    bool pending_changes_data() const;
    bool is_read_only_work() const;
    void record_outcome(std::string_view outcome) const;
    duration elapsed() const { return event_loop::now() - m_pending.received_at; }

    session_service& m_service;
    std::string m_database;
    std::string m_credential;
    session_state m_state = session_state::idle;
    bool m_closed = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, statement_shape> m_prepared;
    std::size_t m_value_bytes = 0;
    std::size_t m_prepared_bytes = 0;
    std::optional<log_position> m_last_write;
    operation m_operation;
    pending_statement m_pending;
    handler m_handler;
    timer m_retry_timer;
    timer m_hedge_timer;
};

} // namespace bronzeplank
