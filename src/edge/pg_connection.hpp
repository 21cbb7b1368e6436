/// \file
/// A non-blocking PostgreSQL connection in pipeline mode, on libpq.
#pragma once

#include "runtime/task.hpp"

#include <cstdint>
#include <libpq-fe.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// The parameters of a connection.
struct pg_target {
    std::string address;
    std::uint16_t port = 0;
    std::string database;
    std::string user;
    std::string application_name;
    bool operator==(const pg_target&) const = default;
};

/// A value in text form, or NULL.
using pg_field = std::optional<std::string>;

/// A statement and its parameters.
struct pg_statement {
    std::string text;
    std::vector<pg_field> parameters;
};

/// Statements followed by one Sync message. They run in one implicit transaction unless they open
/// an explicit one.
using pg_segment = std::vector<pg_statement>;

/// A result column: its name and the OID of its type.
struct pg_column {
    std::string name;
    unsigned type = 0;
};

/// Segments that are sent in one round trip.
using pg_batch = std::vector<pg_segment>;

/// Makes a batch of the given segments. GCC 12 does not compile a braced list inside co_await.
template <class... Segments>
pg_batch batch_of(Segments... segments) {
    pg_batch batch;
    (batch.push_back(std::move(segments)), ...);
    return batch;
}

/// The result of one statement.
struct pg_result {
    bool ok = false;
    /// Not executed because an earlier statement of its segment failed.
    bool skipped = false;
    std::string sqlstate;
    std::string message;
    std::string tag;
    std::vector<pg_column> columns;
    std::vector<std::vector<pg_field>> rows;

    /// The field; empty when it is NULL or does not exist.
    std::string field(std::size_t row, std::size_t column) const;
};

/// The results of a batch by segment and statement. When the connection was lost, only the segments
/// that had completed by then are included; the outcome of the others is unknown.
struct pg_outcome {
    bool lost = false;
    std::string loss_reason;
    std::vector<std::vector<pg_result>> segments;

    /// Whether the connection was not lost and all statements of the segment succeeded.
    bool succeeded(std::size_t segment) const;
    /// The first failed statement in all segments; null when none failed.
    const pg_result* first_failure() const;
};

/// An open connection that runs one batch at a time. After an error of the connection or a timeout
/// it is closed and cannot be used again, since the state of its session is unknown.
/// Usage: `auto outcome = co_await connection->run(batch_of(segment), deadline);`
class pg_connection {
public:
    ~pg_connection();
    pg_connection(const pg_connection&) = delete;
    pg_connection& operator=(const pg_connection&) = delete;

    /// Connects; null when that fails or does not complete by the deadline.
    static task<std::unique_ptr<pg_connection>> open(event_loop& loop, pg_target target,
                                                     time_point deadline);

    /// Sends all segments at once and waits for all their results.
    task<pg_outcome> run(pg_batch segments, time_point deadline);

    /// Closes the connection immediately; a running batch ends as lost.
    void close(const std::string& reason);

    bool usable() const { return m_connection != nullptr; }
    /// The term of which the connected instance was verified to be the primary; 0 before that.
    std::uint64_t verified_term() const { return m_verified_term; }
    void set_verified_term(std::uint64_t term) { m_verified_term = term; }

private:
    pg_connection(event_loop& loop, PGconn* connection);

    static void on_socket_ready(evutil_socket_t, short events, void* argument);
    static void on_connect_progress(evutil_socket_t, short events, void* argument);
    void poll_connect();
    void watch_socket(short events, event_callback_fn callback);
    void read_results();
    void add_result(PGresult* result);
    void flush();
    void finish_batch(bool lost, std::string reason);

    event_loop& m_loop;
    PGconn* m_connection;
    event* m_socket_event = nullptr;
    std::optional<oneshot<bool>> m_connected;
    std::optional<oneshot<bool>> m_batch_done;
    pg_outcome m_outcome;
    std::vector<pg_result> m_segment_results;
    std::size_t m_expected_segments = 0;
    std::uint64_t m_verified_term = 0;
    timer m_deadline_timer;
};

} // namespace bronzeplank
