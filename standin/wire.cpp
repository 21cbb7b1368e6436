#include "wire.hpp"

namespace standin {

namespace {

constexpr std::size_t max_message_bytes = 16U << 20U;
constexpr std::int32_t text_type_oid = 25;

std::uint32_t read_uint32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return value;
}

void append_big_endian(std::string& out, std::uint32_t value, int bytes) {
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

} // namespace

std::optional<wire_message> wire_reader::next() {
    const std::size_t header = m_startup ? 4 : 5;
    if (m_buffer.size() < header) {
        return std::nullopt;
    }
    const std::size_t length = read_uint32(std::string_view(m_buffer).substr(header - 4));
    const std::size_t total = length + header - 4;
    if (length < 4 || length > max_message_bytes) {
        m_buffer.clear();
        return wire_message{'X', ""};
    }
    if (m_buffer.size() < total) {
        return std::nullopt;
    }
    wire_message message{m_startup ? '\0' : m_buffer[0], m_buffer.substr(header, total - header)};
    m_buffer.erase(0, total);
    return message;
}

std::int32_t body_reader::int32() {
    const std::string field = bytes(4);
    return field.size() == 4 ? static_cast<std::int32_t>(read_uint32(field)) : 0;
}

std::int16_t body_reader::int16() {
    const std::string field = bytes(2);
    if (field.size() != 2) {
        return 0;
    }
    const auto high = static_cast<unsigned char>(field[0]);
    const auto low = static_cast<unsigned char>(field[1]);
    return static_cast<std::int16_t>((static_cast<unsigned>(high) << 8U) | low);
}

std::string body_reader::text() {
    const std::size_t end = m_rest.find('\0');
    const std::string value(m_rest.substr(0, end));
    m_rest = end == std::string_view::npos ? std::string_view() : m_rest.substr(end + 1);
    return value;
}

std::string body_reader::bytes(std::size_t count) {
    const std::string value(m_rest.substr(0, count));
    m_rest.remove_prefix(value.size());
    return value;
}

message_builder& message_builder::int32(std::int32_t value) {
    append_big_endian(m_body, static_cast<std::uint32_t>(value), 4);
    return *this;
}

message_builder& message_builder::int16(std::int16_t value) {
    append_big_endian(m_body, static_cast<std::uint16_t>(value), 2);
    return *this;
}

message_builder& message_builder::text(std::string_view value) {
    m_body.append(value);
    m_body.push_back('\0');
    return *this;
}

message_builder& message_builder::bytes(std::string_view value) {
    m_body.append(value);
    return *this;
}

std::string message_builder::finish() const {
    std::string out(1, m_type);
    append_big_endian(out, static_cast<std::uint32_t>(m_body.size() + 4), 4);
    out.append(m_body);
    return out;
}

std::string row_description(const result_table& table) {
    message_builder message('T');
    message.int16(static_cast<std::int16_t>(table.columns.size()));
    for (const auto& column : table.columns) {
        message.text(column).int32(0).int16(0).int32(text_type_oid).int16(-1).int32(-1).int16(0);
    }
    return message.finish();
}

std::string data_rows(const result_table& table) {
    std::string out;
    for (const auto& row : table.rows) {
        message_builder message('D');
        message.int16(static_cast<std::int16_t>(row.size()));
        for (const auto& field : row) {
            if (!field) {
                message.int32(-1);
                continue;
            }
            message.int32(static_cast<std::int32_t>(field->size())).bytes(*field);
        }
        out += message.finish();
    }
    return out;
}

std::string command_complete(std::string_view tag) {
    return message_builder('C').text(tag).finish();
}

std::string ready_for_query(char state) {
    return message_builder('Z').bytes(std::string_view(&state, 1)).finish();
}

std::string error_response(std::string_view sqlstate, std::string_view message) {
    message_builder builder('E');
    builder.bytes("S").text("ERROR").bytes("V").text("ERROR").bytes("C").text(sqlstate);
    builder.bytes("M").text(message).bytes(std::string_view("\0", 1));
    return builder.finish();
}

} // namespace standin
