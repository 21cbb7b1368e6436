#include "bronzeplank/caller_request.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "bronzeplank/key_ring.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::array allowed_first_words{"SELECT", "INSERT", "UPDATE", "DELETE", "WITH", "VALUES"};
constexpr long long max_header_milliseconds = 86'400'000;

std::string upper(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return result;
}

std::string first_word(std::string_view statement) {
    const auto start = statement.find_first_not_of(" \t\r\n(");
    if (start == std::string_view::npos) {
        return "";
    }
    const auto end = statement.find_first_of(" \t\r\n(;", start);
    return upper(statement.substr(start, end == std::string_view::npos ? end : end - start));
}

// Connections are shared between callers: no statement may change a connection's settings or role,
// end its transaction, or access the internal tables that make requests idempotent.
void check_statement(std::string_view statement) {
    const std::string word = first_word(statement);
    if (std::find(allowed_first_words.begin(), allowed_first_words.end(), word) ==
        allowed_first_words.end()) {
        throw request_error(error_kind::forbidden,
                            fmt::format("at /statement: expected one of {}, found \"{}\"",
                                        fmt::join(allowed_first_words, ", "), word));
    }
    const std::string all = upper(statement);
    for (const std::string_view name :
         {"SET_CONFIG", "BRONZEPLANK_", "PG_TERMINATE_", "PG_PROMOTE", "PG_ADVISORY_", "PG_RELOAD_",
          "PG_TRY_ADVISORY_", "STANDIN_"}) {
        if (all.find(name) != std::string::npos) {
            throw request_error(error_kind::forbidden,
                                fmt::format("at /statement: {} may not be used here", name));
        }
    }
}

std::optional<std::string> read_parameter(const internal::json_node& node) {
    const auto& value = node.value();
    if (value.IsNull()) {
        return std::nullopt;
    }
    if (value.IsString()) {
        return node.text();
    }
    if (value.IsBool() || value.IsNumber()) {
        return internal::to_text(value);
    }
    node.fail("a string, a number, true, false or null");
}

} // namespace

bool is_read(std::string_view statement) {
    const std::string word = first_word(statement);
    return word == "SELECT" || word == "VALUES";
}

caller_query read_query(std::string_view body, bool with_group) {
    try {
        const rapidjson::Document document = internal::parse_json(body);
        auto object = internal::json_node(document, "").object();
        caller_query query;
        if (with_group) {
            query.group = object.required("database").name();
        }
        query.statement.text = object.required("statement").text();
        if (const auto parameters = object.optional("parameters")) {
            for (const auto& node : parameters->array()) {
                query.statement.parameters.push_back(read_parameter(node));
            }
        }
        object.finish();
        check_statement(query.statement.text);
        return query;
    } catch (const input_error& error) {
        throw request_error(error_kind::malformed_request, error.what());
    }
}

std::string fingerprint_of(const caller_query& query) {
    // Each part is preceded by its length, so that different queries never encode to the same text.
    std::string text;
    const auto add = [&text](const std::string& part) {
        text += fmt::format("{}:{}", part.size(), part);
    };
    add(query.group);
    add(query.statement.text);
    for (const auto& parameter : query.statement.parameters) {
        text += parameter ? "v" : "n";
        add(parameter.value_or(""));
    }
    return digest_of(text).hex;
}

std::optional<duration> read_milliseconds(std::string_view text, std::string_view header) {
    if (text.empty()) {
        return std::nullopt;
    }
    long long value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!complete || value < 0 || value > max_header_milliseconds) {
        throw request_error(error_kind::malformed_request,
                            fmt::format("{}: expected milliseconds from 0 to {}, found \"{}\"",
                                        header, max_header_milliseconds, text));
    }
    return std::chrono::milliseconds(value);
}

} // namespace bronzeplank
