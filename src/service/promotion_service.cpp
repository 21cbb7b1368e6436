#include "service/promotion_service.hpp"

#include "runtime/log.hpp"
#include "service/instance_orders.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds watch_period{50};
constexpr std::chrono::seconds order_limit{1};
constexpr std::chrono::seconds promotion_limit{5};
constexpr std::chrono::milliseconds repeat_pause{30};
constexpr std::chrono::milliseconds move_patience{500};
constexpr std::chrono::milliseconds attach_patience{500};

std::vector<std::string> names_of(const database_group& group) {
    std::vector<std::string> names;
    for (const auto& item : group.upstreams) {
        names.push_back(item.name);
    }
    return names;
}

std::set<std::string> draining_of(const upstream_group& group) {
    std::set<std::string> names;
    for (const auto& item : group.configured().upstreams) {
        if (!group.takes_new_work(item.name)) {
            names.insert(item.name);
        }
    }
    return names;
}

// Where the terms before the agreed one end, as the primary's own record says.
std::optional<std::uint64_t> start_of_term(const upstream_group& group,
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

} // namespace

/// The decisions of one promotion and what its concurrent orders share.
struct promotion_service::running_promotion {
    running_promotion(std::shared_ptr<upstream_group> owner, const versioned_record& current,
                      const std::string& orderer, event_loop& loop)
        : group(std::move(owner)),
          decisions(current, names_of(group->configured()), orderer, draining_of(*group)),
          deadline(event_loop::now() + promotion_limit), ended(loop) {}

    std::shared_ptr<upstream_group> group;
    promotion decisions;
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
    spawn(watch());
}

task<void> promotion_service::watch() {
    while (!m_stopped) {
        std::vector<std::string> suspected;
        for (const auto& [name, group] : m_directory.groups()) {
            look_at(name, group);
            if (m_groups[name].suspected_since) {
                suspected.push_back(name);
            }
        }
        m_membership.set_suspected(std::move(suspected));
        co_await sleep_for(m_loop, watch_period);
    }
}

void promotion_service::look_at(const std::string& name,
                                const std::shared_ptr<upstream_group>& group) {
    const time_point now = event_loop::now();
    group_watch& state = m_groups[name];
    const bool suspected = group->primary_suspected(now, m_limits.response_timeout);
    if (suspected && !state.suspected_since) {
        log(log_event::primary_suspected,
            {{"group", name}, {"primary", group->record().record.primary}});
    }
    state.suspected_since =
        suspected ? std::optional(state.suspected_since.value_or(now)) : std::nullopt;
    note_claim(state, group->record().record, now);
    keep_attached(state, group);
    const suspicion_vote self{m_host.host, m_host.failure_domain, suspected, now};
    const bool replace = should_start_promotion(
        self, m_membership.opinions(name), state.suspected_since, state.claim_seen, now, m_limits);
    if (!state.ordering && (replace || should_move(state, *group, now))) {
        state.ordering = true;
        spawn(order(group));
    }
}

void promotion_service::note_claim(group_watch& state, const group_record& record,
                                   time_point now) const {
    if (record.ready() || record.term == 0) {
        state.claim_seen.reset();
    } else if (record.term != state.claim_term || !state.claim_seen) {
        state.claim_seen = now;
    }
    state.claim_term = record.term;
}

// A primary in a domain that is taken out moves to another instance, by one host's order.
bool promotion_service::should_move(group_watch& state, const upstream_group& group,
                                    time_point now) const {
    const group_record& record = group.record().record;
    const auto& upstreams = group.configured().upstreams;
    const bool other = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        return group.takes_new_work(item.name);
    });
    const bool wanted = record.ready() && !group.takes_new_work(record.primary) && other;
    if (!wanted) {
        state.moving_since.reset();
        return false;
    }
    state.moving_since = state.moving_since.value_or(now);
    return now - *state.moving_since > move_patience * (live_place() + 1);
}

int promotion_service::live_place() const {
    const time_point now = event_loop::now();
    const auto& peers = m_membership.peers();
    return static_cast<int>(std::count_if(peers.begin(), peers.end(), [&](const auto& item) {
        const bool live = item.second.incarnation > 0 && !item.second.leaving &&
                          now - item.second.heard < m_limits.vote_lifetime;
        return live && item.first < m_host.host;
    }));
}

task<void> promotion_service::order(std::shared_ptr<upstream_group> group) {
    const std::string name = group->configured().name;
    const platform_read read = co_await m_platform.get("group", name);
    versioned_record current;
    bool known = read.status == platform_status::not_found;
    if (read.status == platform_status::ok) {
        current = {read.object.version, read_group_record(read.object.value)};
        known = current.record.ready_term <= group->record().record.ready_term;
        m_directory.offer_record(name, current);
    }
    if (known) {
        const auto running =
            std::make_shared<running_promotion>(group, current, m_host.host, m_loop);
        log(log_event::promotion_started,
            {{"group", name}, {"term", std::to_string(running->decisions.term())}});
        proceed(running, running->decisions.start(), *this);
        m_loop.later(promotion_limit, [running] { running->ended.set(false); });
        co_await running->ended;
        const bool done = running->decisions.succeeded();
        log(done ? log_event::promotion_finished : log_event::promotion_abandoned,
            {{"group", name},
             {"term", std::to_string(running->decisions.term())},
             {"primary", running->decisions.candidate()}});
        if (done) {
            m_directory.offer_record(name, running->published);
            m_membership.beat();
        }
    } else {
        co_await sleep_for(m_loop, repeat_pause);
    }
    m_groups[name].ordering = false;
}

void promotion_service::proceed(const std::shared_ptr<running_promotion>& running,
                                std::vector<promotion_action> actions, promotion_service& self) {
    if (running->decisions.finished()) {
        running->ended.set(true);
    }
    for (auto& action : actions) {
        spawn(self.carry_out(running, std::move(action)));
    }
}

task<void> promotion_service::carry_out(std::shared_ptr<running_promotion> running,
                                        promotion_action action) {
    if (action.what == promotion_action::kind::write_record) {
        co_await write_record(running, action);
        co_return;
    }
    const time_point limit = std::min(event_loop::now() + order_limit, running->deadline);
    const order_result done = co_await carry_out_order(running->group, action, limit);
    const bool primary = done.report && !done.report->in_recovery;
    if (done.result == action_result::unknown || primary) {
        co_await sleep_for(m_loop, repeat_pause);
    }
    if (event_loop::now() >= running->deadline) {
        // Another orderer takes a higher term.
        co_return;
    }
    proceed(running, running->decisions.on_result(action, done.result, done.report), *this);
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
    proceed(running, running->decisions.on_result(action, result, std::nullopt, written.version),
            *this);
}

void promotion_service::keep_attached(group_watch& state,
                                      const std::shared_ptr<upstream_group>& group) {
    const group_record& record = group->record().record;
    const auto start = start_of_term(*group, record);
    if (!record.ready() || state.ordering || !start) {
        return;
    }
    const time_point now = event_loop::now();
    for (const auto& [name, probe] : group->probes()) {
        const bool fresh = now - probe.answered < attach_patience;
        const bool astray = probe.in_recovery && name != record.primary &&
                            (!probe.following || probe.order_term < record.ready_term);
        if (!fresh || !astray) {
            state.astray_since.erase(name);
            continue;
        }
        const auto since = state.astray_since.emplace(name, now).first->second;
        const bool turn = now - since >= attach_patience * live_place();
        if (!turn || state.attaching.contains(name)) {
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
    const order_result done =
        co_await carry_out_order(group, action, event_loop::now() + order_limit);
    if (done.result == action_result::done) {
        log(log_event::replica_attached,
            {{"group", group->configured().name}, {"upstream", action.upstream}});
    }
    // The next probe shows whether it follows by now.
    co_await sleep_for(m_loop, attach_patience);
    m_groups[group->configured().name].attaching.erase(action.upstream);
}

} // namespace bronzeplank
