#include "service/promotion_service.hpp"

#include "bronzeplank/error.hpp"
#include "runtime/log.hpp"
#include "service/instance_commands.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds check_interval{50};
constexpr std::chrono::seconds command_timeout{1};
constexpr std::chrono::seconds promotion_timeout{5};
constexpr std::chrono::milliseconds retry_delay{30};
constexpr std::chrono::milliseconds switchover_delay{500};
constexpr std::chrono::milliseconds attach_delay{500};

std::vector<std::string> upstream_names(const database_group& group) {
    std::vector<std::string> names;
    for (const auto& item : group.upstreams) {
        names.push_back(item.name);
    }
    return names;
}

std::set<std::string> draining_upstreams(const upstream_group& group) {
    std::set<std::string> names;
    for (const auto& item : group.configured().upstreams) {
        if (!group.takes_new_work(item.name)) {
            names.insert(item.name);
        }
    }
    return names;
}

// Returns where the terms before the agreed one end, according to the primary's record of terms.
std::optional<std::uint64_t> start_of_ready_term(const upstream_group& group,
                                                 const group_record& record) {
    const auto primary = group.probes().find(record.primary);
    if (primary == group.probes().end()) {
        return std::nullopt;
    }
    for (const auto& start : primary->second.state.terms) {
        if (start.term == record.ready_term) {
            return start.offset;
        }
    }
    return std::nullopt;
}

// An unreadable record names no primary; the promotion is tried again later.
std::optional<group_record> read_record(const std::string& name, const std::string& text) {
    try {
        return read_group_record(text);
    } catch (const input_error& error) {
        log(log_event::object_unreadable,
            {{"kind", "group"}, {"name", name}, {"reason", error.what()}});
        return std::nullopt;
    }
}

} // namespace

/// One promotion and the state that its concurrent actions share.
struct promotion_service::running_promotion {
    running_promotion(std::shared_ptr<upstream_group> owner, const versioned_record& current,
                      const std::string& coordinator, event_loop& loop)
        : group(std::move(owner)), steps(current, upstream_names(group->configured()), coordinator,
                                         draining_upstreams(*group)),
          deadline(event_loop::now() + promotion_timeout), ended(loop) {}

    std::shared_ptr<upstream_group> group;
    promotion steps;
    time_point deadline;
    oneshot<bool> ended;
    versioned_record published;
};

promotion_service::promotion_service(kernel& services, const settings& host,
                                     platform_client& platform)
    : m_loop(services.loop()), m_host(host), m_platform(platform),
      m_directory(services.find<directory>(directory::service_name)),
      m_membership(services.find<membership>(membership::service_name)) {
    services.add(std::string(service_name), *this);
}

void promotion_service::start() {
    spawn(check_periodically());
}

task<void> promotion_service::check_periodically() {
    while (!m_stopped) {
        std::vector<std::string> suspected;
        for (const auto& [name, group] : m_directory.groups()) {
            check_group(name, group);
            if (m_groups[name].suspected_since) {
                suspected.push_back(name);
            }
        }
        m_membership.set_suspected(std::move(suspected));
        co_await sleep_for(m_loop, check_interval);
    }
}

void promotion_service::check_group(const std::string& name,
                                    const std::shared_ptr<upstream_group>& group) {
    const time_point now = event_loop::now();
    group_state& state = m_groups[name];
    const bool suspected = group->primary_suspected(now, m_limits.response_timeout);
    if (suspected && !state.suspected_since) {
        log(log_event::primary_suspected,
            {{"group", name}, {"primary", group->record().record.primary}});
    }
    state.suspected_since =
        suspected ? std::optional(state.suspected_since.value_or(now)) : std::nullopt;
    track_claim(state, group->record().record, now);
    attach_replicas(state, group);
    const suspicion_vote self{m_host.host, m_host.failure_domain, suspected, now};
    const bool promote = should_start_promotion(
        self, m_membership.votes(name), state.suspected_since, state.claim_seen_at, now, m_limits);
    if (!state.promoting && (promote || should_switch_over(state, *group, now))) {
        state.promoting = true;
        spawn(run_promotion(group));
    }
}

void promotion_service::track_claim(group_state& state, const group_record& record,
                                    time_point now) const {
    if (record.ready() || record.term == 0) {
        state.claim_seen_at.reset();
    } else if (record.term != state.claim_term || !state.claim_seen_at) {
        state.claim_seen_at = now;
    }
    state.claim_term = record.term;
}

// A switchover moves the primary away from an instance that is drained, if another takes new work.
bool promotion_service::should_switch_over(group_state& state, const upstream_group& group,
                                           time_point now) const {
    const group_record& record = group.record().record;
    const auto& upstreams = group.configured().upstreams;
    const bool other_available =
        std::any_of(upstreams.begin(), upstreams.end(),
                    [&](const auto& item) { return group.takes_new_work(item.name); });
    const bool wanted = record.ready() && !group.takes_new_work(record.primary) && other_available;
    if (!wanted) {
        state.switchover_wanted_since.reset();
        return false;
    }
    state.switchover_wanted_since = state.switchover_wanted_since.value_or(now);
    return now - *state.switchover_wanted_since > switchover_delay * (live_rank() + 1);
}

int promotion_service::live_rank() const {
    const time_point now = event_loop::now();
    const auto& peers = m_membership.peers();
    return static_cast<int>(std::count_if(peers.begin(), peers.end(), [&](const auto& item) {
        const bool live = item.second.incarnation > 0 && !item.second.leaving &&
                          now - item.second.last_received < m_limits.vote_lifetime;
        return live && item.first < m_host.host;
    }));
}

task<void> promotion_service::run_promotion(std::shared_ptr<upstream_group> group) {
    const std::string name = group->configured().name;
    const platform_read read = co_await m_platform.get("group", name);
    versioned_record current;
    bool up_to_date = read.status == platform_status::not_found;
    const auto record =
        read.status == platform_status::ok ? read_record(name, read.object.value) : std::nullopt;
    if (record) {
        current = {read.object.version, *record};
        up_to_date = current.record.ready_term <= group->record().record.ready_term;
        m_directory.offer_record(name, current);
    }
    if (up_to_date) {
        const auto running =
            std::make_shared<running_promotion>(group, current, m_host.host, m_loop);
        log(log_event::promotion_started,
            {{"group", name}, {"term", std::to_string(running->steps.term())}});
        start_actions(running, running->steps.start(), *this);
        m_loop.later(promotion_timeout, [running] { running->ended.set(false); });
        co_await running->ended;
        const bool done = running->steps.succeeded();
        log(done ? log_event::promotion_finished : log_event::promotion_abandoned,
            {{"group", name},
             {"term", std::to_string(running->steps.term())},
             {"primary", running->steps.candidate()}});
        if (done) {
            m_directory.offer_record(name, running->published);
            m_membership.send_heartbeat();
        }
    } else {
        co_await sleep_for(m_loop, retry_delay);
    }
    m_groups[name].promoting = false;
}

void promotion_service::start_actions(const std::shared_ptr<running_promotion>& running,
                                      std::vector<promotion_action> actions,
                                      promotion_service& self) {
    if (running->steps.finished()) {
        running->ended.set(true);
    }
    for (auto& action : actions) {
        spawn(self.perform(running, std::move(action)));
    }
}

task<void> promotion_service::perform(std::shared_ptr<running_promotion> running,
                                      promotion_action action) {
    if (action.what == promotion_action::kind::write_record) {
        co_await write_record(running, action);
        co_return;
    }
    const time_point command_deadline =
        std::min(event_loop::now() + command_timeout, running->deadline);
    const command_result executed =
        co_await execute_command(running->group, action, command_deadline);
    const bool is_primary = executed.report && !executed.report->in_recovery;
    if (executed.result == action_result::unknown || is_primary) {
        co_await sleep_for(m_loop, retry_delay);
    }
    if (event_loop::now() >= running->deadline) {
        // The promotion has timed out; another coordinator takes over under a higher term.
        co_return;
    }
    start_actions(running, running->steps.on_result(action, executed.result, executed.report),
                  *this);
}

task<void> promotion_service::write_record(std::shared_ptr<running_promotion> running,
                                           promotion_action action) {
    const std::string name = running->group->configured().name;
    const platform_write written =
        co_await m_platform.put("group", name, action.version, write_group_record(action.record));
    action_result result = action_result::unknown;
    if (written.status == platform_status::ok) {
        result = action_result::done;
        running->published = {written.version, action.record};
    } else if (written.status == platform_status::conflict) {
        result = action_result::refused;
    }
    start_actions(running, running->steps.on_result(action, result, std::nullopt, written.version),
                  *this);
}

void promotion_service::attach_replicas(group_state& state,
                                        const std::shared_ptr<upstream_group>& group) {
    const group_record& record = group->record().record;
    const auto start = start_of_ready_term(*group, record);
    if (!record.ready() || state.promoting || !start) {
        return;
    }
    const time_point now = event_loop::now();
    for (const auto& [name, probe] : group->probes()) {
        const bool probe_is_recent = now - probe.answered_at < attach_delay;
        const bool unattached = probe.in_recovery && name != record.primary &&
                                (!probe.following || probe.fencing_term < record.ready_term);
        if (!probe_is_recent || !unattached) {
            state.unattached_since.erase(name);
            continue;
        }
        const auto since = state.unattached_since.emplace(name, now).first->second;
        const bool is_own_turn = now - since >= attach_delay * live_rank();
        if (!is_own_turn || state.attaching.contains(name)) {
            continue;
        }
        promotion_action action;
        action.what = promotion_action::kind::attach;
        action.upstream = name;
        action.target = record.primary;
        action.term = record.ready_term;
        action.start = *start;
        action.terms = group->probes().at(record.primary).state.terms;
        state.attaching.insert(name);
        spawn(attach(group, action));
    }
}

task<void> promotion_service::attach(std::shared_ptr<upstream_group> group,
                                     promotion_action action) {
    const command_result executed =
        co_await execute_command(group, action, event_loop::now() + command_timeout);
    if (executed.result == action_result::done) {
        log(log_event::replica_attached,
            {{"group", group->configured().name}, {"upstream", action.upstream}});
    }
    // The next probe shows whether the replica follows; until then it isn't attached again.
    co_await sleep_for(m_loop, attach_delay);
    m_groups[group->configured().name].attaching.erase(action.upstream);
}

} // namespace bronzeplank
