#include "bronzeplank/log_position.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

std::optional<std::uint64_t> parse_hexadecimal(std::string_view text) {
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return whole && value <= 0xffffffffU ? std::optional(value) : std::nullopt;
}

} // namespace

log_position lowest_after(const log_position& end) {
    return {end.term, end.offset + 1};
}

std::optional<std::uint64_t> parse_offset(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto high = parse_hexadecimal(text.substr(0, slash));
    const auto low = parse_hexadecimal(text.substr(slash + 1));
    if (!high || !low) {
        return std::nullopt;
    }
    return (*high << 32U) | *low;
}

std::string format_offset(std::uint64_t offset) {
    return fmt::format("{:X}/{:X}", offset >> 32U, offset & 0xffffffffU);
}

std::uint64_t replay_state::last_term() const {
    const auto last = std::max_element(terms.begin(), terms.end());
    return last == terms.end() ? 0 : last->term;
}

coverage covers(const replay_state& instance, const log_position& session) {
    if (session == log_position{}) {
        return coverage::covered;
    }
    if (session.term > instance.last_term()) {
        return coverage::behind;
    }
    const term_start* next_term = nullptr;
    bool known = false;
    for (const auto& start : instance.terms) {
        known = known || start.term == session.term;
        const bool later = start.term > session.term;
        if (later && (next_term == nullptr || start.term < next_term->term)) {
            next_term = &start;
        }
    }
    // A majority never had the record of a term that is missing here: later terms started from
    // another log, and offsets in that term's log do not apply to this one.
    if (!known) {
        return coverage::lost;
    }
    if (next_term == nullptr) {
        return instance.offset >= session.offset ? coverage::covered : coverage::behind;
    }
    // The next term's log has the old term's records only up to its own start.
    return session.offset <= next_term->offset ? coverage::covered : coverage::lost;
}

} // namespace bronzeplank
