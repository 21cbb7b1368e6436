#include "bronzeplank/entry_history.hpp"

namespace bronzeplank {

// Start times are not compared for order, since a clock may have been set back between two starts.
bool entry_history::is_outdated(const upstream_instance& entry) const {
    const auto found = m_latest.find(entry.id);
    if (found == m_latest.end() || entry.born_ms == 0 || entry.sequence == 0) {
        return false;
    }
    const latest_entry& latest = found->second;
    return entry.born_ms == latest.born_ms ? entry.sequence < latest.sequence
                                           : entry.born_ms == latest.previous_born_ms;
}

void entry_history::record(const upstream_instance& entry) {
    latest_entry& latest = m_latest[entry.id];
    if (latest.born_ms != 0 && latest.born_ms != entry.born_ms) {
        latest.previous_born_ms = latest.born_ms;
    }
    latest.born_ms = entry.born_ms;
    latest.sequence = entry.sequence;
    m_unlisted.erase(entry.id);
}

void entry_history::prune(time_point now) {
    std::erase_if(m_unlisted, [&](const auto& unlisted) {
        const bool expired = now - unlisted.second > retention;
        if (expired) {
            m_latest.erase(unlisted.first);
        }
        return expired;
    });
}

} // namespace bronzeplank
