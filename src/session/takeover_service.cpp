#include "session/takeover_service.hpp"

#include "bronzeplank/gateway_order.hpp"
#include "runtime/log.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::milliseconds pause_between_attempts{500};
constexpr std::chrono::milliseconds silent_replica_patience{500};
constexpr std::chrono::milliseconds poll_period{30};
// A promotion takes some hundred milliseconds; one that needs longer has failed.
constexpr std::chrono::milliseconds promotion_limit{3000};
constexpr std::chrono::milliseconds follow_limit{600};

// Collects the answers of several instances that are asked at the same time.
struct gathered {
    std::vector<std::pair<std::string, replication_status>> answers;
    std::size_t open = 0;
};

} // namespace

takeover_service::takeover_service(event_loop& loop, fleet_directory& directory,
                                   upstream_router& router, fleet& peers,
                                   takeover_platform platform)
    : m_loop(loop), m_directory(directory), m_router(router), m_fleet(peers),
      m_platform(std::move(platform)) {}

void takeover_service::note_acknowledged(const std::string& group, const log_position& position) {
    log_position& known = m_acknowledged[group];
    known = std::max(known, position);
}

log_position takeover_service::acknowledged_by_anyone(const std::string& group) const {
    const auto own = m_acknowledged.find(group);
    log_position newest = own == m_acknowledged.end() ? log_position{} : own->second;
    for (const fleet_peer* peer : m_fleet.live(event_loop::now())) {
        const auto theirs = peer->acknowledged.find(group);
        if (theirs != peer->acknowledged.end()) {
            newest = std::max(newest, theirs->second);
        }
    }
    return newest;
}

void takeover_service::tick() {
    const time_point now = event_loop::now();
    m_suspected.clear();
    if (const auto& configuration = m_directory.configuration()) {
        for (const auto& [name, group] : configuration->groups) {
            consider(name, now);
        }
    }
    m_tick = m_loop.after(tick_period, [this] { tick(); });
}

failover_evidence takeover_service::evidence_on(const std::string& group,
                                                const std::optional<known_primary>& primary) const {
    failover_evidence evidence;
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    if (listed == nullptr) {
        evidence.listed = replicas(group, "").empty();
        return evidence;
    }
    const auto votes = m_router.votes_on(listed->id);
    evidence.unreachable_here = votes.cut_off_here;
    evidence.unreachable_count = votes.cut_off;
    evidence.host_count = votes.hosts;
    evidence.stalled = m_router.state_of(*listed).stalled;
    evidence.leaving = !m_directory.takes_work(*listed);
    return evidence;
}

int takeover_service::rank(const std::string& group) const {
    const std::uint64_t own = stable_hash(group, m_router.host());
    int before = 0;
    for (const fleet_peer* peer : m_fleet.live(event_loop::now())) {
        before += !peer->leaving && stable_hash(group, peer->host) < own ? 1 : 0;
    }
    return before;
}

void takeover_service::consider(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    const auto primary = m_directory.primary(group);
    const failover_evidence evidence = evidence_on(group, primary);
    // What one host can't reach, all others try, so that there are votes on it.
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (m_router.votes_on(id).cut_off > 0) {
            m_suspected.insert(id);
        }
    }
    const failover_reason reason = failover_reason_for(evidence);
    if (reason != state.reason) {
        state.reason_before = std::exchange(state.reason, reason);
        state.reason_since = now;
        if (reason != failover_reason::none) {
            log(log_event::primary_suspected,
                {{"group", group},
                 {"primary", primary ? primary->instance : ""},
                 {"reason", std::string(to_string(reason))},
                 {"cut_off", std::to_string(evidence.unreachable_count)},
                 {"hosts", std::to_string(evidence.host_count)}});
        }
    }
    if (reason == failover_reason::none || state.running || now < state.not_before ||
        !m_platform.reachable()) {
        return;
    }
    const duration wait = failover_delay(reason, state.reason_before, rank(group));
    const upstream_list& members = m_directory.members(group);
    const bool somebody = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return m_directory.takes_work(entry.second) &&
               (!primary || entry.first != primary->instance);
    });
    if (somebody && now - *state.reason_since >= wait) {
        state.running = true;
        spawn(take_over(group, primary ? primary->instance : "", reason));
    }
}

std::vector<std::string> takeover_service::replicas(const std::string& group,
                                                    const std::string& primary) const {
    std::vector<std::string> found;
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (id != primary) {
            found.push_back(id);
        }
    }
    return found;
}

task<std::optional<replication_status>>
takeover_service::order(std::string instance, replication_command what, std::uint64_t term) {
    const oneshot<std::optional<replication_status>> done(m_loop);
    m_router.order(instance, what, term,
                   [done](const std::optional<replication_status>& status) { done.set(status); });
    co_return co_await done;
}

task<bool> takeover_service::claim(run_state& run) {
    const stored_claim present = co_await m_platform.read(run.group);
    if (!present.answered) {
        co_return false;
    }
    group_state& state = m_groups[run.group];
    const time_point now = event_loop::now();
    if (state.seen_revision != present.revision) {
        state.seen_revision = present.revision;
        state.seen_at = now;
    }
    if (!present.claim.finished && now - state.seen_at < claim_timeout) {
        co_return false;
    }
    // While this host was cut off, others may have replaced the primary that it knows.
    const auto known = m_directory.primary(run.group);
    const bool newer = present.claim.finished && !present.claim.successor.empty() &&
                       present.claim.successor != run.old_primary &&
                       present.claim.term > (known ? known->term : 0);
    if (newer && m_directory.instance(present.claim.successor) != nullptr) {
        m_directory.primary_tracker_for(run.group).record_primary(present.claim.successor,
                                                                  present.claim.term);
        co_return false;
    }
    run.term =
        std::max(m_directory.primary_tracker_for(run.group).newest_term(), present.claim.term) + 1;
    run.lease_end = now + claim_lease;
    const failover_claim wanted{run.term, m_router.host(), "", false};
    const stored_claim written = co_await m_platform.write(run.group, present.revision, wanted);
    run.token = written.revision;
    co_return written.answered;
}

task<std::string> takeover_service::pause_and_choose(run_state& run) {
    const time_point patience = event_loop::now() + silent_replica_patience;
    const auto asked = replicas(run.group, run.old_primary);
    const auto answers = std::make_shared<gathered>();
    answers->open = asked.size();
    for (const auto& replica : asked) {
        m_router.order(replica, replication_command::pause, run.term,
                       [answers, replica](const std::optional<replication_status>& status) {
                           --answers->open;
                           if (status) {
                               answers->answers.emplace_back(replica, *status);
                           }
                       });
    }
    for (;;) {
        run.paused.clear();
        for (const auto& [replica, status] : answers->answers) {
            const upstream_instance* listed = m_directory.instance(replica);
            const bool stays = listed != nullptr && m_directory.takes_work(*listed);
            run.paused.push_back({replica, status, stays});
        }
        const bool patience_over = event_loop::now() >= patience;
        failover_choice choice;
        choice.answered = run.paused;
        choice.acknowledged = acknowledged_by_anyone(run.group);
        choice.instances = m_directory.group_size(run.group);
        for (const auto& replica : asked) {
            const bool answered =
                std::any_of(run.paused.begin(), run.paused.end(),
                            [&](const auto& paused) { return paused.instance == replica; });
            const bool given_up = patience_over && m_router.votes_on(replica).most_are_cut_off();
            choice.unreachable += !answered && given_up ? 1 : 0;
            choice.unanswered += !answered && !given_up ? 1 : 0;
        }
        const auto chosen = choose_successor(choice);
        if (chosen && still_needed(run)) {
            co_return *chosen;
        }
        const bool all_asked_are_done = answers->open == 0 && patience_over;
        if (all_asked_are_done || !still_needed(run) || !in_lease(run)) {
            co_return std::string();
        }
        co_await sleep_for(m_loop, poll_period);
    }
}

bool takeover_service::still_needed(const run_state& run) const {
    const auto primary = m_directory.primary(run.group);
    if ((primary ? primary->instance : "") != run.old_primary) {
        return false;
    }
    if (run.reason != failover_reason::unreachable) {
        return true;
    }
    return m_router.votes_on(run.old_primary).most_are_cut_off();
}

task<bool> takeover_service::promote(run_state& run, std::string successor) {
    const time_point limit = event_loop::now() + promotion_limit;
    bool accepted = false;
    while (!accepted) {
        if (!in_lease(run)) {
            co_return false;
        }
        const promotion_result result =
            co_await m_platform.promote(run.group, successor, run.token);
        if (result == promotion_result::refused) {
            co_return false;
        }
        accepted = result == promotion_result::done;
        if (!accepted) {
            co_await sleep_for(m_loop, poll_period);
        }
    }
    while (event_loop::now() < limit) {
        keep_paused(run, successor);
        const auto status = co_await order(successor, replication_command::report, 0);
        if (status && status->role == replication_role::primary) {
            co_return true;
        }
        co_await sleep_for(m_loop, poll_period);
    }
    co_return false;
}

// The platform takes its time to promote. A replica that starts again meanwhile, or that was given
// up and comes back, would help the old primary to acknowledge what the successor lacks.
void takeover_service::keep_paused(const run_state& run, const std::string& successor) {
    if (!in_lease(run)) {
        return;
    }
    for (const auto& replica : replicas(run.group, run.old_primary)) {
        if (replica != successor) {
            m_router.order(replica, replication_command::pause, run.term,
                           [](const std::optional<replication_status>&) {});
        }
    }
}

// All at once: a replica that stays paused confirms no read at the primary.
void takeover_service::resume_paused(const run_state& run) {
    for (const auto& replica : run.paused) {
        m_router.order(replica.instance, replication_command::resume, 0,
                       [](const std::optional<replication_status>&) {});
    }
}

// Each is resumed until it follows the term and is not paused, as one of the promotion's own orders
// to pause may arrive late. One that is silent holds up no other.
task<void> takeover_service::let_follow(run_state& run, std::string successor, std::uint64_t term) {
    const time_point limit = event_loop::now() + follow_limit;
    auto others = std::make_shared<std::set<std::string>>();
    for (const auto& replica : replicas(run.group, run.old_primary)) {
        if (replica != successor) {
            others->insert(replica);
        }
    }
    while (!others->empty() && event_loop::now() < limit) {
        const std::set<std::string> asked = *others;
        for (const auto& replica : asked) {
            m_router.order(
                replica, replication_command::resume, 0,
                [others, replica, term](const std::optional<replication_status>& status) {
                    if (status && status->term >= term && status->paused_by <= term) {
                        others->erase(replica);
                    }
                });
        }
        co_await sleep_for(m_loop, poll_period);
    }
}

// The others follow the new primary before the old one is demoted: a replica that shows the new
// term is what tells readers of the old primary that it leads no more.
task<void> takeover_service::settle(run_state& run, std::string successor) {
    m_fleet.beat();
    const std::uint64_t term = m_directory.primary_tracker_for(run.group).newest_term();
    co_await let_follow(run, successor, term);
    if (!run.old_primary.empty() && m_directory.instance(run.old_primary) != nullptr) {
        co_await order(run.old_primary, replication_command::demote, term);
    }
    const failover_claim done{run.term, m_router.host(), successor, true};
    co_await m_platform.write(run.group, run.token, done);
}

task<void> takeover_service::take_over(std::string group, std::string old_primary,
                                       failover_reason reason) {
    run_state run;
    run.group = group;
    run.old_primary = old_primary;
    run.reason = reason;
    const time_point started = event_loop::now();
    bool promoted = false;
    std::string successor;
    if (co_await claim(run)) {
        log(log_event::promotion_started, {{"group", group},
                                           {"old_primary", old_primary},
                                           {"reason", std::string(to_string(reason))},
                                           {"term", std::to_string(run.term)},
                                           {"token", std::to_string(run.token)}});
        if (reason == failover_reason::leaving) {
            // What runs there ends first, so that no caller is left in doubt.
            co_await order(old_primary, replication_command::hold, 0);
        }
        successor = co_await pause_and_choose(run);
        if (!successor.empty() && in_lease(run)) {
            promoted = co_await promote(run, successor);
        }
        if (promoted) {
            ++m_promotions;
            log(log_event::promotion_finished,
                {{"group", group},
                 {"primary", successor},
                 {"term", std::to_string(run.term)},
                 {"took_ms", std::to_string(to_milliseconds(event_loop::now() - started))}});
            co_await settle(run, successor);
        } else {
            log(log_event::promotion_abandoned, {{"group", group},
                                                 {"successor", successor},
                                                 {"answered", std::to_string(run.paused.size())},
                                                 {"in_lease", in_lease(run) ? "true" : "false"}});
            // A successor may yet be promoted by an order that is on its way: then its replicas
            // stay paused until the next attempt.
            if (successor.empty() && in_lease(run)) {
                resume_paused(run);
                // Nothing of this claim is on its way: the next one need not wait for its lease.
                const failover_claim released{run.term, m_router.host(), "", true};
                co_await m_platform.write(run.group, run.token, released);
            }
        }
    }
    group_state& state = m_groups[group];
    state.running = false;
    state.not_before = event_loop::now() + pause_between_attempts;
}

} // namespace bronzeplank
