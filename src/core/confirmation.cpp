#include "bronzeplank/confirmation.hpp"

#include <algorithm>
#include <functional>
#include <optional>

namespace bronzeplank {

namespace {

std::optional<confirmation_verdict> decide(const log_position& position,
                                           const replication_view& view, std::uint64_t confirmed) {
    if (position.term > view.term) {
        return std::nullopt;
    }
    if (position.term == view.term) {
        return position.offset <= confirmed ? std::optional(confirmation_verdict::confirmed)
                                            : std::nullopt;
    }
    const auto oldest = std::min_element(view.terms.begin(), view.terms.end());
    if (oldest == view.terms.end() || position.term < oldest->term) {
        // The view's terms start after the position's term.
        return std::nullopt;
    }
    const replay_state history{view.offset, view.terms};
    return covers(history, position) == coverage::lost ? confirmation_verdict::superseded
                                                       : confirmation_verdict::confirmed;
}

} // namespace

std::uint64_t confirmed_offset(const replication_view& view, std::size_t instances) {
    // A higher term in the fencing token means that a promotion is replacing this primary.
    if (view.fencing_term > view.term) {
        return 0;
    }
    const std::size_t needed = majority_of(instances) - 1;
    std::vector<std::uint64_t> flushed;
    for (const auto& replica : view.replicas) {
        // Only replicas that were attached under this term count.
        if (replica.fencing_term == view.term) {
            flushed.push_back(std::min(replica.flushed, view.offset));
        }
    }
    if (needed == 0) {
        return view.offset;
    }
    if (flushed.size() < needed) {
        return 0;
    }
    std::sort(flushed.begin(), flushed.end(), std::greater<>());
    return flushed[needed - 1];
}

std::uint64_t confirmation_tracker::add(const log_position& position, time_point now) {
    m_waiting[m_next_ticket] = {position, now};
    return m_next_ticket++;
}

std::vector<confirmation> confirmation_tracker::apply(const replication_view& view) {
    const std::uint64_t confirmed = confirmed_offset(view, m_instances);
    if (view.term > m_term) {
        m_term = view.term;
        m_term_record_end = view.offset;
    }
    if (confirmed == 0 || view.term < m_term) {
        return {};
    }
    std::vector<confirmation> decided;
    for (const auto& [ticket, waiting] : m_waiting) {
        // Positions of an earlier term stay undecided until a majority has this term's record:
        // before, a further promotion could still choose a log without that record. The first view
        // of a term lies past the end of that term's record.
        if (waiting.position.term < view.term && confirmed < m_term_record_end) {
            continue;
        }
        if (const auto verdict = decide(waiting.position, view, confirmed)) {
            decided.push_back({ticket, *verdict});
        }
    }
    for (const auto& item : decided) {
        m_waiting.erase(item.ticket);
    }
    return decided;
}

bool confirmation_tracker::stalled(time_point now, duration limit) const {
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [&](const auto& item) { return now - item.second.since > limit; });
}

} // namespace bronzeplank
