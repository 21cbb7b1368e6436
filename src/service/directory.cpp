#include "service/directory.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "runtime/log.hpp"

#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::seconds watch_wait{20};
constexpr std::chrono::milliseconds retry_pause{200};
const char* const followed_kinds = "configuration,group,key";

} // namespace

directory::directory(kernel& services, const settings& host, platform_client& platform)
    : m_loop(services.loop()), m_host(host), m_platform(platform) {
    services.add(std::string(service_name), *this);
}

void directory::start() {
    spawn(follow());
}

void directory::stop() {
    m_stopped = true;
    for (const auto& [name, group] : m_groups) {
        group->stop();
    }
}

task<void> directory::follow() {
    std::uint64_t revision = 0;
    bool listed = false;
    while (!m_stopped) {
        // The first call after a start or an outage lists everything: the platform may have gone
        // back to an older state, and versions decide what is taken over.
        const std::uint64_t since = listed ? revision : 0;
        const duration wait = listed ? duration(watch_wait) : duration(0);
        const platform_changes changes = co_await m_platform.changes(since, followed_kinds, wait);
        listed = changes.status == platform_status::ok;
        note_platform(listed);
        if (!listed) {
            co_await sleep_for(m_loop, retry_pause);
            continue;
        }
        revision = changes.revision;
        for (const auto& object : changes.objects) {
            apply_object(object);
        }
    }
}

void directory::note_platform(bool reachable) {
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
        give_key({object.name}, workspace);
    }
}

void directory::give_key(const key_digest& digest, const std::string& workspace) {
    m_keys.assign(digest, workspace);
}

bool directory::withdraw_key(const key_digest& digest) {
    const bool fresh = m_keys.withdraw(digest);
    if (fresh) {
        log(log_event::key_withdrawn, {{"digest", digest.hex.substr(0, 12)}});
    }
    return fresh;
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
    // A group whose instances changed in more than their state is built anew.
    const auto same = [](database_group left, database_group right) {
        for (auto* group : {&left, &right}) {
            for (auto& item : group->upstreams) {
                item.state = service_state::active;
            }
        }
        return left == right;
    };
    for (auto item = m_groups.begin(); item != m_groups.end();) {
        const database_group* wanted = m_configuration.find_group(item->first);
        if (wanted != nullptr && same(*wanted, item->second->configured())) {
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
