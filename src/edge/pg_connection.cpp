#include "edge/pg_connection.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

PGconn* start_connect(const pg_target& target) {
    const std::string port = std::to_string(target.port);
    const char* keywords[] = {"hostaddr",         "port",    "dbname",     "user",
                              "application_name", "sslmode", "gssencmode", nullptr};
    const char* values[] = {target.address.c_str(),
                            port.c_str(),
                            target.database.c_str(),
                            target.user.c_str(),
                            target.application_name.c_str(),
                            "disable",
                            "disable",
                            nullptr};
    return PQconnectStartParams(keywords, values, 0);
}

pg_result read_result(const PGresult* source) {
    pg_result result;
    const ExecStatusType status = PQresultStatus(source);
    result.ok = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
    result.skipped = status == PGRES_PIPELINE_ABORTED;
    result.tag = PQcmdStatus(const_cast<PGresult*>(source));
    if (!result.ok && !result.skipped) {
        const char* state = PQresultErrorField(source, PG_DIAG_SQLSTATE);
        const char* text = PQresultErrorField(source, PG_DIAG_MESSAGE_PRIMARY);
        result.sqlstate = state == nullptr ? "" : state;
        result.message = text == nullptr ? PQresultErrorMessage(source) : text;
    }
    const int columns = PQnfields(source);
    for (int i = 0; i < columns; ++i) {
        result.columns.push_back({PQfname(source, i), PQftype(source, i)});
    }
    for (int i = 0; i < PQntuples(source); ++i) {
        auto& row = result.rows.emplace_back();
        for (int j = 0; j < columns; ++j) {
            if (PQgetisnull(source, i, j) != 0) {
                row.emplace_back();
                continue;
            }
            const auto length = static_cast<std::size_t>(PQgetlength(source, i, j));
            row.emplace_back(std::string(PQgetvalue(source, i, j), length));
        }
    }
    return result;
}

} // namespace

std::string pg_result::field(std::size_t row, std::size_t column) const {
    if (row >= rows.size() || column >= rows[row].size()) {
        return "";
    }
    return rows[row][column].value_or("");
}

bool pg_outcome::succeeded(std::size_t segment) const {
    if (lost || segment >= segments.size()) {
        return false;
    }
    return std::all_of(segments[segment].begin(), segments[segment].end(),
                       [](const pg_result& result) { return result.ok; });
}

const pg_result* pg_outcome::first_failure() const {
    for (const auto& segment : segments) {
        for (const auto& result : segment) {
            if (!result.ok && !result.skipped) {
                return &result;
            }
        }
    }
    return nullptr;
}

pg_connection::pg_connection(event_loop& loop, PGconn* connection)
    : m_loop(loop), m_connection(connection) {}

pg_connection::~pg_connection() {
    close("the connection object was destroyed");
}

task<std::unique_ptr<pg_connection>> pg_connection::open(event_loop& loop, pg_target target,
                                                         time_point deadline) {
    PGconn* handle = start_connect(target);
    std::unique_ptr<pg_connection> connection(new pg_connection(loop, handle));
    if (handle == nullptr || PQstatus(handle) == CONNECTION_BAD) {
        co_return nullptr;
    }
    oneshot<bool> connected(loop);
    connection->m_connected = connected;
    connection->watch_socket(EV_WRITE, &pg_connection::on_connect_progress);
    connection->m_deadline_timer =
        loop.after(deadline - event_loop::now(), [connected] { connected.set(false); });
    const bool is_connected = co_await connected;
    connection->m_connected.reset();
    connection->m_deadline_timer.cancel();
    if (!is_connected || PQsetnonblocking(handle, 1) != 0 || PQenterPipelineMode(handle) != 1) {
        co_return nullptr;
    }
    connection->watch_socket(EV_READ | EV_PERSIST, &pg_connection::on_socket_ready);
    co_return std::move(connection);
}

void pg_connection::watch_socket(short events, event_callback_fn callback) {
    if (m_socket_event != nullptr) {
        event_free(m_socket_event);
    }
    m_socket_event = event_new(m_loop.base(), PQsocket(m_connection), events, callback, this);
    event_add(m_socket_event, nullptr);
}

void pg_connection::on_connect_progress(evutil_socket_t, short, void* argument) {
    static_cast<pg_connection*>(argument)->poll_connect();
}

void pg_connection::poll_connect() {
    switch (PQconnectPoll(m_connection)) {
    case PGRES_POLLING_READING:
        watch_socket(EV_READ, &pg_connection::on_connect_progress);
        break;
    case PGRES_POLLING_WRITING:
        watch_socket(EV_WRITE, &pg_connection::on_connect_progress);
        break;
    case PGRES_POLLING_OK:
        m_connected->set(true);
        break;
    default:
        m_connected->set(false);
    }
}

task<pg_outcome> pg_connection::run(pg_batch segments, time_point deadline) {
    if (m_connection == nullptr) {
        pg_outcome lost;
        lost.lost = true;
        lost.loss_reason = "the connection is closed";
        co_return lost;
    }
    m_outcome = {};
    m_segment_results.clear();
    m_expected_segments = segments.size();
    bool sent = true;
    for (const auto& segment : segments) {
        for (const auto& statement : segment) {
            std::vector<const char*> values;
            for (const auto& value : statement.parameters) {
                values.push_back(value ? value->c_str() : nullptr);
            }
            sent = sent && PQsendQueryParams(m_connection, statement.text.c_str(),
                                             static_cast<int>(values.size()), nullptr,
                                             values.data(), nullptr, nullptr, 0) == 1;
        }
        sent = sent && PQpipelineSync(m_connection) == 1;
    }
    oneshot<bool> done(m_loop);
    m_batch_done = done;
    m_deadline_timer = m_loop.after(deadline - event_loop::now(), [this] {
        finish_batch(true, "the server did not answer before the deadline");
    });
    if (sent) {
        flush();
    } else {
        finish_batch(true, PQerrorMessage(m_connection));
    }
    co_await done;
    co_return std::move(m_outcome);
}

void pg_connection::flush() {
    const int flush_result = PQflush(m_connection);
    if (flush_result < 0) {
        finish_batch(true, PQerrorMessage(m_connection));
    } else if (flush_result > 0) {
        watch_socket(EV_READ | EV_WRITE | EV_PERSIST, &pg_connection::on_socket_ready);
    }
}

void pg_connection::on_socket_ready(evutil_socket_t, short events, void* argument) {
    auto* self = static_cast<pg_connection*>(argument);
    if ((events & EV_WRITE) != 0) {
        const int flush_result = PQflush(self->m_connection);
        if (flush_result < 0) {
            self->finish_batch(true, PQerrorMessage(self->m_connection));
            return;
        }
        if (flush_result == 0) {
            self->watch_socket(EV_READ | EV_PERSIST, &pg_connection::on_socket_ready);
        }
    }
    self->read_results();
}

void pg_connection::read_results() {
    const bool input_read = PQconsumeInput(m_connection) == 1;
    while (m_connection != nullptr && m_batch_done && PQisBusy(m_connection) == 0) {
        PGresult* result = PQgetResult(m_connection);
        if (result == nullptr) {
            // libpq returns null after the results of each statement of a pipeline; that is not its
            // end.
            if (PQstatus(m_connection) == CONNECTION_BAD) {
                break;
            }
            continue;
        }
        add_result(result);
    }
    if (!input_read || (m_connection != nullptr && PQstatus(m_connection) == CONNECTION_BAD)) {
        finish_batch(true, m_connection == nullptr ? "the connection is closed"
                                                   : PQerrorMessage(m_connection));
    }
}

void pg_connection::add_result(PGresult* result) {
    if (PQresultStatus(result) != PGRES_PIPELINE_SYNC) {
        m_segment_results.push_back(read_result(result));
        PQclear(result);
        return;
    }
    PQclear(result);
    m_outcome.segments.push_back(std::exchange(m_segment_results, {}));
    if (m_outcome.segments.size() == m_expected_segments) {
        finish_batch(false, "");
    }
}

// The reason is passed by value since it may point into the libpq connection closed here.
void pg_connection::finish_batch(bool lost, std::string reason) {
    if (lost) {
        if (m_socket_event != nullptr) {
            event_free(m_socket_event);
            m_socket_event = nullptr;
        }
        PQfinish(m_connection);
        m_connection = nullptr;
    }
    m_deadline_timer.cancel();
    if (!m_batch_done) {
        return;
    }
    m_outcome.lost = lost;
    m_outcome.loss_reason = std::move(reason);
    const oneshot<bool> done = *m_batch_done;
    m_batch_done.reset();
    done.set(true);
}

void pg_connection::close(const std::string& reason) {
    if (m_connection != nullptr) {
        finish_batch(true, reason);
    }
}

} // namespace bronzeplank
