#include "bronzeplank/established_replicas.hpp"

namespace bronzeplank {

void established_replicas::update(const std::map<std::string, std::int64_t>& listed,
                                  time_point now) {
    for (auto& [id, known] : m_instances) {
        known.listed = listed.contains(id);
    }
    for (const auto& [id, born_ms] : listed) {
        const auto [entry, added] = m_instances.try_emplace(id);
        known_instance& known = entry->second;
        // A process that has started again no longer knows that it was paused.
        if (added) {
            known = {born_ms, now, now, !m_updated, true, {}};
        } else if (known.born_ms != born_ms) {
            known = {born_ms, known.first_listed, now, false, true, {}};
        }
    }
    m_updated = m_updated || !listed.empty();
    for (auto& [id, known] : m_instances) {
        if (!known.established && known.listed && now - known.listed_since >= probation) {
            known.established = older_ones_answer(id, now);
        }
    }
}

void established_replicas::record_answer(const std::string& instance, time_point requested_at) {
    if (const auto found = m_instances.find(instance); found != m_instances.end()) {
        found->second.last_answer_requested_at = requested_at;
    }
}

bool established_replicas::answered_recently(const known_instance& known, time_point now) const {
    return known.last_answer_requested_at != time_point{} &&
           now - known.last_answer_requested_at <= contact_window;
}

// At least half of the instances that this host has known for as long answer, apart from the
// primary: this host has not been alone with the instance since it started.
bool established_replicas::older_ones_answer(const std::string& instance, time_point now) const {
    const time_point first_listed = m_instances.at(instance).first_listed;
    int older = 0;
    int answering = 0;
    for (const auto& [id, known] : m_instances) {
        if (id != instance && known.listed && known.first_listed <= first_listed) {
            ++older;
            answering += answered_recently(known, now) ? 1 : 0;
        }
    }
    const int older_replicas = older - 1;
    return older_replicas <= 0 || (answering > 0 && 2 * answering >= older_replicas);
}

bool established_replicas::is_established(const std::string& instance) const {
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && found->second.established;
}

bool established_replicas::may_be_asked(const std::string& instance, time_point now) const {
    const auto found = m_instances.find(instance);
    return found != m_instances.end() &&
           (found->second.established || now - found->second.listed_since >= probation);
}

bool established_replicas::in_contact(const std::string& primary, time_point now) const {
    for (const auto& [id, known] : m_instances) {
        if (id != primary && known.established && answered_recently(known, now)) {
            return true;
        }
    }
    return false;
}

} // namespace bronzeplank
