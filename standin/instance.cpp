#include "instance.hpp"

#include "replication_connection.hpp"
#include "session.hpp"

#include "bronzeplank/fencing_token.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <sstream>

namespace standin {

namespace {

constexpr std::chrono::milliseconds group_record_poll_interval{500};

void return_text(sqlite3_context* context, const std::string& text) {
    sqlite3_result_text(context, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
}

std::string text_argument(sqlite3_value* value) {
    const auto* text = reinterpret_cast<const char*>(sqlite3_value_text(value));
    return text == nullptr ? "" : text;
}

} // namespace

std::string format_position(std::uint64_t position) {
    return fmt::format("{:X}/{:X}", position >> 32U, position & 0xffffffffU);
}

/// The implementations of the PostgreSQL system functions that are registered with SQLite.
struct system_functions {
    using handler = std::string (*)(instance&, int, sqlite3_value**);

    static instance& owner(sqlite3_context* context) {
        return *static_cast<instance*>(sqlite3_user_data(context));
    }

    template <handler Handler>
    static void call(sqlite3_context* context, int count, sqlite3_value** values) {
        return_text(context, Handler(owner(context), count, values));
    }

    static std::string in_recovery(instance& self, int, sqlite3_value**) {
        return self.m_primary ? "f" : "t";
    }
    static std::string current_position(instance& self, int, sqlite3_value**) {
        return format_position(self.m_database.received_position());
    }
    static std::string replayed_position(instance& self, int, sqlite3_value**) {
        return format_position(self.m_database.applied_position());
    }
    static std::string promote(instance& self, int, sqlite3_value**) {
        self.m_loop.post([&self] { self.promote(); });
        return "t";
    }
    static std::string reload_configuration(instance& self, int, sqlite3_value**) {
        self.reload_configuration();
        return "t";
    }
    static std::string try_lock(instance& self, int, sqlite3_value**) {
        if (self.m_advisory_lock_holder != nullptr &&
            self.m_advisory_lock_holder != self.m_calling_session) {
            return "f";
        }
        self.m_advisory_lock_holder = self.m_calling_session;
        return "t";
    }
    static std::string unlock(instance& self, int, sqlite3_value**) {
        if (self.m_advisory_lock_holder != self.m_calling_session) {
            return "f";
        }
        self.m_advisory_lock_holder = nullptr;
        return "t";
    }
    static std::string setting(instance& self, int, sqlite3_value** values) {
        return text_argument(values[0]) == "primary_conninfo" ? self.m_pending_conninfo : "";
    }
    static std::string terminate(instance& self, int, sqlite3_value** values) {
        const int pid = sqlite3_value_int(values[0]);
        for (const auto& candidate : self.m_sessions) {
            if (candidate->pid() == pid) {
                self.m_advisory_lock_holder = self.m_advisory_lock_holder == candidate.get()
                                                  ? nullptr
                                                  : self.m_advisory_lock_holder;
                self.m_loop.post([candidate] { candidate->close(); });
                return "t";
            }
        }
        return "f";
    }
    static std::string control(instance& self, int, sqlite3_value** values) {
        self.set_fault_switch(text_argument(values[0]), text_argument(values[1]));
        return "t";
    }
};

instance::instance(bronzeplank::event_loop& loop, const upstream_options& options)
    : m_loop(loop), m_options(options), m_primary(options.primary), m_lag_ms(options.lag_ms) {
    register_functions();
    if (!m_primary) {
        follow(options.follow);
    }
    if (options.platform_port != 0) {
        poll_group_record();
    }
}

instance::~instance() = default;

void instance::register_functions() {
    const auto add = [this](const char* name, int count, auto function) {
        sqlite3_create_function(m_database.sqlite_handle(), name, count, SQLITE_UTF8, this,
                                function, nullptr, nullptr);
    };
    using f = system_functions;
    add("pg_is_in_recovery", 0, &f::call<&f::in_recovery>);
    add("pg_current_wal_lsn", 0, &f::call<&f::current_position>);
    add("pg_last_wal_receive_lsn", 0, &f::call<&f::current_position>);
    add("pg_last_wal_replay_lsn", 0, &f::call<&f::replayed_position>);
    add("pg_promote", -1, &f::call<&f::promote>);
    add("pg_reload_conf", 0, &f::call<&f::reload_configuration>);
    add("pg_try_advisory_lock", 1, &f::call<&f::try_lock>);
    add("pg_advisory_unlock", 1, &f::call<&f::unlock>);
    add("current_setting", -1, &f::call<&f::setting>);
    add("pg_terminate_backend", 1, &f::call<&f::terminate>);
    add("standin_control", 2, &f::call<&f::control>);
    m_database.execute_unlogged(
        "CREATE TEMP TABLE pg_stat_replication (application_name, flush_lsn, "
        "replay_lsn);"
        "CREATE TEMP TABLE pg_locks (locktype, objid, pid);"
        "CREATE TEMP TABLE pg_stat_wal_receiver (status)");
}

void instance::refresh_views() {
    std::string text = "DELETE FROM pg_stat_replication; DELETE FROM pg_locks;"
                       "DELETE FROM pg_stat_wal_receiver;";
    for (const auto& item : m_sessions) {
        if (item->is_replica()) {
            const std::string name = item->application();
            text += fmt::format("INSERT INTO pg_stat_replication VALUES ('{}', '{}', '{}');",
                                name.substr(0, name.rfind('/')),
                                format_position(item->status().flushed),
                                format_position(item->status().replayed));
        }
    }
    if (m_advisory_lock_holder != nullptr) {
        text += fmt::format("INSERT INTO pg_locks VALUES ('advisory', 7311, {});",
                            m_advisory_lock_holder->pid());
    }
    if (m_replication != nullptr && m_replication->streaming()) {
        text += "INSERT INTO pg_stat_wal_receiver VALUES ('streaming');";
    }
    m_database.execute_unlogged(text.c_str());
}

statement_result instance::execute(session& caller, const std::string& text,
                                   const parameters& values) {
    m_calling_session = &caller;
    const bool queries_views =
        text.find("pg_stat_") != std::string::npos || text.find("pg_locks") != std::string::npos;
    if (queries_views && !m_database.in_transaction()) {
        refresh_views();
    }
    return m_database.execute(text, values);
}

bronzeplank::duration instance::round_trip_delay_from(const std::string& domain) const {
    const bool same_domain = domain.empty() || domain == m_options.failure_domain;
    return std::chrono::microseconds(same_domain ? 0 : 2 * m_options.domain_delay_us);
}

bool instance::lock_available_to(const session& caller) const {
    return m_transaction_lock_holder == nullptr || m_transaction_lock_holder == &caller;
}

void instance::release_lock(const session& caller) {
    if (m_transaction_lock_holder == &caller) {
        m_transaction_lock_holder = nullptr;
        notify_waiters();
        schedule_apply();
    }
}

bool instance::acquire_slot() {
    if (m_slots_used >= m_options.slots) {
        return false;
    }
    ++m_slots_used;
    return true;
}

void instance::release_slot() {
    --m_slots_used;
    notify_waiters();
}

void instance::notify_waiters() {
    m_loop.post([this] {
        std::deque<std::function<void()>> retries;
        retries.swap(m_release_callbacks);
        for (const auto& retry : retries) {
            retry();
        }
    });
}

void instance::add_session(std::shared_ptr<session> new_session) {
    m_sessions.push_back(std::move(new_session));
}

void instance::remove_session(session& closed_session) {
    m_advisory_lock_holder =
        m_advisory_lock_holder == &closed_session ? nullptr : m_advisory_lock_holder;
    std::erase_if(m_sessions,
                  [&closed_session](const auto& item) { return item.get() == &closed_session; });
}

std::size_t instance::client_session_count() const {
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& item) {
            return !item->is_replica() && !item->application().starts_with("standin-control");
        }));
}

void instance::send_log_to_replicas() {
    for (const auto& item : m_sessions) {
        if (item->is_replica()) {
            item->send_log();
        }
    }
}

void instance::schedule_apply() {
    m_loop.later(std::chrono::milliseconds(m_lag_ms), [this] {
        if (m_primary || m_database.in_transaction()) {
            return;
        }
        if (m_database.apply_next() && m_replication != nullptr) {
            m_replication->report_positions();
        }
        // After the lag has been reduced to 0, earlier entries may be pending without a timer.
        if (m_database.pending_entries() > 0 && m_lag_ms == 0) {
            schedule_apply();
        }
    });
}

void instance::reload_configuration() {
    if (m_pending_conninfo == m_conninfo) {
        return;
    }
    m_conninfo = m_pending_conninfo;
    if (m_primary) {
        return;
    }
    m_loop.post([this] {
        m_replication.reset();
        std::istringstream items(m_conninfo);
        std::string application;
        std::uint16_t port = 0;
        for (std::string item; items >> item;) {
            if (item.starts_with("port=")) {
                port = static_cast<std::uint16_t>(std::stoi(item.substr(5)));
            } else if (item.starts_with("application_name=")) {
                application = item.substr(17);
            }
        }
        if (port != 0 && !m_primary) {
            m_replication = std::make_unique<replication_connection>(
                *this, port, application + "/" + m_options.failure_domain);
        }
    });
}

void instance::promote() {
    if (m_primary) {
        return;
    }
    m_replication.reset();
    while (m_database.apply_next()) {
    }
    m_primary = true;
}

void instance::follow(const std::string& peer) {
    const auto found = m_options.peers.find(peer);
    if (found == m_options.peers.end()) {
        throw std::runtime_error(
            fmt::format("instance \"{}\" to follow is not among the --peer options", peer));
    }
    const std::string application_name = m_options.name + ":0";
    m_conninfo = fmt::format("host={} port={} application_name={}", m_options.address,
                             found->second, application_name);
    m_pending_conninfo = m_conninfo;
    m_replication = std::make_unique<replication_connection>(
        *this, found->second, application_name + "/" + m_options.failure_domain);
}

void instance::reset_data() {
    const auto sessions = m_sessions;
    for (const auto& item : sessions) {
        item->close();
    }
    m_database.reset();
    register_functions();
}

void instance::crash(std::chrono::milliseconds downtime) {
    m_crashed = true;
    m_replication.reset();
    const auto sessions = m_sessions;
    for (const auto& item : sessions) {
        item->close();
    }
    m_loop.later(downtime, [this] {
        m_crashed = false;
        // The added blank makes the setting differ, so that the reload connects again.
        m_pending_conninfo += " ";
        reload_configuration();
    });
}

void instance::set_fault_switch(const std::string& name, const std::string& value) {
    if (name == "lag_ms") {
        const int earlier_lag_ms =
            std::exchange(m_lag_ms, value == "default" ? m_options.lag_ms : std::stoi(value));
        // Pending entries wait no longer than a shorter lag.
        const bool is_shorter = !m_primary && m_lag_ms < earlier_lag_ms;
        for (std::size_t i = 0; is_shorter && i < m_database.pending_entries(); ++i) {
            schedule_apply();
        }
    } else if (name == "crash_ms") {
        m_loop.post([this, value] { crash(std::chrono::milliseconds(std::stoi(value))); });
    } else if (name == "cut") {
        m_partitioned_domains.clear();
        std::istringstream items(value);
        for (std::string domain; items >> domain;) {
            m_partitioned_domains.insert(domain);
        }
        const auto sessions = m_sessions;
        for (const auto& item : sessions) {
            item->resume_after_partition();
        }
    } else if (name == "refused_roles") {
        m_refused_roles = std::stoi(value);
    } else {
        throw statement_error("22023", "unknown fault switch; expected lag_ms, crash_ms, cut or "
                                       "refused_roles");
    }
}

bool instance::refuse_role() {
    if (m_refused_roles == 0) {
        return false;
    }
    --m_refused_roles;
    return true;
}

// Simulates the platform's supervisor, which restarts a former primary as a replica. The replica
// has no primary to follow until it is reconfigured. Without the platform the record can't be read,
// and the role stays.
void instance::poll_group_record() {
    m_loop.later(group_record_poll_interval, [this] { poll_group_record(); });
    if (m_crashed || m_partitioned_domains.contains("platform")) {
        return;
    }
    evhttp_connection* connection = evhttp_connection_base_new(
        m_loop.base(), nullptr, m_options.address.c_str(), m_options.platform_port);
    evhttp_connection_set_timeout(connection, 2);
    evhttp_connection_free_on_completion(connection);
    const auto on_response = [](evhttp_request* request, void* argument) {
        if (request == nullptr || evhttp_request_get_response_code(request) != 200) {
            return;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        static_cast<instance*>(argument)->apply_group_record(body);
    };
    evhttp_request* request = evhttp_request_new(on_response, this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "platform");
    evhttp_make_request(connection, request, EVHTTP_REQ_GET,
                        ("/v1/objects/group/" + m_options.group).c_str());
}

void instance::apply_group_record(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.c_str());
    if (!document.IsObject() || !document["value"].IsObject()) {
        return;
    }
    const auto& value = document["value"];
    const std::string primary = value["primary"].GetString();
    const std::uint64_t ready_term = value["ready_term"].GetUint64();
    const auto token = bronzeplank::parse_fencing_token(m_pending_conninfo);
    const bool has_unpublished_promotion =
        highest_recorded_term() > ready_term || token.pending_term > ready_term;
    // A primary whose term is not yet published in the record is newer than the record.
    if (!m_primary || primary.empty() || primary == m_options.name || has_unpublished_promotion) {
        return;
    }
    m_primary = false;
    const auto sessions = m_sessions;
    for (const auto& item : sessions) {
        item->close();
    }
}

std::uint64_t instance::highest_recorded_term() {
    try {
        const auto result = m_database.execute("SELECT max(term) FROM bronzeplank_term", {});
        return std::stoull(result.table.rows.at(0).at(0).value_or("0"));
    } catch (const statement_error&) {
        // The table is created by the first promotion.
        return 0;
    }
}

void run_upstream(bronzeplank::event_loop& loop, const upstream_options& options) {
    struct connection_acceptor {
        instance served_instance;
        int next_pid = 1;

        static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                              void* argument) {
            auto* self = static_cast<connection_acceptor*>(argument);
            if (self->served_instance.crashed()) {
                evutil_closesocket(socket);
                return;
            }
            self->served_instance.add_session(
                std::make_shared<session>(self->served_instance, socket, self->next_pid++));
        }
    };
    connection_acceptor acceptor{{loop, options}, 1};
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    inet_pton(AF_INET, options.address.c_str(), &address.sin_addr);
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    evconnlistener* listener = evconnlistener_new_bind(
        loop.base(), &connection_acceptor::on_accept, &acceptor, flags, -1,
        reinterpret_cast<sockaddr*>(&address), static_cast<int>(sizeof address));
    if (listener == nullptr) {
        throw std::runtime_error(
            fmt::format("cannot listen on {}:{}", options.address, options.port));
    }
    loop.run();
    evconnlistener_free(listener);
}

} // namespace standin
