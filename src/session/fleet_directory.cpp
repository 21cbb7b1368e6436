#include "session/fleet_directory.hpp"

#include "runtime/log.hpp"

namespace bronzeplank {

void fleet_directory::accept(std::shared_ptr<const fleet_configuration> configuration) {
    if (m_configuration && configuration->version <= m_configuration->version) {
        return;
    }
    m_configuration = std::move(configuration);
    log(log_event::configuration_in_force,
        {{"version", std::to_string(m_configuration->version)},
         {"routes", std::to_string(m_configuration->routes.size())},
         {"keys", std::to_string(m_configuration->workspace_by_key.size())}});
}

void fleet_directory::apply_instance_list(upstream_list listed, time_point now) {
    for (const auto& [id, known] : upstream_list(m_instances)) {
        if (!listed.contains(id)) {
            remove_instance(id, now);
        }
    }
    for (const auto& [id, instance] : listed) {
        upsert_instance(instance);
    }
}

void fleet_directory::upsert_instance(const upstream_instance& instance) {
    m_missing.erase(instance.id);
    if (m_entries.is_outdated(instance)) {
        log(log_event::entry_outdated,
            {{"instance", instance.id}, {"sequence", std::to_string(instance.sequence)}});
        return;
    }
    m_entries.record(instance);
    upstream_instance& known = m_instances[instance.id];
    known.sequence = instance.sequence;
    if (known == instance) {
        return;
    }
    const bool restarted = known.born_ms != 0 && known.born_ms != instance.born_ms;
    // A restarted process is no longer the primary of any term that it was the primary of before.
    if ((known.says_primary && !instance.says_primary) || restarted) {
        primary_tracker& group = m_primary_trackers[instance.group];
        group.record_replica(instance.id, group.newest_term());
    }
    if (!known.group.empty() && known.group != instance.group) {
        m_members[known.group].erase(instance.id);
    }
    known = instance;
    m_members[instance.group][instance.id] = instance;
    log(log_event::upstream_listed, {{"instance", instance.id},
                                     {"group", instance.group},
                                     {"address", instance.address.to_text()},
                                     {"leaving", instance.leaving ? "true" : "false"},
                                     {"says_primary", instance.says_primary ? "true" : "false"}});
}

void fleet_directory::remove_instance(const std::string& id, time_point now) {
    if (!m_instances.contains(id)) {
        return;
    }
    m_missing.insert(id);
    remove_expired(now);
}

bool fleet_directory::remove_expired(time_point now) {
    if (now < m_expiry_grace_ends) {
        return false;
    }
    const bool any_missing = !m_missing.empty();
    for (const auto& id : m_missing) {
        log(log_event::upstream_gone, {{"instance", id}});
        erase_instance(id);
        m_entries.record_unlisted(id, now);
    }
    m_missing.clear();
    m_entries.prune(now);
    return any_missing;
}

void fleet_directory::erase_instance(const std::string& id) {
    const auto found = m_instances.find(id);
    if (found != m_instances.end()) {
        m_members[found->second.group].erase(id);
        m_instances.erase(found);
    }
}

const upstream_list& fleet_directory::members(const std::string& group) const {
    static const upstream_list none;
    const auto found = m_members.find(group);
    return found == m_members.end() ? none : found->second;
}

const upstream_instance* fleet_directory::instance(const std::string& id) const {
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

bool fleet_directory::accepts_work(const upstream_instance& instance) const {
    return !instance.leaving && !m_withdrawn_domains.contains(instance.failure_domain);
}

std::optional<known_primary> fleet_directory::primary(const std::string& group) {
    return m_primary_trackers[group].current(members(group), group);
}

std::optional<std::string> fleet_directory::workspace_for_key(const std::string& credential) const {
    if (!m_configuration) {
        return std::nullopt;
    }
    const auto found = m_configuration->workspace_by_key.find(credential);
    return found == m_configuration->workspace_by_key.end() ? std::nullopt
                                                            : std::optional(found->second);
}

const database_route* fleet_directory::route(const std::string& database) const {
    if (!m_configuration) {
        return nullptr;
    }
    const auto found = m_configuration->routes.find(database);
    return found == m_configuration->routes.end() ? nullptr : &found->second;
}

} // namespace bronzeplank
