/// \file
/// One caller's session: its transaction, its values, its prepared statements.
#pragma once

#include "session/session_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bronzeplank {

/// Where a session stands between two statements.
enum class session_state { idle, in_transaction, failed };

/// The answer to one statement.
struct session_answer {
    /// Nothing when the statement succeeded.
    std::optional<error_kind> error;
    std::string message;
    std::vector<std::string> rows;
    /// The instance's proof; empty when this host answered by itself.
    std::string signature;
    session_state state = session_state::idle;
};

/// Serves the statements of one caller, one at a time. What only changes the session (values,
/// prepared statements, the begin of a transaction) is answered here and takes effect at an
/// instance with the first statement that needs it, so that a resting session holds nothing.
/// Guarantees: a write is sent to one instance at most, unless that one promised that it did not
/// run; an error that promises that nothing is kept is given only when that is certain.
/// Usage: `session->ask(statement, [](const session_answer& answer) { ... });`
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    using handler = std::function<void(const session_answer&)>;

    caller_session(session_service& service, std::string database, std::string credential);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Checks that the session may be opened. \throws request_error
    void open() const;

    /// Serves a statement; must not be called again before its answer.
    void ask(statement asked, handler answered);

    /// The caller is gone: what is open is rolled back, nothing is answered any more.
    void end();

    session_state state() const { return m_state; }
    bool resting() const { return m_state == session_state::idle && !m_answered; }

private:
    /// An operation: a statement of its own, or a transaction.
    struct operation {
        database_route route;
        std::string workspace;
        bool read_only = false;
        /// Where the transaction runs, once its first statement has been placed.
        std::optional<statement_target> place;
        std::optional<transaction_key> transaction;
        bool writes = false;
    };

    /// The statement that is being served.
    struct attempt {
        statement asked;
        time_point arrived;
        int tries = 0;
        std::set<std::string> avoided;
        bool opens_transaction = false;
    };

    void start_operation(bool read_only);
    void begin(const statement& asked);
    void finish_transaction(const statement& asked);
    void start_statement(statement asked);
    bool resolve_prepared(statement& asked);
    void place();
    std::optional<statement_target> choose_target();
    void send(const statement_target& target);
    void take(const statement_target& target, const statement_answer& answer);
    void retry_or_refuse(const statement_target& target, upstream_result result);
    void give_up(upstream_result result);
    void succeed(const statement_answer& answer);
    void answer(session_answer given);
    void complete() { answer({}); }
    void fail(error_kind kind, const std::string& message);
    void abort_transaction();
    bool must_write() const;
    void observe(std::string_view outcome) const;
    duration elapsed() const { return event_loop::now() - m_attempt.arrived; }

    session_service& m_service;
    std::string m_database;
    std::string m_credential;
    session_state m_state = session_state::idle;
    bool m_ended = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, statement_shape> m_prepared;
    std::optional<log_position> m_written;
    operation m_operation;
    attempt m_attempt;
    handler m_answered;
    timer m_pause;
};

} // namespace bronzeplank
