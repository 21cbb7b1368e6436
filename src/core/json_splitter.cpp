#include "bronzeplank/internal/json_splitter.hpp"

#include <algorithm>
#include <cstddef>

namespace bronzeplank::internal {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

class json_scanner {
public:
    explicit json_scanner(std::string_view text) : m_text(text) {}

    /// Consumes the character if it is the next one.
    bool take(char expected) {
        skip_whitespace();
        if (m_position >= m_text.size() || m_text[m_position] != expected) {
            return false;
        }
        ++m_position;
        return true;
    }

    bool at_end() {
        skip_whitespace();
        return m_position == m_text.size();
    }

    /// Consumes a string and returns it without its quotes.
    std::string_view take_string() {
        if (!take('"')) {
            return {};
        }
        const std::size_t begin = m_position;
        skip_string();
        return m_text.substr(begin, m_position - begin - 1);
    }

    /// Consumes a value of any type: everything up to the comma or bracket after it.
    std::string_view take_value() {
        skip_whitespace();
        const std::size_t begin = m_position;
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            const char next = m_text[m_position];
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ',')) {
                break;
            }
            ++m_position;
            if (next == '"') {
                skip_string();
            } else if (next == '[' || next == '{') {
                ++depth;
            } else if (closes) {
                --depth;
            }
        }
        return m_text.substr(begin, m_position - begin);
    }

private:
    void skip_whitespace() {
        m_position = std::min(m_text.find_first_not_of(whitespace, m_position), m_text.size());
    }

    // Moves from a string's first character to the one after its closing quote.
    void skip_string() {
        while (m_position < m_text.size() && m_text[m_position] != '"') {
            m_position += m_text[m_position] == '\\' ? 2 : 1;
        }
        m_position = std::min(m_position + 1, m_text.size());
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

// The parts between the brackets, each of them read by `take_part`.
template <class Part, class TakePart>
std::optional<std::vector<Part>> split(std::string_view text, char opening, char closing,
                                       TakePart take_part) {
    std::vector<Part> parts;
    json_scanner scanner(text);
    if (!scanner.take(opening)) {
        return std::nullopt;
    }
    bool closed = scanner.take(closing);
    while (!closed) {
        const std::optional<Part> part = take_part(scanner);
        if (!part) {
            return std::nullopt;
        }
        parts.push_back(*part);
        closed = scanner.take(closing);
        if (!closed && !scanner.take(',')) {
            return std::nullopt;
        }
    }
    return scanner.at_end() ? std::optional(std::move(parts)) : std::nullopt;
}

} // namespace

std::optional<std::vector<json_member>> split_object(std::string_view text) {
    return split<json_member>(text, '{', '}', [](json_scanner& scanner) {
        const std::string_view name = scanner.take_string();
        return scanner.take(':') ? std::optional(json_member{name, scanner.take_value()})
                                 : std::nullopt;
    });
}

std::optional<std::vector<std::string_view>> split_array(std::string_view text) {
    return split<std::string_view>(
        text, '[', ']', [](json_scanner& scanner) { return std::optional(scanner.take_value()); });
}

} // namespace bronzeplank::internal
