#include "session/session_service.hpp"

#include "bronzeplank/read_placement.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

// A quarter of the shortest staleness that routes usually allow.
constexpr std::chrono::milliseconds sample_period{350};
// Groups that nobody reads from need no samples.
constexpr std::chrono::seconds sampled_after_use{3};
constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::seconds limited_told_every{1};
// A thousand million transactions fit between two neighbouring incarnations.
constexpr unsigned transaction_shift = 30;
// The acknowledgement of a withdrawal is older than its arrival here.
constexpr std::chrono::milliseconds withdrawal_slack{1000};
// Callers of open databases have no workspace of their own.
constexpr std::string_view open_workspace = "open";

} // namespace

session_service::session_service(event_loop& loop, fleet_directory& directory,
                                 upstream_router& router, fleet& peers, withdrawal_bounds bounds)
    : m_loop(loop), m_directory(directory), m_router(router), m_fleet(peers), m_bounds(bounds),
      // A gateway may still hold transactions of an earlier start of this host.
      m_last_transaction(static_cast<std::uint64_t>(peers.incarnation()) << transaction_shift) {
    tick();
}

const database_route& session_service::route_of(const std::string& database) const {
    if (!m_directory.configuration()) {
        throw request_error(error_kind::platform_unavailable, "no configuration has been read yet");
    }
    const database_route* route = m_directory.route(database);
    if (route == nullptr) {
        throw request_error(error_kind::not_found, "no route serves this database");
    }
    return *route;
}

std::string session_service::authenticate(const database_route& route,
                                          const std::string& credential) const {
    if (const auto owner = m_directory.owner_of(credential)) {
        return *owner;
    }
    if (route.allows_anonymous) {
        return std::string(open_workspace);
    }
    throw request_error(error_kind::unauthenticated, "the key is not known");
}

bool session_service::admit(const std::string& workspace) {
    const auto& policies = m_directory.configuration()->workspaces;
    const auto policy = policies.find(workspace);
    if (policy == policies.end()) {
        return true;
    }
    const bool admitted = m_shares[workspace].admit(
        event_loop::now(), policy->second.rate_per_second, policy->second.burst);
    if (!admitted) {
        ++m_limited[workspace];
    }
    return admitted;
}

// One line for all of them: a workspace over its rate may be refused hundreds of times a second.
void session_service::tell_limited(time_point now) {
    if (now - m_limited_told < limited_told_every) {
        return;
    }
    m_limited_told = now;
    std::string told;
    for (const auto& [workspace, count] : m_limited) {
        told += fmt::format("{}{}:{}", told.empty() ? "" : " ", workspace, count);
    }
    m_limited.clear();
    if (!told.empty()) {
        log(log_event::workspaces_limited, {{"workspaces", told}});
    }
}

std::map<std::string, double> session_service::demands() const {
    const time_point now = event_loop::now();
    std::map<std::string, double> found;
    for (const auto& [workspace, share] : m_shares) {
        found[workspace] = share.demand(now);
    }
    return found;
}

std::optional<statement_target>
session_service::place_read(const database_route& route, const std::optional<log_position>& written,
                            const std::set<std::string>& avoided) {
    want_samples(route.group);
    const time_point now = event_loop::now();
    const auto needed = m_groups[route.group].window.needed(now, route.max_staleness);
    if (!needed) {
        return place_at_primary(route, true);
    }
    const auto primary = m_directory.primary(route.group);
    std::vector<placement_candidate> candidates;
    for (const auto& [id, instance] : m_directory.members(route.group)) {
        if (avoided.contains(id)) {
            continue;
        }
        const bool is_primary = primary && primary->instance == id;
        const lane_state state = m_router.state_of(instance);
        const bool usable =
            m_directory.takes_work(instance) || (is_primary && may_use_primary(instance));
        if (usable && state.reachable) {
            candidates.push_back({id, is_primary,
                                  instance.failure_domain == m_router.failure_domain(), state.wait,
                                  m_outstanding[id], instance.slots, state.failing});
        }
    }
    const auto chosen = bronzeplank::place_read(candidates, {});
    if (!chosen) {
        return std::nullopt;
    }
    const upstream_instance* instance = m_directory.instance(*chosen);
    return statement_target{*chosen, m_router.gateway_of(*instance),
                            written ? std::max(*written, *needed) : *needed, false};
}

bool session_service::may_use_primary(const upstream_instance& instance) const {
    if (m_directory.takes_work(instance)) {
        return true;
    }
    const auto since = m_leaving_since.find(instance.id);
    if (since == m_leaving_since.end()) {
        return true;
    }
    const bool withdrawn = m_directory.withdrawn_domains().contains(instance.failure_domain);
    const duration bound = withdrawn ? m_bounds.withdrawn_domain : m_bounds.leaving_instance;
    return event_loop::now() - since->second < bound - withdrawal_slack;
}

std::optional<statement_target> session_service::place_at_primary(const database_route& route,
                                                                  bool strict) {
    const auto primary = m_directory.primary(route.group);
    const upstream_instance* instance = primary ? m_directory.instance(primary->instance) : nullptr;
    if (instance == nullptr || !may_use_primary(*instance)) {
        return std::nullopt;
    }
    return statement_target{instance->id, m_router.gateway_of(*instance), std::nullopt, strict};
}

void session_service::run(const statement_target& target, const upstream_work& work,
                          answer_handler answered) {
    ++m_outstanding[target.instance];
    m_router.run(target.gateway, work,
                 [this, instance = target.instance,
                  answered = std::move(answered)](const statement_answer& answer) {
                     --m_outstanding[instance];
                     answered(answer);
                 });
}

void session_service::end_transaction(const statement_target& target, const transaction_key& key) {
    m_router.end_transaction(target.gateway, target.instance, key);
}

transaction_key session_service::new_transaction() {
    return {m_router.host(), ++m_last_transaction};
}

void session_service::want_samples(const std::string& group) {
    group_state& state = m_groups[group];
    state.wanted = event_loop::now();
    if (!state.window.newest()) {
        take_sample(group);
    }
}

void session_service::take_sample(const std::string& group) {
    group_state& state = m_groups[group];
    if (state.sampling) {
        return;
    }
    const time_point asked = event_loop::now();
    state.sampling = true;
    state.sampled = asked;
    m_router.sample(group, [this, group, asked](const std::optional<log_position>& position) {
        group_state& sampled = m_groups[group];
        sampled.sampling = false;
        if (position) {
            sampled.window.add(asked, *position);
        }
    });
}

void session_service::forget_samples() {
    for (auto& [group, state] : m_groups) {
        state.window.clear();
    }
}

void session_service::tick() {
    const time_point now = event_loop::now();
    tell_limited(now);
    for (auto& [group, state] : m_groups) {
        const bool due = now - state.sampled >= sample_period;
        if (due && now - state.wanted < sampled_after_use) {
            take_sample(group);
        }
    }
    const auto peers = m_fleet.live(now);
    std::map<std::string_view, double> demands;
    for (const fleet_peer* peer : peers) {
        for (const auto& [workspace, per_second] : peer->demands) {
            demands[workspace] += per_second;
        }
    }
    const std::size_t known_hosts = m_fleet.known_hosts(now);
    for (auto& [workspace, share] : m_shares) {
        const auto others = demands.find(workspace);
        share.set_peer_demand(others == demands.end() ? 0 : others->second, peers.size() + 1,
                              known_hosts);
    }
    for (const auto& [id, instance] : m_directory.instances()) {
        if (m_directory.takes_work(instance)) {
            m_leaving_since.erase(id);
        } else {
            m_leaving_since.emplace(id, now);
        }
    }
    m_tick = m_loop.after(tick_period, [this] { tick(); });
}

} // namespace bronzeplank
