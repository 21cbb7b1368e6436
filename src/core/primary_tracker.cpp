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
    m_replica_terms.erase(instance);
}

void primary_tracker::record_hearsay(const std::string& instance, std::uint64_t term) {
    const auto replica = m_replica_terms.find(instance);
    if (replica == m_replica_terms.end() || replica->second < term) {
        record_primary(instance, term);
    }
}

void primary_tracker::record_replica(const std::string& instance, std::uint64_t term) {
    m_newest = std::max(m_newest, term);
    std::uint64_t& replica_term = m_replica_terms[instance];
    replica_term = std::max(replica_term, term);
    const auto found = m_terms.find(instance);
    if (found != m_terms.end() && found->second <= term) {
        m_terms.erase(found);
    }
}

void primary_tracker::record_beginning(const term_beginning& beginning) {
    m_beginnings.emplace(beginning.primary.term, beginning);
    if (m_beginnings.size() > kept_beginnings) {
        m_beginnings.erase(m_beginnings.begin());
    }
}

std::optional<log_position> primary_tracker::first_position(const known_primary& primary) const {
    const auto found = m_beginnings.find(primary.term);
    const bool known = found != m_beginnings.end() && found->second.primary == primary;
    return known ? std::optional(found->second.first_position) : std::nullopt;
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
