#include "bronzeplank/primary_tracker.hpp"

#include <algorithm>
#include <array>

namespace bronzeplank {

std::string_view to_string(primary_evidence evidence) {
    static constexpr std::array<std::string_view, 4> names{"listed", "peer", "promotion", "status"};
    return names.at(static_cast<std::size_t>(evidence));
}

bool confirms_leadership(const replication_status& replica, const known_primary& primary) {
    return primary.term != 0 && replica.role == replication_role::replica &&
           replica.term <= primary.term && replica.paused_by <= primary.term;
}

// One instance leads a term. What it has reported outweighs what others expect or believe, and
// another host's belief may be older than what this host has recorded.
bool primary_tracker::is_contradicted(const std::string& instance, const led_term& led) const {
    return std::any_of(m_terms.begin(), m_terms.end(), [&](const auto& entry) {
        const auto& [other, known] = entry;
        return other != instance && known.term == led.term &&
               (led.evidence == primary_evidence::peer || known.evidence > led.evidence);
    });
}

void primary_tracker::record(const std::string& instance, const led_term& led) {
    m_newest = std::max(m_newest, led.term);
    if (is_contradicted(instance, led)) {
        return;
    }
    std::erase_if(m_terms, [&](const auto& entry) {
        return entry.first != instance && entry.second.term == led.term;
    });
    led_term& known = m_terms[instance];
    if (led.term > known.term) {
        known = led;
    } else if (led.term == known.term) {
        known.evidence = std::max(known.evidence, led.evidence);
    }
    m_replica_terms.erase(instance);
}

void primary_tracker::record_primary(const std::string& instance, std::uint64_t term,
                                     primary_evidence evidence) {
    record(instance, {term, evidence});
}

void primary_tracker::record_hearsay(const std::string& instance, std::uint64_t term) {
    const auto replica = m_replica_terms.find(instance);
    if (replica == m_replica_terms.end() || replica->second < term) {
        record(instance, {term, primary_evidence::peer});
    }
}

primary_evidence primary_tracker::evidence_for(const std::string& instance) const {
    const auto found = m_terms.find(instance);
    return found == m_terms.end() ? primary_evidence::listed : found->second.evidence;
}

void primary_tracker::record_replica(const std::string& instance, std::uint64_t term) {
    m_newest = std::max(m_newest, term);
    std::uint64_t& replica_term = m_replica_terms[instance];
    replica_term = std::max(replica_term, term);
    const auto found = m_terms.find(instance);
    if (found != m_terms.end() && found->second.term <= term) {
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
        const std::uint64_t term = known == m_terms.end() ? 0 : known->second.term;
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
