/// \file
/// Framing of the PostgreSQL wire protocol (version 3), for the server side.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

/// A message: its type byte (0 for a startup packet) and its body.
struct wire_message {
    char type = 0;
    std::string body;
};

/// Splits a byte stream into messages. A message with an invalid length yields one of type 'X'
/// (Terminate), and the buffered bytes are dropped.
///
///     reader.append(bytes);
///     for (auto message = reader.next(); message; message = reader.next()) { ... }
class wire_reader {
public:
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /// Returns the next complete message, or nothing if more bytes are needed.
    std::optional<wire_message> next();

    /// Expects a type byte before each message from now on; a startup packet has none.
    void finish_startup() { m_startup = false; }

private:
    std::string m_buffer;
    bool m_startup = true;
};

/// Reads the fields of a message body in order; reading past the end yields 0 or an empty string.
///
///     body_reader reader(message.body);
///     const std::int32_t version = reader.int32();
class body_reader {
public:
    explicit body_reader(std::string_view body) : m_rest(body) {}
    std::int32_t int32();
    std::int16_t int16();
    /// Reads a string that ends with a zero byte.
    std::string text();
    std::string bytes(std::size_t count);

private:
    std::string_view m_rest;
};

/// Builds a message: integers are big-endian, strings end with a zero byte.
///
///     send(message_builder('S').text("client_encoding").text("UTF8").finish());
class message_builder {
public:
    explicit message_builder(char type) : m_type(type) {}
    message_builder& int32(std::int32_t value);
    message_builder& int16(std::int16_t value);
    message_builder& text(std::string_view value);
    message_builder& bytes(std::string_view value);
    std::string finish() const;

private:
    char m_type;
    std::string m_body;
};

/// A result set in text format; a field without a value is NULL.
struct result_table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
};

/// Messages of the server, each complete with type byte and length.
std::string row_description(const result_table& table);
std::string data_rows(const result_table& table);
std::string command_complete(std::string_view tag);
std::string ready_for_query(char state);
std::string error_response(std::string_view sqlstate, std::string_view message);

} // namespace standin
