#include "bronzeplank/primary_tracker.hpp"

#include <algorithm>

namespace bronzeplank {

bool confirms_leadership(const replication_status& replica, const known_primary& primary) {
    return primary.term != 0 && replica.role == replication_role::replica &&
           replica.term <= primary.term && replica.paused_by <= primary.term;
}

void primary_tracker::record_primary(const std::string& instance, std::uint64_t term) {
    m_newest = std::max(m_newest, term);
    std::uint64_t& known = m_terms[instance];
    known = std::max(known, term);
}

void primary_tracker::record_replica(const std::string& instance, std::uint64_t term) {
    m_newest = std::max(m_newest, term);
    const auto found = m_terms.find(instance);
    if (found != m_terms.end() && found->second <= term) {
        m_terms.erase(found);
    }
}

std::optional<known_primary> primary_tracker::current(const upstream_list& listed,
                                                      const std::string& group) const {
    std::optional<known_primary> best;
    for (const auto& [id, instance] : listed) {
        if (instance.group != group) {
            continue;
        }
        const auto known = m_terms.find(id);
        const std::uint64_t term = known == m_terms.end() ? 0 : known->second;
        if (term == 0 && !instance.says_primary) {
            continue;
        }
        if (!best || term > best->term) {
            best = known_primary{id, term};
        }
    }
    return best;
}

} // namespace bronzeplank
