#include "database.hpp"

#include <memory>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sodium.h>

namespace standin {

namespace {

constexpr std::uint64_t log_entry_overhead_bytes = 32;

using statement_handle = std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)>;

// Removes `FOR UPDATE`, which SQLite does not accept. Casts with `::` are not accepted either; they
// are left as they are.
std::string to_sqlite_syntax(std::string text) {
    for (const std::string suffix : {" FOR UPDATE", " for update"}) {
        const auto at = text.find(suffix);
        if (at != std::string::npos) {
            text.erase(at, suffix.size());
        }
    }
    return text;
}

std::string sqlstate_for(int extended_code) {
    switch (extended_code) {
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_ROWID:
        return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
        return "23502";
    case SQLITE_CONSTRAINT_CHECK:
        return "23514";
    default:
        return extended_code == SQLITE_ERROR ? "42601" : "XX000";
    }
}

statement_handle prepare(sqlite3* handle, const std::string& text) {
    sqlite3_stmt* raw = nullptr;
    if (sqlite3_prepare_v2(handle, to_sqlite_syntax(text).c_str(), -1, &raw, nullptr) !=
        SQLITE_OK) {
        throw statement_error("42601", sqlite3_errmsg(handle));
    }
    return {raw, &sqlite3_finalize};
}

// Binds a decimal number of at most 17 characters as an integer: PostgreSQL infers the type of a
// parameter, whereas SQLite would compare and store the number as text.
void bind_value(sqlite3_stmt* statement, int index, const std::optional<std::string>& value) {
    if (!value) {
        sqlite3_bind_null(statement, index);
        return;
    }
    const bool digits =
        !value->empty() && value->size() < 18 &&
        value->find_first_not_of("0123456789", (*value)[0] == '-' ? 1 : 0) == std::string::npos &&
        *value != "-";
    if (digits) {
        sqlite3_bind_int64(statement, index, std::stoll(*value));
        return;
    }
    sqlite3_bind_text(statement, index, value->data(), static_cast<int>(value->size()),
                      SQLITE_TRANSIENT);
}

std::vector<std::optional<std::string>> read_row(sqlite3_stmt* statement) {
    std::vector<std::optional<std::string>> row;
    for (int i = 0; i < sqlite3_column_count(statement); ++i) {
        if (sqlite3_column_type(statement, i) == SQLITE_NULL) {
            row.emplace_back();
            continue;
        }
        const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement, i));
        row.emplace_back(std::string(bytes, sqlite3_column_bytes(statement, i)));
    }
    return row;
}

std::string command_tag_for(const std::string& text, std::size_t rows, int changes) {
    const auto start = text.find_first_not_of(" \t\r\n");
    std::string keyword = start == std::string::npos
                              ? ""
                              : text.substr(start, text.find_first_of(" \t\r\n(", start) - start);
    for (auto& letter : keyword) {
        letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    if (keyword == "SELECT" || keyword == "WITH" || keyword == "VALUES") {
        return "SELECT " + std::to_string(rows);
    }
    if (keyword == "INSERT") {
        return "INSERT 0 " + std::to_string(changes);
    }
    if (keyword == "UPDATE" || keyword == "DELETE") {
        return keyword + " " + std::to_string(changes);
    }
    return keyword;
}

std::uint64_t log_entry_bytes(const std::vector<logged_statement>& statements) {
    std::uint64_t bytes = log_entry_overhead_bytes;
    for (const auto& statement : statements) {
        bytes += statement.text.size();
    }
    return bytes;
}

} // namespace

std::string encode_entry(const log_entry& entry) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartArray();
    writer.Uint64(entry.end_position);
    writer.Uint64(entry.id);
    for (const auto& statement : entry.statements) {
        writer.StartArray();
        writer.String(statement.text.data(), statement.text.size());
        for (const auto& value : statement.values) {
            if (value) {
                writer.String(value->data(), value->size());
            } else {
                writer.Null();
            }
        }
        writer.EndArray();
    }
    writer.EndArray();
    return {buffer.GetString(), buffer.GetSize()};
}

log_entry decode_entry(const std::string& text) {
    rapidjson::Document document;
    document.Parse(text.data(), text.size());
    log_entry entry{document[0].GetUint64(), document[1].GetUint64(), {}};
    for (rapidjson::SizeType i = 2; i < document.Size(); ++i) {
        const auto& item = document[i];
        logged_statement statement{{item[0].GetString(), item[0].GetStringLength()}, {}};
        for (rapidjson::SizeType j = 1; j < item.Size(); ++j) {
            if (item[j].IsNull()) {
                statement.values.emplace_back();
            } else {
                statement.values.emplace_back(
                    std::string(item[j].GetString(), item[j].GetStringLength()));
            }
        }
        entry.statements.push_back(std::move(statement));
    }
    return entry;
}

database::database() {
    open_sqlite();
}

database::~database() {
    sqlite3_close(m_sqlite);
}

void database::open_sqlite() {
    if (sqlite3_open(":memory:", &m_sqlite) != SQLITE_OK) {
        throw std::runtime_error("SQLite could not open an in-memory database");
    }
    sqlite3_extended_result_codes(m_sqlite, 1);
}

void database::execute_unlogged(const char* text) {
    char* message = nullptr;
    if (sqlite3_exec(m_sqlite, text, nullptr, nullptr, &message) != SQLITE_OK) {
        const std::string copy = message == nullptr ? "" : message;
        sqlite3_free(message);
        throw statement_error("XX000", copy);
    }
}

bool database::is_read_only(const std::string& text) const {
    return sqlite3_stmt_readonly(prepare(m_sqlite, text).get()) != 0;
}

std::vector<std::string> database::result_columns(const std::string& text) const {
    const auto statement = prepare(m_sqlite, text);
    std::vector<std::string> columns;
    for (int i = 0; i < sqlite3_column_count(statement.get()); ++i) {
        columns.emplace_back(sqlite3_column_name(statement.get(), i));
    }
    return columns;
}

statement_result database::execute(const std::string& text, const parameters& values) {
    const auto statement = prepare(m_sqlite, text);
    const int expected = sqlite3_bind_parameter_count(statement.get());
    if (expected != static_cast<int>(values.size())) {
        throw statement_error("08P01", "the statement takes " + std::to_string(expected) +
                                           " parameters, found " + std::to_string(values.size()));
    }
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string name = "$" + std::to_string(i + 1);
        const int index = sqlite3_bind_parameter_index(statement.get(), name.c_str());
        bind_value(statement.get(), index == 0 ? static_cast<int>(i + 1) : index, values[i]);
    }
    statement_result result;
    for (int i = 0; i < sqlite3_column_count(statement.get()); ++i) {
        result.table.columns.emplace_back(sqlite3_column_name(statement.get(), i));
    }
    int code = sqlite3_step(statement.get());
    while (code == SQLITE_ROW) {
        result.table.rows.push_back(read_row(statement.get()));
        code = sqlite3_step(statement.get());
    }
    if (code != SQLITE_DONE) {
        throw statement_error(sqlstate_for(sqlite3_extended_errcode(m_sqlite)),
                              sqlite3_errmsg(m_sqlite));
    }
    result.tag = command_tag_for(text, result.table.rows.size(), sqlite3_changes(m_sqlite));
    if (sqlite3_stmt_readonly(statement.get()) == 0 && m_in_transaction) {
        m_uncommitted_changes.push_back({text, values});
    }
    return result;
}

void database::begin() {
    execute_unlogged("BEGIN");
    m_in_transaction = true;
    m_uncommitted_changes.clear();
}

void database::commit() {
    execute_unlogged("COMMIT");
    m_in_transaction = false;
    if (m_uncommitted_changes.empty()) {
        return;
    }
    log_entry entry;
    randombytes_buf(&entry.id, sizeof entry.id);
    entry.end_position = received_position() + log_entry_bytes(m_uncommitted_changes);
    entry.statements = std::move(m_uncommitted_changes);
    m_uncommitted_changes.clear();
    m_log.push_back(std::move(entry));
    m_applied_count = m_log.size();
}

void database::rollback() {
    execute_unlogged("ROLLBACK");
    m_in_transaction = false;
    m_uncommitted_changes.clear();
}

void database::append_received(log_entry entry) {
    m_log.push_back(std::move(entry));
}

bool database::apply_next() {
    if (m_applied_count == m_log.size()) {
        return false;
    }
    execute_unlogged("BEGIN");
    for (const auto& statement : m_log[m_applied_count].statements) {
        execute(statement.text, statement.values);
    }
    execute_unlogged("COMMIT");
    ++m_applied_count;
    return true;
}

void database::reset() {
    sqlite3_close(m_sqlite);
    open_sqlite();
    m_in_transaction = false;
    m_uncommitted_changes.clear();
    m_log.clear();
    m_applied_count = 0;
}

} // namespace standin
