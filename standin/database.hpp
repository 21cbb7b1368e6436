/// \file
/// The storage of an instance: an in-memory SQLite database and a log of committed transactions.
#pragma once

#include "wire.hpp"

#include <cstdint>
#include <optional>
#include <sqlite3.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace standin {

using parameters = std::vector<std::optional<std::string>>;

/// A statement that changed data, with its parameter values; replicas replay it.
struct logged_statement {
    std::string text;
    parameters values;
};

/// A committed transaction. `end_position` is the log position after it. `id` is unique over all
/// instances, so that logs that diverged are detected even at equal positions.
struct log_entry {
    std::uint64_t end_position = 0;
    std::uint64_t id = 0;
    std::vector<logged_statement> statements;
};

/// Converts an entry to the JSON text that is sent to replicas.
std::string encode_entry(const log_entry& entry);
/// Parses the text that encode_entry() produced.
log_entry decode_entry(const std::string& text);

/// The failure of a statement, with the SQLSTATE code that PostgreSQL would report.
class statement_error : public std::runtime_error {
public:
    statement_error(std::string sqlstate, const std::string& message)
        : std::runtime_error(message), m_sqlstate(std::move(sqlstate)) {}
    const std::string& sqlstate() const { return m_sqlstate; }

private:
    std::string m_sqlstate;
};

/// The rows that a statement returned, and its command tag.
struct statement_result {
    result_table table;
    std::string tag;
};

/// An in-memory SQLite database with a replication log. A transaction is open from begin() to
/// commit() or rollback(); commit() appends the changing statements to the log. The log stands for
/// durable storage: it survives a simulated crash, and an open transaction does not.
///
///     db.begin();
///     db.execute("INSERT INTO t VALUES ($1)", {"1"});
///     db.commit();
class database {
public:
    database();
    ~database();
    database(const database&) = delete;
    database& operator=(const database&) = delete;

    /// True if the statement changes no data.
    bool is_read_only(const std::string& text) const;
    /// The names of the columns that a statement would return; empty if it returns no rows.
    std::vector<std::string> result_columns(const std::string& text) const;
    statement_result execute(const std::string& text, const parameters& values);

    void begin();
    void commit();
    void rollback();
    bool in_transaction() const { return m_in_transaction; }

    /// Appends an entry received from the primary, without applying it.
    void append_received(log_entry entry);
    /// Applies the next received entry; false if all entries are applied.
    bool apply_next();
    /// Deletes all data and the log, before a rebuild from another instance.
    void reset();

    const std::vector<log_entry>& log() const { return m_log; }
    std::uint64_t received_position() const {
        return m_log.empty() ? first_position : m_log.back().end_position;
    }
    std::uint64_t applied_position() const {
        return m_applied_count == 0 ? first_position : m_log[m_applied_count - 1].end_position;
    }
    std::size_t pending_entries() const { return m_log.size() - m_applied_count; }

    /// The log position of an empty database.
    static constexpr std::uint64_t first_position = 0x1000000;

    sqlite3* sqlite_handle() const { return m_sqlite; }
    /// Executes statements that are not logged, such as those on the emulated system views.
    void execute_unlogged(const char* text);

private:
    void open_sqlite();

    sqlite3* m_sqlite = nullptr;
    bool m_in_transaction = false;
    std::vector<logged_statement> m_uncommitted_changes;
    std::vector<log_entry> m_log;
    std::size_t m_applied_count = 0;
};

} // namespace standin
