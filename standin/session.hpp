/// \file
/// A connection of a client or a replica to a simulated instance.
#pragma once

#include "instance.hpp"

#include <event2/bufferevent.h>

namespace standin {

/// The log positions that a replica last reported to its primary.
struct replica_status {
    std::uint64_t flushed = 0;
    std::uint64_t replayed = 0;
};

/// Handles the messages of a client in their order and sends the responses. A statement within a
/// transaction acquires the instance's transaction lock, which is held until the transaction ends.
///
///     server.add_session(std::make_shared<session>(server, socket, pid));
class session : public std::enable_shared_from_this<session> {
public:
    session(instance& owner, evutil_socket_t socket, int pid);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void close();
    /// Processes the input and output that a network partition has held back.
    void resume_after_partition();
    /// Sends the log entries that have not been sent to this replica yet.
    void send_log();

    int pid() const { return m_pid; }
    bool is_replica() const { return m_replicating; }
    const std::string& application() const { return m_application; }
    const replica_status& status() const { return m_status; }

private:
    struct delayed_input {
        bronzeplank::time_point due;
        std::string bytes;
    };

    static void on_read(bufferevent* stream, void* argument);
    static void on_event(bufferevent* stream, short what, void* argument);

    void receive(const std::string& bytes);
    void deliver_due_input();
    void process_messages();
    void handle_message(const wire_message& message);
    void handle_startup(const std::string& body);
    void complete_startup();
    void parse(body_reader body);
    void bind(body_reader body);
    void describe();
    void start_statement(const std::string& text, const parameters& values, bool simple);
    void execute_when_available(bool service_time_elapsed);
    void execute_statement();
    void execute_command(const std::string& keyword);
    void send_result(const statement_result& result);
    void fail_statement(const std::string& sqlstate, const std::string& message);
    void sync();
    void end_transaction(bool commit);
    void start_replication(const std::string& request);
    void update_replica_status(const std::string& body);
    void send(const std::string& bytes);

    instance& m_owner;
    bufferevent* m_stream;
    int m_pid;
    wire_reader m_reader;
    std::deque<wire_message> m_messages;
    std::deque<delayed_input> m_delayed_input;
    bronzeplank::timer m_delivery_timer;
    std::string m_blocked_output;
    std::string m_application;
    std::string m_domain;
    bool m_startup_received = false;
    bool m_busy = false;
    bool m_closed = false;
    bool m_skip_to_sync = false;
    bool m_explicit_transaction = false;
    bool m_implicit_transaction = false;
    bool m_transaction_failed = false;
    bool m_simple_query = false;
    bool m_replicating = false;
    std::size_t m_sent_entry_count = 0;
    replica_status m_status;
    std::string m_parsed_text;
    parameters m_bound_values;
    std::string m_running_text;
    parameters m_running_values;
};

} // namespace standin
