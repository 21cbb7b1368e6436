/// \file
/// Reads JSON with comments into typed values. Internal to the library's readers of settings,
/// configurations, questionnaires and scenarios.
#pragma once

#include "bronzeplank/error.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <rapidjson/document.h>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank::internal {

class json_object;

/// A value and its path as a JSON pointer. Each accessor checks the type and the range and throws
/// an input_error that names the path, what was expected and what was found.
/// Usage: `const auto port = object.required("port").integer(1, 65535);`
class json_node {
public:
    json_node(const rapidjson::Value& value, std::string path)
        : m_value(&value), m_path(std::move(path)) {}

    std::string text() const;
    /// A name: lower-case letters, digits and hyphens, up to 63 characters.
    std::string name() const;
    /// The index of the value, which must be one of the listed words.
    std::size_t one_of(const std::vector<std::string>& words) const;
    std::int64_t integer(std::int64_t minimum, std::int64_t maximum) const;
    double number(double minimum, double maximum) const;
    bool boolean() const;
    std::vector<json_node> array() const;
    json_object object() const;

    const std::string& path() const { return m_path; }
    const rapidjson::Value& value() const { return *m_value; }
    [[noreturn]] void fail(const std::string& expected) const;
    [[noreturn]] void fail(const std::string& expected, const std::string& found) const;

private:
    const rapidjson::Value* m_value;
    std::string m_path;
};

/// An object whose members are read by name. finish() throws if the object has members that were
/// not read.
class json_object {
public:
    explicit json_object(const json_node& node) : m_node(node) {}

    json_node required(const std::string& name);
    /// The member, or nothing when it is absent.
    std::unique_ptr<json_node> optional(const std::string& name);
    std::int64_t integer_or(const std::string& name, std::int64_t fallback, std::int64_t minimum,
                            std::int64_t maximum);
    std::string text_or(const std::string& name, const std::string& fallback);
    bool boolean_or(const std::string& name, bool fallback);
    void finish() const;

private:
    json_node m_node;
    std::vector<std::string> m_expected_fields;
};

/// The maximum depth of arrays and objects in what is parsed.
constexpr std::size_t max_json_depth = 64;

/// Parses JSON with comments and trailing commas.
/// \throws input_error with line and column when it is not JSON or exceeds `max_json_depth`.
rapidjson::Document parse_json(std::string_view text);

/// Parses JSON without extensions. Returns false if the text is not JSON, exceeds `max_json_depth`,
/// has a number that no double can represent, or is not valid UTF-8.
bool parse_plain_json(std::string_view text, rapidjson::Document& document);

/// Serializes a value on one line.
std::string to_text(const rapidjson::Value& value);

/// Formats a text as a JSON string, with quotes and escapes.
std::string quoted(std::string_view text);

} // namespace bronzeplank::internal
