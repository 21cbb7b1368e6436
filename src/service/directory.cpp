#include "service/directory.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>

namespace bronzeplank {

namespace {

// A lost poll looks like one that waits, and hides changes for this long and the poll's margin.
constexpr std::chrono::seconds changes_wait{5};
constexpr std::chrono::milliseconds retry_delay{200};
const char* const watched_kinds = "configuration,group,key";

} // namespace

directory::directory(kernel& services, const settings& host, platform_client& platform)
    : m_loop(services.loop()), m_host(host), m_platform(platform) {
    services.add(std::string(service_name), *this);
}

void directory::start() {
    spawn(watch_platform());
}

void directory::stop() {
    m_stopped = true;
    for (const auto& [name, group] : m_groups) {
        group->stop();
    }
}

task<void> directory::watch_platform() {
    std::uint64_t revision = 0;
    bool listed = false;
    while (!m_stopped) {
        // The first call after a start or an outage lists everything: the platform may have been
        // restored to an older state. The objects' versions decide what is applied.
        const std::uint64_t since = listed ? revision : 0;
        const duration wait = listed ? duration(changes_wait) : duration(0);
        const platform_changes changes = co_await m_platform.changes(since, watched_kinds, wait);
        listed = changes.status == platform_status::ok;
        set_platform_reachable(listed);
        if (!listed) {
            co_await sleep_for(m_loop, retry_delay);
            continue;
        }
        revision = changes.revision;
        for (const auto& object : changes.objects) {
            apply_object(object);
        }
    }
}

void directory::set_platform_reachable(bool reachable) {
    if (reachable == m_platform_reachable) {
        return;
    }
    m_platform_reachable = reachable;
    log(reachable ? log_event::platform_reachable : log_event::platform_unreachable,
        {{"platform", m_host.platform.to_text()}});
}

void directory::apply_object(const platform_object& object) {
    try {
        if (object.kind == "configuration" && object.name == "current") {
            offer_configuration(object.value);
        } else if (object.kind == "group") {
            offer_record(object.name, {object.version, read_group_record(object.value)});
        } else if (object.kind == "key") {
            apply_key(object);
        }
    } catch (const input_error& error) {
        log(log_event::configuration_refused,
            {{"object", object.kind + "/" + object.name}, {"reason", error.what()}});
    }
}

void directory::apply_key(const platform_object& object) {
    const rapidjson::Document document = internal::parse_json(object.value);
    auto fields = internal::json_node(document, "").object();
    const std::string workspace = fields.required("workspace").name();
    const bool withdrawn = fields.required("state").one_of({"given", "withdrawn"}) == 1;
    if (withdrawn) {
        withdraw_key({object.name});
    } else {
        assign_key({object.name}, workspace);
    }
}

void directory::assign_key(const key_digest& digest, const std::string& workspace) {
    m_keys.assign(digest, workspace);
}

bool directory::withdraw_key(const key_digest& digest) {
    const bool newly_withdrawn = m_keys.withdraw(digest);
    if (newly_withdrawn) {
        log(log_event::key_withdrawn, {{"digest", digest.hex.substr(0, 12)}});
    }
    return newly_withdrawn;
}

bool directory::offer_configuration(const std::string& text) {
    try {
        const configuration offered = read_configuration(text);
        if (offered.version <= m_configuration.version) {
            return false;
        }
        m_configuration = offered;
        m_configuration_text = text;
    } catch (const input_error& error) {
        log(log_event::configuration_refused, {{"reason", error.what()}});
        return false;
    }
    apply_groups();
    log(log_event::configuration_in_force, {{"version", std::to_string(m_configuration.version)}});
    return true;
}

void directory::apply_groups() {
    // A group is recreated if its instances changed in more than their service state.
    const auto same_instances = [](database_group left, database_group right) {
        for (auto* group : {&left, &right}) {
            for (auto& item : group->upstreams) {
                item.state = service_state::active;
            }
        }
        return left == right;
    };
    for (auto item = m_groups.begin(); item != m_groups.end();) {
        const database_group* wanted = m_configuration.find_group(item->first);
        if (wanted != nullptr && same_instances(*wanted, item->second->configured())) {
            ++item;
            continue;
        }
        item->second->stop();
        item = m_groups.erase(item);
    }
    for (const auto& wanted : m_configuration.groups) {
        auto& group = m_groups[wanted.name];
        if (group == nullptr) {
            group = std::make_shared<upstream_group>(m_loop, m_host, wanted,
                                                     m_configuration.host_seats);
            group->start();
            group->apply_record(m_records[wanted.name]);
        }
        group->apply_configuration(m_configuration);
    }
}

void directory::offer_record(const std::string& group, const versioned_record& record) {
    versioned_record& known = m_records[group];
    if (record.record.term >= known.record.term &&
        record.record.ready_term >= known.record.ready_term) {
        known = record;
    }
    if (const auto found = find_group(group)) {
        found->apply_record(record);
    }
}

std::shared_ptr<upstream_group> directory::find_group(const std::string& name) const {
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : found->second;
}

} // namespace bronzeplank
