#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace bronzeplank::internal {

namespace {

constexpr std::size_t max_value_characters = 60;
constexpr std::size_t max_name_characters = 63;

std::string abbreviated(const rapidjson::Value& value) {
    std::string text = to_text(value);
    if (text.size() > max_value_characters) {
        text = text.substr(0, max_value_characters) + "...";
    }
    return text;
}

// Forwards what the parser reads to a document and ends the parsing beyond `max_json_depth`: the
// library's parser and writer are recursive.
class depth_limiter {
public:
    explicit depth_limiter(rapidjson::Document& target) : m_target(target) {}

    bool exceeded() const { return m_depth > max_json_depth; }

    // The names are those that the library calls.
    // NOLINTBEGIN(readability-identifier-naming)
    bool Null() { return m_target.Null(); }
    bool Bool(bool value) { return m_target.Bool(value); }
    bool Int(int value) { return m_target.Int(value); }
    bool Uint(unsigned value) { return m_target.Uint(value); }
    bool Int64(std::int64_t value) { return m_target.Int64(value); }
    bool Uint64(std::uint64_t value) { return m_target.Uint64(value); }
    bool Double(double value) { return m_target.Double(value); }
    bool RawNumber(const char* text, rapidjson::SizeType length, bool copy) {
        return m_target.RawNumber(text, length, copy);
    }
    bool String(const char* text, rapidjson::SizeType length, bool copy) {
        return m_target.String(text, length, copy);
    }
    bool Key(const char* text, rapidjson::SizeType length, bool copy) {
        return m_target.Key(text, length, copy);
    }
    bool StartObject() { return ++m_depth <= max_json_depth && m_target.StartObject(); }
    bool EndObject(rapidjson::SizeType members) {
        --m_depth;
        return m_target.EndObject(members);
    }
    bool StartArray() { return ++m_depth <= max_json_depth && m_target.StartArray(); }
    bool EndArray(rapidjson::SizeType elements) {
        --m_depth;
        return m_target.EndArray(elements);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    rapidjson::Document& m_target;
    std::size_t m_depth = 0;
};

/// What the parser found; an error has an offset.
struct parse_outcome {
    rapidjson::ParseResult result;
    bool too_deep = false;
};

template <unsigned Flags>
parse_outcome parse(std::string_view text, rapidjson::Document& document) {
    parse_outcome outcome;
    const auto fill = [&](rapidjson::Document& target) {
        rapidjson::MemoryStream bytes(text.data(), text.size());
        rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
        depth_limiter limiter(target);
        rapidjson::Reader reader;
        outcome.result = reader.Parse<Flags>(stream, limiter);
        outcome.too_deep = limiter.exceeded();
        return !outcome.result.IsError();
    };
    document.Populate(fill);
    return outcome;
}

bool is_name_character(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
}

} // namespace

void json_node::fail(const std::string& expected) const {
    throw input_error(m_path, expected, abbreviated(*m_value));
}

void json_node::fail(const std::string& expected, const std::string& found) const {
    throw input_error(m_path, expected, found);
}

std::string json_node::text() const {
    if (!m_value->IsString()) {
        fail("a string");
    }
    return {m_value->GetString(), m_value->GetStringLength()};
}

std::string json_node::name() const {
    const std::string value = text();
    const bool valid = !value.empty() && value.size() <= max_name_characters;
    if (!valid || !std::all_of(value.begin(), value.end(), is_name_character)) {
        fail("a name of lower-case letters, digits and hyphens, up to 63 characters");
    }
    return value;
}

std::size_t json_node::one_of(const std::vector<std::string>& words) const {
    const auto found =
        m_value->IsString() ? std::find(words.begin(), words.end(), text()) : words.end();
    if (found == words.end()) {
        fail(fmt::format("one of {}", fmt::join(words, ", ")));
    }
    return static_cast<std::size_t>(found - words.begin());
}

std::int64_t json_node::integer(std::int64_t minimum, std::int64_t maximum) const {
    const bool valid =
        m_value->IsInt64() && m_value->GetInt64() >= minimum && m_value->GetInt64() <= maximum;
    if (!valid) {
        fail(fmt::format("a whole number from {} to {}", minimum, maximum));
    }
    return m_value->GetInt64();
}

double json_node::number(double minimum, double maximum) const {
    const bool valid =
        m_value->IsNumber() && m_value->GetDouble() >= minimum && m_value->GetDouble() <= maximum;
    if (!valid) {
        fail(fmt::format("a number from {} to {}", minimum, maximum));
    }
    return m_value->GetDouble();
}

bool json_node::boolean() const {
    if (!m_value->IsBool()) {
        fail("true or false");
    }
    return m_value->GetBool();
}

std::vector<json_node> json_node::array() const {
    if (!m_value->IsArray()) {
        fail("an array");
    }
    std::vector<json_node> items;
    for (rapidjson::SizeType i = 0; i < m_value->Size(); ++i) {
        items.emplace_back((*m_value)[i], fmt::format("{}/{}", m_path, i));
    }
    return items;
}

json_object json_node::object() const {
    if (!m_value->IsObject()) {
        fail("an object");
    }
    return json_object(*this);
}

json_node json_object::required(const std::string& name) {
    m_expected_fields.push_back(name);
    const auto& value = m_node.value();
    const auto found = value.FindMember(name.c_str());
    if (found == value.MemberEnd()) {
        m_node.fail(fmt::format("a field \"{}\"", name), "none");
    }
    return {found->value, m_node.path() + "/" + name};
}

std::unique_ptr<json_node> json_object::optional(const std::string& name) {
    m_expected_fields.push_back(name);
    const auto& value = m_node.value();
    const auto found = value.FindMember(name.c_str());
    if (found == value.MemberEnd()) {
        return nullptr;
    }
    return std::make_unique<json_node>(found->value, m_node.path() + "/" + name);
}

std::int64_t json_object::integer_or(const std::string& name, std::int64_t fallback,
                                     std::int64_t minimum, std::int64_t maximum) {
    const auto node = optional(name);
    return node ? node->integer(minimum, maximum) : fallback;
}

std::string json_object::text_or(const std::string& name, const std::string& fallback) {
    const auto node = optional(name);
    return node ? node->text() : fallback;
}

bool json_object::boolean_or(const std::string& name, bool fallback) {
    const auto node = optional(name);
    return node ? node->boolean() : fallback;
}

void json_object::finish() const {
    for (const auto& member : m_node.value().GetObject()) {
        const std::string name = member.name.GetString();
        if (std::find(m_expected_fields.begin(), m_expected_fields.end(), name) ==
            m_expected_fields.end()) {
            throw input_error(
                m_node.path() + "/" + name,
                fmt::format("one of the fields {}", fmt::join(m_expected_fields, ", ")),
                fmt::format("the unknown field \"{}\"", name));
        }
    }
}

rapidjson::Document parse_json(std::string_view text) {
    constexpr unsigned flags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag |
                               rapidjson::kParseFullPrecisionFlag;
    rapidjson::Document document;
    const parse_outcome outcome = parse<flags>(text, document);
    if (outcome.result.IsError()) {
        const std::string_view before = text.substr(0, outcome.result.Offset());
        const auto line = std::count(before.begin(), before.end(), '\n') + 1;
        const auto newline = before.rfind('\n');
        const auto column =
            before.size() - (newline == std::string_view::npos ? 0 : newline + 1) + 1;
        const std::string reason =
            outcome.too_deep
                ? fmt::format("arrays and objects are nested deeper than {} levels", max_json_depth)
                : rapidjson::GetParseError_En(outcome.result.Code());
        throw input_error("", "JSON",
                          fmt::format("an error in line {}, column {}: {}", line, column, reason));
    }
    return document;
}

bool parse_plain_json(std::string_view text, rapidjson::Document& document) {
    return !parse<rapidjson::kParseValidateEncodingFlag>(text, document).result.IsError();
}

std::string to_text(const rapidjson::Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::string quoted(std::string_view text) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace bronzeplank::internal
