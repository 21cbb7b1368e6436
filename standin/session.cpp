#include "session.hpp"

#include <cstdlib>
#include <event2/buffer.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace standin {

namespace {

std::string first_keyword(const std::string& text) {
    const auto start = text.find_first_not_of(" \t\r\n");
    if (start == std::string::npos) {
        return "";
    }
    std::string keyword = text.substr(start, text.find_first_of(" \t\r\n;(", start) - start);
    for (auto& letter : keyword) {
        letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return keyword;
}

bool is_session_command(const std::string& keyword) {
    static const std::set<std::string> words = {"BEGIN", "START",   "COMMIT", "END",  "ROLLBACK",
                                                "SET",   "DISCARD", "RESET",  "ALTER"};
    return words.contains(keyword);
}

// Queries of system functions, system views and the term table are executed immediately, without a
// slot, unless they belong to an explicit transaction.
bool is_system_query(const std::string& text) {
    return text.find("pg_") != std::string::npos || text.find("standin_") != std::string::npos ||
           text.find("current_setting(") != std::string::npos ||
           text.find("bronzeplank_term") != std::string::npos;
}

} // namespace

session::session(instance& owner, evutil_socket_t socket, int pid)
    : m_owner(owner),
      m_stream(bufferevent_socket_new(owner.loop().base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      m_pid(pid) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(m_stream, &session::on_read, nullptr, &session::on_event, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

session::~session() {
    if (m_stream != nullptr) {
        bufferevent_free(m_stream);
    }
}

void session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    const auto self = shared_from_this();
    if (m_explicit_transaction || m_implicit_transaction) {
        end_transaction(false);
    }
    bufferevent_free(m_stream);
    m_stream = nullptr;
    m_owner.remove_session(*this);
}

void session::on_read(bufferevent* stream, void* argument) {
    evbuffer* input = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto self = static_cast<session*>(argument)->shared_from_this();
    self->receive(bytes);
}

void session::on_event(bufferevent*, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<session*>(argument)->close();
    }
}

void session::receive(const std::string& bytes) {
    const auto delay = m_owner.round_trip_delay_from(m_domain);
    m_delayed_input.push_back({bronzeplank::event_loop::now() + delay, bytes});
    if (m_delayed_input.size() == 1) {
        deliver_due_input();
    }
}

void session::deliver_due_input() {
    const auto self = shared_from_this();
    while (!m_closed && !m_delayed_input.empty() && !m_owner.is_partitioned_from(m_domain)) {
        const auto wait = m_delayed_input.front().due - bronzeplank::event_loop::now();
        if (wait.count() > 0) {
            m_delivery_timer = m_owner.loop().after(wait, [this] { deliver_due_input(); });
            return;
        }
        m_reader.append(m_delayed_input.front().bytes);
        m_delayed_input.pop_front();
        for (auto message = m_reader.next(); message; message = m_reader.next()) {
            m_messages.push_back(*message);
            if (!m_startup_received && message->type == '\0' && message->body.size() > 4) {
                m_reader.finish_startup();
            }
        }
        process_messages();
    }
}

void session::resume_after_partition() {
    if (m_owner.is_partitioned_from(m_domain) || m_closed) {
        return;
    }
    std::string blocked_output;
    blocked_output.swap(m_blocked_output);
    send(blocked_output);
    deliver_due_input();
    if (m_replicating) {
        send_log();
    }
}

void session::process_messages() {
    while (!m_closed && !m_busy && !m_messages.empty()) {
        const wire_message message = m_messages.front();
        m_messages.pop_front();
        handle_message(message);
    }
}

void session::handle_message(const wire_message& message) {
    const body_reader body(message.body);
    switch (message.type) {
    case '\0':
        handle_startup(message.body);
        break;
    case 'P':
        parse(body);
        break;
    case 'B':
        bind(body);
        break;
    case 'D':
        describe();
        break;
    case 'E':
        if (!m_skip_to_sync) {
            start_statement(m_parsed_text, m_bound_values, false);
        }
        break;
    case 'S':
        sync();
        break;
    case 'Q':
        start_statement(body_reader(body).text(), {}, true);
        break;
    case 'd':
        update_replica_status(message.body);
        break;
    case 'C':
        send(message_builder('3').finish());
        break;
    case 'H':
        break;
    default:
        close();
    }
}

void session::handle_startup(const std::string& body) {
    constexpr std::int32_t protocol_version_3 = 196608;
    body_reader reader(body);
    if (reader.int32() != protocol_version_3) {
        // Refuses a request for TLS or GSS encryption; the client continues in plain text.
        send("N");
        return;
    }
    m_startup_received = true;
    m_reader.finish_startup();
    bool replication = false;
    for (std::string name = reader.text(); !name.empty(); name = reader.text()) {
        const std::string value = reader.text();
        if (name == "application_name") {
            m_application = value;
        }
        replication = replication || name == "replication";
    }
    const auto slash = m_application.rfind('/');
    m_domain = slash == std::string::npos ? "" : m_application.substr(slash + 1);
    if (m_application.starts_with("standin-control")) {
        m_domain.clear();
    }
    if (!replication &&
        m_owner.client_session_count() > static_cast<std::size_t>(m_owner.options().connections)) {
        send(error_response("53300", "sorry, too many clients already"));
        m_owner.loop().post([self = shared_from_this()] { self->close(); });
        return;
    }
    m_busy = true;
    m_owner.loop().later(std::chrono::milliseconds(m_owner.options().connect_ms),
                         [self = shared_from_this()] { self->complete_startup(); });
}

void session::complete_startup() {
    if (m_closed) {
        return;
    }
    const auto parameter = [this](const char* name, const char* value) {
        send(message_builder('S').text(name).text(value).finish());
    };
    send(message_builder('R').int32(0).finish());
    parameter("server_version", "15.0 (stand-in)");
    parameter("client_encoding", "UTF8");
    parameter("standard_conforming_strings", "on");
    send(message_builder('K').int32(m_pid).int32(m_pid).finish());
    send(ready_for_query('I'));
    m_busy = false;
    process_messages();
}

void session::parse(body_reader body) {
    if (m_skip_to_sync) {
        return;
    }
    body.text();
    m_parsed_text = body.text();
    send(message_builder('1').finish());
}

void session::bind(body_reader body) {
    if (m_skip_to_sync) {
        return;
    }
    body.text();
    body.text();
    for (int formats = body.int16(); formats > 0; --formats) {
        body.int16();
    }
    m_bound_values.clear();
    for (int count = body.int16(); count > 0; --count) {
        const std::int32_t length = body.int32();
        if (length < 0) {
            m_bound_values.emplace_back();
        } else {
            m_bound_values.emplace_back(body.bytes(static_cast<std::size_t>(length)));
        }
    }
    send(message_builder('2').finish());
}

void session::describe() {
    // send_result() sends the row description along with the rows.
}

void session::start_statement(const std::string& text, const parameters& values, bool simple) {
    m_running_text = text;
    m_running_values = values;
    m_simple_query = simple;
    const std::string keyword = first_keyword(text);
    if (keyword == "START_REPLICATION") {
        start_replication(text);
        return;
    }
    if (m_transaction_failed && keyword != "ROLLBACK" && keyword != "COMMIT" && keyword != "END") {
        fail_statement("25P02", "current transaction is aborted, commands ignored until end of "
                                "transaction block");
        return;
    }
    if (is_session_command(keyword)) {
        execute_command(keyword);
        return;
    }
    if (!m_explicit_transaction && is_system_query(text) &&
        (keyword == "SELECT" || keyword == "WITH")) {
        execute_statement();
        return;
    }
    m_busy = true;
    execute_when_available(false);
}

void session::execute_when_available(bool service_time_elapsed) {
    if (m_closed) {
        return;
    }
    const auto retry = [self = shared_from_this()](bool elapsed) {
        return [self, elapsed] { self->execute_when_available(elapsed); };
    };
    if (!m_owner.lock_available_to(*this)) {
        m_owner.wait_for_release(retry(service_time_elapsed));
        return;
    }
    if (service_time_elapsed) {
        m_busy = false;
        execute_statement();
        process_messages();
        return;
    }
    if (m_explicit_transaction && !m_owner.holds_lock(*this)) {
        m_owner.acquire_lock(*this);
        m_owner.storage().begin();
    }
    if (!m_owner.acquire_slot()) {
        m_owner.wait_for_release(retry(false));
        return;
    }
    m_owner.loop().later(std::chrono::microseconds(m_owner.options().service_us),
                         [self = shared_from_this()] {
                             self->m_owner.release_slot();
                             self->execute_when_available(true);
                         });
}

void session::execute_statement() {
    try {
        const bool reads = m_owner.storage().is_read_only(m_running_text);
        if (!reads && m_owner.in_recovery()) {
            throw statement_error("25006", "cannot execute a write in a read-only transaction");
        }
        if (!reads && !m_explicit_transaction && !m_implicit_transaction) {
            m_owner.acquire_lock(*this);
            m_owner.storage().begin();
            m_implicit_transaction = true;
        }
        send_result(m_owner.execute(*this, m_running_text, m_running_values));
    } catch (const statement_error& error) {
        fail_statement(error.sqlstate(), error.what());
    }
}

void session::execute_command(const std::string& keyword) {
    statement_result result;
    result.tag = keyword;
    if (keyword == "BEGIN" || keyword == "START") {
        // The transaction lock is acquired by the first statement of the transaction.
        m_explicit_transaction = true;
        result.tag = "BEGIN";
    } else if (keyword == "COMMIT" || keyword == "END" || keyword == "ROLLBACK") {
        const bool commit = keyword != "ROLLBACK" && !m_transaction_failed;
        end_transaction(commit);
        result.tag = commit ? "COMMIT" : "ROLLBACK";
    } else if (keyword == "ALTER") {
        const auto open = m_running_text.find('\'');
        const auto end = m_running_text.rfind('\'');
        if (m_running_text.find("ALTER SYSTEM SET primary_conninfo") == std::string::npos ||
            open == end) {
            fail_statement("0A000", "the stand-in supports only ALTER SYSTEM SET primary_conninfo");
            return;
        }
        m_owner.set_conninfo(m_running_text.substr(open + 1, end - open - 1));
        result.tag = "ALTER SYSTEM";
    } else if (m_running_text.starts_with("SET ROLE") && m_owner.refuse_role()) {
        fail_statement("42501", "permission denied to set role");
        return;
    }
    send_result(result);
}

void session::send_result(const statement_result& result) {
    if (!result.table.columns.empty()) {
        send(row_description(result.table));
        send(data_rows(result.table));
    } else if (!m_simple_query) {
        send(message_builder('n').finish());
    }
    send(command_complete(result.tag));
    if (m_simple_query) {
        sync();
    }
}

void session::fail_statement(const std::string& sqlstate, const std::string& message) {
    m_transaction_failed = m_explicit_transaction;
    send(error_response(sqlstate, message));
    if (m_implicit_transaction) {
        end_transaction(false);
    }
    if (m_simple_query) {
        sync();
    } else {
        m_skip_to_sync = true;
    }
}

void session::sync() {
    if (m_closed) {
        return;
    }
    m_skip_to_sync = false;
    if (m_implicit_transaction) {
        end_transaction(true);
    }
    send(ready_for_query(m_transaction_failed ? 'E' : (m_explicit_transaction ? 'T' : 'I')));
}

void session::end_transaction(bool commit) {
    const bool open = m_owner.holds_lock(*this);
    m_explicit_transaction = false;
    m_implicit_transaction = false;
    m_transaction_failed = false;
    if (open) {
        if (commit) {
            m_owner.storage().commit();
        } else {
            m_owner.storage().rollback();
        }
    }
    m_owner.release_lock(*this);
    if (open && commit) {
        m_owner.send_log_to_replicas();
    }
}

void session::start_replication(const std::string& request) {
    if (m_owner.in_recovery()) {
        fail_statement("57P03", "this instance is in recovery");
        return;
    }
    char* rest = nullptr;
    const std::size_t blank = request.find(' ');
    const std::uint64_t position = std::strtoull(request.c_str() + blank, &rest, 10);
    const std::uint64_t id = std::strtoull(rest, nullptr, 10);
    send(message_builder('W').bytes(std::string_view("\0\0\0", 3)).finish());
    const auto& log = m_owner.storage().log();
    m_sent_entry_count = 0;
    bool common_entry_found = position == database::first_position;
    for (std::size_t i = 0; i < log.size() && !common_entry_found; ++i) {
        common_entry_found = log[i].end_position == position && log[i].id == id;
        m_sent_entry_count = common_entry_found ? i + 1 : 0;
    }
    if (!common_entry_found) {
        // The replica's log has diverged: the replica deletes its data and receives the whole log.
        send(message_builder('d').bytes("RESET").finish());
    }
    m_replicating = true;
    send_log();
}

void session::send_log() {
    const auto& log = m_owner.storage().log();
    for (; m_sent_entry_count < log.size(); ++m_sent_entry_count) {
        send(message_builder('d').bytes(encode_entry(log[m_sent_entry_count])).finish());
    }
}

void session::update_replica_status(const std::string& body) {
    char* rest = nullptr;
    m_status.flushed = std::strtoull(body.c_str(), &rest, 10);
    m_status.replayed = std::strtoull(rest, nullptr, 10);
}

void session::send(const std::string& bytes) {
    if (m_closed || bytes.empty()) {
        return;
    }
    if (m_owner.is_partitioned_from(m_domain) || !m_blocked_output.empty()) {
        m_blocked_output += bytes;
        return;
    }
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

} // namespace standin
