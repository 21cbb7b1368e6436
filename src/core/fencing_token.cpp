#include "bronzeplank/fencing_token.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <sstream>
#include <vector>

namespace bronzeplank {

namespace {

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream fields(text);
    for (std::string part; std::getline(fields, part, ':');) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace

fencing_token parse_fencing_token(std::string_view conninfo) {
    const std::string_view key = "application_name=";
    const auto at = conninfo.find(key);
    const std::string_view name =
        at == std::string_view::npos ? conninfo : conninfo.substr(at + key.size());
    const auto parts = split(std::string(name.substr(0, name.find(' '))));
    fencing_token token;
    token.term = parts.size() > 1 ? parse_number(parts[1]) : 0;
    if (parts.size() > 3) {
        token.pending_term = parse_number(parts[2]);
        token.pending_end = parse_offset(parts[3]).value_or(0);
    }
    return token;
}

std::string format_fencing_token(std::string_view upstream, const fencing_token& token) {
    const std::string pending =
        fmt::format(":{}:{}", token.pending_term, format_offset(token.pending_end));
    return fmt::format("{}:{}{}", upstream, token.term, token.pending_term == 0 ? "" : pending);
}

std::uint64_t end_of_earlier_terms(const fencing_token& token, const log_position& last) {
    const bool recorded = last.term >= token.pending_term;
    return recorded ? last.offset : std::min(last.offset, token.pending_end);
}

fencing_token token_after_detach(const fencing_token& before, std::uint64_t last_term,
                                 std::uint64_t term) {
    if (last_term >= before.pending_term) {
        return {term, 0, 0};
    }
    return {term, before.pending_term, before.pending_end};
}

fencing_token token_with_pending_term(const fencing_token& before, std::uint64_t last_term,
                                      std::uint64_t term, std::uint64_t start) {
    // Keep a lower pending end: the data past it stays in the log until the instance is rewound.
    const bool recorded = last_term >= before.pending_term;
    return {term, term, recorded ? start : std::min(before.pending_end, start)};
}

// Between the start of a term and the term's record, the log holds internal records of the
// promotion. With the primary's own start in its token, a replica that loses its primary between
// the two would report them as data of an earlier term.
std::uint64_t end_of_recorded_terms(const std::vector<term_start>& terms, std::uint64_t last_term,
                                    std::uint64_t start) {
    for (const auto& item : terms) {
        if (item.term > last_term) {
            start = std::min(start, item.offset);
        }
    }
    return start;
}

} // namespace bronzeplank
