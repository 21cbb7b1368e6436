/// \file
/// Random changes of valid inputs, for tests that look for inputs which end the program.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// Changes a valid input at random: bytes, numbers, pieces that are cut, doubled or swapped.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : m_random(seed) {}

    std::string mutate(std::string text) {
        const int changes = 1 + pick(4);
        for (int i = 0; i < changes; ++i) {
            change(text);
        }
        return text;
    }

private:
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }

    void change(std::string& text) {
        static const std::vector<std::string> pieces{
            "null",     "-1",     "1e400", "18446744073709551616",
            "[]",       "{}",     "\"\"",  "\"\\u0000\"",
            "[[[[",     "true",   " ",     "\r\n",
            "\xff\xfe", "0.5",    ":",     ",",
            "}",        "{\"a\":"};
        const auto size = static_cast<int>(text.size());
        const auto at = static_cast<std::size_t>(pick(size + 1));
        const auto length = static_cast<std::size_t>(pick(12));
        switch (pick(5)) {
        case 0:
            if (size > 0) {
                text[at % text.size()] = static_cast<char>(pick(256));
            }
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.replace(at, length,
                         pieces[static_cast<std::size_t>(pick(static_cast<int>(pieces.size())))]);
            break;
        default:
            text.resize(at);
        }
    }

    std::mt19937_64 m_random;
};

} // namespace bronzeplank::model
