#include "session/session_service.hpp"

#include "bronzeplank/heartbeat_interval.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

// A quarter of the shortest staleness limit that routes usually have.
constexpr std::chrono::milliseconds position_refresh_interval{350};
// Groups without recent reads need no verified positions.
constexpr std::chrono::seconds refresh_after_last_read{3};
constexpr std::chrono::milliseconds tick_interval{100};
constexpr std::chrono::seconds rate_limited_log_interval{1};
// Leaves room for 2^30 (about one billion) transactions between two consecutive incarnations.
constexpr unsigned incarnation_shift = 30;
// The platform acknowledges a withdrawal, which starts the time limit, before this host is notified
// of it.
constexpr std::chrono::milliseconds withdrawal_safety_margin{1000};
// A change that this host learns of this soon after an outage may have happened during the outage.
constexpr std::chrono::milliseconds catch_up_time{1000};
// The workspace of callers without a known key, on routes that allow anonymous callers.
constexpr std::string_view anonymous_workspace = "open";
// The share of its reads that a replica gets which lagged when it was last heard, so that few reads
// are refused if it still does.
constexpr double lagging_retry_weight = 0.1;

std::vector<peer_usage> reported_usage(const std::vector<const fleet_peer*>& peers,
                                       const std::string& workspace) {
    std::vector<peer_usage> reported;
    for (const fleet_peer* peer : peers) {
        if (!peer->usage_reported) {
            continue;
        }
        const auto used = peer->usage.find(workspace);
        if (used == peer->usage.end()) {
            reported.push_back({peer->host, 0, std::nullopt});
        } else {
            reported.push_back({peer->host, used->second.demand, used->second.admitted});
        }
    }
    return reported;
}

} // namespace

session_service::session_service(event_loop& loop, fleet_directory& directory,
                                 upstream_router& router, fleet& peers, withdrawal_bounds bounds)
    : m_loop(loop), m_directory(directory), m_router(router), m_fleet(peers), m_bounds(bounds),
      // A gateway may still hold transactions of an earlier incarnation of this host.
      m_last_number(static_cast<std::uint64_t>(peers.incarnation()) << incarnation_shift) {
    last_heard = [this](const std::string& gateway) { return m_router.last_heard(gateway); };
    tick();
}

const database_route& session_service::route_of(const std::string& database) const {
    if (!m_directory.configuration()) {
        throw request_error(error_kind::platform_unavailable, "no configuration has been read yet");
    }
    const database_route* route = m_directory.route(database);
    if (route == nullptr) {
        throw request_error(error_kind::not_found, "no route is configured for this database");
    }
    return *route;
}

std::string session_service::authenticate(const database_route& route,
                                          const std::string& credential) const {
    if (const auto owner = m_directory.workspace_for_key(credential)) {
        return *owner;
    }
    if (route.allows_anonymous) {
        return std::string(anonymous_workspace);
    }
    throw request_error(error_kind::unauthenticated, "the API key is unknown");
}

bool session_service::admit(const std::string& workspace) {
    const auto& policies = m_directory.configuration()->workspaces;
    const auto policy = policies.find(workspace);
    if (policy == policies.end()) {
        return true;
    }
    const time_point now = event_loop::now();
    const auto [share, is_new] = m_shares.try_emplace(workspace);
    if (is_new) {
        // Without knowledge of the other hosts it would take the whole burst for its own.
        share->second.exchange(now, reported_usage(m_fleet.live_peers(now), workspace),
                               m_fleet.presumed_host_count(now));
    }
    const bool admitted =
        share->second.admit(now, policy->second.rate_per_second, policy->second.burst);
    if (!admitted) {
        ++m_rate_limited[workspace];
    }
    return admitted;
}

// Logs one line for all workspaces, since a workspace over its rate limit may be refused hundreds
// of times per second.
void session_service::log_rate_limited(time_point now) {
    if (now - m_rate_limited_logged_at < rate_limited_log_interval) {
        return;
    }
    m_rate_limited_logged_at = now;
    std::string summary;
    for (const auto& [workspace, count] : m_rate_limited) {
        summary += fmt::format("{}{}:{}", summary.empty() ? "" : " ", workspace, count);
    }
    m_rate_limited.clear();
    if (!summary.empty()) {
        log(log_event::workspaces_limited, {{"workspaces", summary}});
    }
}

std::map<std::string, workspace_usage> session_service::usage() const {
    const time_point now = event_loop::now();
    std::map<std::string, workspace_usage> found;
    for (const auto& [workspace, share] : m_shares) {
        found[workspace] = {share.demand(now), share.admitted()};
    }
    return found;
}

void session_service::exchange_usage(time_point now) {
    if (now - m_usage_exchanged_at < m_fleet.usage_report_interval()) {
        return;
    }
    m_usage_exchanged_at = now;
    const auto peers = m_fleet.live_peers(now);
    const std::size_t presumed_hosts = m_fleet.presumed_host_count(now);
    for (auto& [workspace, share] : m_shares) {
        share.exchange(now, reported_usage(peers, workspace), presumed_hosts);
    }
}

std::optional<statement_target>
session_service::place_read(const database_route& route, const std::optional<log_position>& written,
                            const std::set<std::string>& excluded) {
    record_read(route.group);
    const time_point now = event_loop::now();
    const auto needed = m_groups[route.group].window.needed(now, route.max_staleness);
    if (!needed) {
        return place_at_primary(route, true);
    }
    const auto primary = m_directory.primary(route.group);
    const auto candidates = read_candidates(route.group, excluded, primary);
    const log_position position =
        attainable_position(route.group, written ? std::max(*written, *needed) : *needed);
    const bool samples = m_fleet.live_host_count(now) > hosts_at_min_interval;
    const auto chosen = samples ? place_by_reports(candidates, route, position, now)
                                : bronzeplank::place_read(candidates, {});
    if (!chosen) {
        return std::nullopt;
    }
    count_placement(candidates, *chosen);
    const upstream_instance* instance = m_directory.instance(*chosen);
    return statement_target{*chosen, m_router.gateway_of(*instance), position, false,
                            route.database};
}

// The highest position that a read may have to wait for. The log with which a term began has all
// acknowledged commits of earlier terms; a position above its end may be that of an entry that the
// failover discarded, and no instance has it until the new primary commits.
log_position session_service::attainable_position(const std::string& group,
                                                  const log_position& needed) {
    const auto primary = m_directory.primary(group);
    if (!primary || primary->term <= needed.term) {
        return needed;
    }
    const auto first = m_directory.primary_tracker_for(group).first_position(*primary);
    return first ? std::min(needed, *first) : needed;
}

std::vector<placement_candidate>
session_service::read_candidates(const std::string& group, const std::set<std::string>& excluded,
                                 const std::optional<known_primary>& primary) {
    std::vector<placement_candidate> candidates;
    const std::string_view own_region = region_of(m_router.failure_domain());
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (excluded.contains(id)) {
            continue;
        }
        const bool is_primary = primary && primary->instance == id;
        const pool_status state = m_router.status_of(instance);
        const bool usable =
            m_directory.accepts_work(instance) || (is_primary && may_use_primary(instance));
        if (usable && state.reachable) {
            placement_candidate candidate{id,
                                          is_primary,
                                          instance.failure_domain == m_router.failure_domain(),
                                          state.wait,
                                          m_unanswered[id].count(),
                                          instance.slots,
                                          state.failure_rate};
            candidate.same_region = region_of(instance.failure_domain) == own_region;
            candidates.push_back(std::move(candidate));
        }
    }
    return candidates;
}

std::string_view session_service::region_of(const std::string& failure_domain) const {
    const auto found = m_regions.find(failure_domain);
    return found == m_regions.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<std::string>
session_service::place_by_reports(std::vector<placement_candidate> candidates,
                                  const database_route& route, const log_position& needed,
                                  time_point now) {
    for (auto& candidate : candidates) {
        add_report(candidate, *m_directory.instance(candidate.instance), needed, now);
    }
    apply_ejections(candidates, route.group, now);
    const bool any_lacks =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const auto& candidate) { return candidate.lacks_position; });
    m_placed.with_lagging_left_out += any_lacks ? 1 : 0;
    placement_costs costs = sampled_placement_costs();
    costs.work_time = m_work_times.mean(route.database, statement_kind::read);
    return place_sampled_read(candidates, costs, m_random());
}

void session_service::add_report(placement_candidate& candidate, const upstream_instance& instance,
                                 const log_position& needed, time_point now) {
    const unanswered_work& unanswered = m_unanswered[candidate.instance];
    candidate.own_work = unanswered.sent_since(time_point{});
    const received_load* known = m_loads.find(candidate.instance, now);
    if (known == nullptr) {
        candidate.own_work_since_report = candidate.own_work;
        return;
    }
    // The wait that heartbeats carry may be as old as their interval; an answer's is newer at
    // first.
    const bool own_pool = m_router.gateway_of(instance) == m_router.host();
    if (!own_pool && now - known->received_at < max_heartbeat_interval) {
        candidate.reported_wait = known->wait_at(now, candidate.slots);
    }
    // The wait of this host's own pool is current and contains all its work.
    candidate.own_work_since_report =
        own_pool ? duration(0) : unanswered.sent_since(known->received_at);
    candidate.work_time = known->report.work_time;
    // The primary has every position that can be needed.
    if (candidate.is_primary || !known->report.position) {
        return;
    }
    const log_expectation expected = m_progress[instance.group].expectation(
        *known->report.position, known->position_at(), needed, now);
    candidate.lacks_position = expected == log_expectation::lacking;
    if (expected == log_expectation::was_lacking) {
        candidate.weight *= lagging_retry_weight;
    }
}

void session_service::apply_ejections(std::vector<placement_candidate>& candidates,
                                      const std::string& group, time_point now) {
    std::map<std::string, double> failure_rates;
    for (const auto& candidate : candidates) {
        if (!candidate.is_primary) {
            failure_rates[candidate.instance] = candidate.failure_rate;
        }
    }
    ejection& ejected = m_ejections[group];
    ejected.observe(failure_rates, m_directory.members(group).size(), now);
    for (auto& candidate : candidates) {
        if (!candidate.is_primary) {
            candidate.weight *= ejected.weight(candidate.instance, now);
        }
    }
}

std::size_t session_service::ejected_count() const {
    const time_point now = event_loop::now();
    std::size_t count = 0;
    for (const auto& [group, ejected] : m_ejections) {
        count += ejected.ejected_count(now);
    }
    return count;
}

void session_service::count_placement(const std::vector<placement_candidate>& candidates,
                                      const std::string& chosen) {
    for (const auto& candidate : candidates) {
        if (candidate.instance == chosen) {
            ++(candidate.is_primary ? m_placed.at_primaries : m_placed.at_replicas);
            m_placed.in_other_domains += candidate.same_domain ? 0 : 1;
        }
    }
}

bool session_service::may_use_primary(const upstream_instance& instance) const {
    if (m_directory.accepts_work(instance)) {
        return true;
    }
    const auto since = m_leaving_since.find(instance.id);
    if (since == m_leaving_since.end()) {
        return true;
    }
    const bool withdrawn = m_directory.withdrawn_domains().contains(instance.failure_domain);
    const duration bound = withdrawn ? m_bounds.withdrawn_domain : m_bounds.leaving_instance;
    return event_loop::now() - since->second < bound - withdrawal_safety_margin;
}

std::optional<statement_target> session_service::place_at_primary(const database_route& route,
                                                                  bool strict) {
    const auto primary = m_directory.primary(route.group);
    const upstream_instance* instance = primary ? m_directory.instance(primary->instance) : nullptr;
    if (instance == nullptr || !may_use_primary(*instance)) {
        return std::nullopt;
    }
    return statement_target{instance->id, m_router.gateway_of(*instance), std::nullopt, strict,
                            route.database};
}

void session_service::run(const statement_target& target, const upstream_work& work,
                          answer_handler on_answer) {
    const std::uint64_t id = m_unanswered[target.instance].add(
        event_loop::now(), m_work_times.mean(target.database, work.request.kind));
    m_router.run(target.gateway, work,
                 [this, target, id, group = work.group, kind = work.request.kind,
                  read_only = work.read_only_work, sent_at = event_loop::now(),
                  on_answer = std::move(on_answer)](const statement_answer& answer) {
                     m_unanswered[target.instance].remove(id);
                     record_answer(target, group, kind, read_only, answer);
                     if (answer.result == upstream_result::done) {
                         m_answer_times[target.gateway].record(event_loop::now() - sent_at);
                     }
                     on_answer(answer);
                 });
}

void session_service::record_answer(const statement_target& target, const std::string& group,
                                    statement_kind kind, bool read_only,
                                    const statement_answer& answer) {
    const time_point now = event_loop::now();
    if (answer.load) {
        m_loads.record(target.instance, *answer.load, now);
    }
    if (answer.run_time > duration(0)) {
        m_work_times.record(target.database, kind, answer.run_time);
    }
    // An instance that has committed changes led then, and may follow a newer primary by now: in
    // both cases, the group's primary has reached the end of its log.
    if (!read_only && answer.result == upstream_result::done && answer.position != log_position{}) {
        m_progress[group].record_primary(now, answer.position);
    }
}

void session_service::drop_work(const statement_target& target, const work_key& key) {
    m_router.drop_work(target.gateway, target.instance, key);
}

// A workspace with a higher rate limit is entitled to more work.
double session_service::weight_of(const std::string& workspace) const {
    const auto& policies = m_directory.configuration()->workspaces;
    const auto policy = policies.find(workspace);
    const bool limited = policy != policies.end() && policy->second.rate_per_second > 0;
    return limited ? policy->second.rate_per_second : 1;
}

duration session_service::usual_silence(const std::string& gateway) const {
    const auto measured = m_answer_times.find(gateway);
    return (measured == m_answer_times.end() ? answer_time{} : measured->second).unusual_after();
}

void session_service::end_transaction(const statement_target& target, const transaction_key& key) {
    m_router.end_transaction(target.gateway, target.instance, key);
}

transaction_key session_service::new_transaction() {
    return {m_router.host(), ++m_last_number};
}

void session_service::record_read(const std::string& group) {
    group_state& state = m_groups[group];
    state.last_read_at = event_loop::now();
    if (!state.window.newest()) {
        request_verified_position(group);
    }
}

void session_service::request_verified_position(const std::string& group) {
    group_state& state = m_groups[group];
    if (state.request_pending) {
        return;
    }
    const time_point requested_at = event_loop::now();
    state.request_pending = true;
    state.last_requested_at = requested_at;
    m_router.request_verified_position(
        group, [this, group, requested_at](const std::optional<log_position>& position) {
            group_state& current = m_groups[group];
            current.request_pending = false;
            if (position) {
                current.window.add(requested_at, *position);
                m_progress[group].record_primary(event_loop::now(), *position);
            }
        });
}

void session_service::clear_verified_positions() {
    for (auto& [group, state] : m_groups) {
        state.window.clear();
    }
}

void session_service::tick() {
    const time_point now = event_loop::now();
    log_rate_limited(now);
    for (auto& [group, state] : m_groups) {
        const bool due = now - state.last_requested_at >= position_refresh_interval;
        if (due && now - state.last_read_at < refresh_after_last_read) {
            request_verified_position(group);
        }
    }
    exchange_usage(now);
    for (const auto& [id, instance] : m_directory.instances()) {
        if (m_directory.accepts_work(instance)) {
            m_leaving_since.erase(id);
        } else {
            // After an outage, an instance may have been leaving for longer than this host knows.
            const bool may_be_old = now - m_directory.caught_up_at() < catch_up_time;
            m_leaving_since.emplace(id, may_be_old ? now - m_bounds.leaving_instance : now);
        }
    }
    m_tick = m_loop.after(tick_interval, [this] { tick(); });
}

} // namespace bronzeplank
