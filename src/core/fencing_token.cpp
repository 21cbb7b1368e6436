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
    fencing_token stamp;
    stamp.term = parts.size() > 1 ? parse_number(parts[1]) : 0;
    if (parts.size() > 3) {
        stamp.pending_term = parse_number(parts[2]);
        stamp.pending_end = parse_offset(parts[3]).value_or(0);
    }
    return stamp;
}

std::string format_fencing_token(std::string_view upstream, const fencing_token& stamp) {
    const std::string pending =
        fmt::format(":{}:{}", stamp.pending_term, format_offset(stamp.pending_end));
    return fmt::format("{}:{}{}", upstream, stamp.term, stamp.pending_term == 0 ? "" : pending);
}

std::uint64_t end_of_earlier_terms(const fencing_token& stamp, const log_position& last) {
    const bool recorded = last.term >= stamp.pending_term;
    return recorded ? last.offset : std::min(last.offset, stamp.pending_end);
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
    // A lower end that was pending before stays: what lies behind it is there until a rewind.
    const bool recorded = last_term >= before.pending_term;
    return {term, term, recorded ? start : std::min(before.pending_end, start)};
}

// Behind the start of a term lies what its promotion wrote by itself, before the term's record. A
// replica that falls off its primary between the two would take that for data of an older term.
std::uint64_t end_of_recorded_terms(const std::vector<term_start>& terms, std::uint64_t last_term,
                                    std::uint64_t start) {
    for (const auto& known : terms) {
        if (known.term > last_term) {
            start = std::min(start, known.offset);
        }
    }
    return start;
}

} // namespace bronzeplank
