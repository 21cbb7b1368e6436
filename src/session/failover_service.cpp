#include "session/failover_service.hpp"

#include "bronzeplank/gateway_order.hpp"
#include "runtime/log.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds evaluation_interval{50};
constexpr std::chrono::milliseconds roster_question_interval{1000};
constexpr int hosts_with_complete_rosters = 3;
// A host's rank among all hosts rarely changes, and is as costly as there are hosts.
constexpr std::chrono::seconds rank_check_interval{10};
// Promotions that claims of an earlier era have requested have taken effect by this age of the era.
constexpr duration settled_era_age = claim_timeout + promotion_timeout / 2;
constexpr std::chrono::milliseconds renewal_retry_interval{1000};
constexpr std::chrono::milliseconds storing_retry_interval{500};

} // namespace

std::string_view to_string(promotion_result result) {
    static constexpr std::array<std::string_view, 4> names{"done", "refused", "unanswered",
                                                           "unsent"};
    return names.at(static_cast<std::size_t>(result));
}

failover_service::failover_service(event_loop& loop, fleet_directory& directory,
                                   upstream_router& router, fleet& peers,
                                   failover_platform platform)
    : m_loop(loop), m_directory(directory), m_router(router), m_fleet(peers),
      m_platform(std::move(platform)) {}

leadership_sources failover_service::make_leadership_sources() {
    leadership_sources sources;
    sources.members = [this](const std::string& group) {
        const auto found = m_groups.find(group);
        return found == m_groups.end() ? std::set<std::string>() : found->second.roster.members();
    };
    sources.stored_members = [this](const std::string& group) -> const std::set<std::string>* {
        const auto found = m_groups.find(group);
        return found == m_groups.end() || !found->second.stored_members
                   ? nullptr
                   : &found->second.stored_as_running;
    };
    sources.platform_reachable = m_platform.reachable;
    sources.in_doubt = [this](const std::string& group) {
        std::set<std::string> instances;
        for (const auto& [id, token] : promotions_in_doubt(group)) {
            instances.insert(id);
        }
        return instances;
    };
    sources.read_claim = [this](const std::string& group, auto on_claim) {
        spawn(read_claim(group, std::move(on_claim)));
    };
    return sources;
}

// Before, promotions of the earlier era may still take effect, and members may not be listed yet.
bool failover_service::is_era_settled() const {
    return event_loop::now() - m_platform.era().seen_at >= settled_era_age;
}

task<void>
failover_service::read_claim(std::string group,
                             std::function<void(const std::optional<failover_claim>&)> on_claim) {
    std::optional<failover_claim> claim;
    if (m_platform.reachable()) {
        const stored_claim stored = co_await m_platform.read(group);
        const bool unreadable = stored.position.revision > 0 && stored.claim.term == 0;
        if (stored.succeeded && !unreadable) {
            note_doubts(group, stored);
            claim = stored.claim;
            claim->complete = stored.covers_promotions();
            claim->finished = !may_be_held(group, stored, event_loop::now());
            if (!claim->complete && !is_era_settled()) {
                claim->promoted_term = any_term;
            }
        }
    }
    on_claim(claim);
}

// A claim that is read again doesn't prolong a doubt, whichever claim carries it.
void failover_service::note_doubts(const std::string& group, const stored_claim& present) {
    const failover_claim& claim = present.claim;
    std::map<std::string, std::uint64_t> named = claim.in_doubt;
    if (!claim.finished && !claim.successor.empty()) {
        named[claim.successor] = present.fencing_token();
    }
    const time_point now = event_loop::now();
    std::map<std::string, promotion_doubt>& known = m_groups[group].in_doubt;
    // The successor of a finished claim leads by a call that was answered.
    if (claim.finished && !named.contains(claim.successor)) {
        known.erase(claim.successor);
    }
    std::erase_if(known, [&](const auto& entry) {
        return !named.contains(entry.first) && now - entry.second.seen_at >= promotion_lifetime;
    });
    for (const auto& [id, token] : named) {
        const auto [entry, added] = known.try_emplace(id, promotion_doubt{token, now});
        if (!added && entry->second.token < token) {
            entry->second = {token, now};
        }
    }
}

std::map<std::string, std::uint64_t>
failover_service::promotions_in_doubt(const std::string& group) const {
    std::map<std::string, std::uint64_t> found;
    const auto state = m_groups.find(group);
    if (state == m_groups.end()) {
        return found;
    }
    const time_point now = event_loop::now();
    for (const auto& [id, doubt] : state->second.in_doubt) {
        if (now - doubt.seen_at < promotion_lifetime) {
            found.emplace(id, doubt.token);
        }
    }
    return found;
}

void failover_service::record_acknowledged(const std::string& group, acknowledged_write write) {
    log_position& known = m_acknowledged[group];
    known = std::max(known, write.position);
    m_groups[group].writes.record(std::move(write));
}

// Checked at each tick, since the former primary may confirm a commit after the term has begun.
void failover_service::warn_of_missing_writes(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    for (const auto& [term, beginning] : m_directory.primary_tracker_for(group).beginnings()) {
        if (term <= state.warned_term) {
            continue;
        }
        const std::vector<acknowledged_write> missing = state.writes.missing_from(beginning, now);
        if (!missing.empty()) {
            state.warned_term = term;
            ++m_lossy_changes;
            log_missing_writes(group, beginning, missing);
            spawn(log_lossy_promotion(group));
        }
    }
}

// The id and the positions come first: what collects logs may cut long lines.
void failover_service::log_missing_writes(const std::string& group, const term_beginning& beginning,
                                          const std::vector<acknowledged_write>& missing) {
    const acknowledged_write& newest = missing.back();
    const duration age = event_loop::now() - newest.acknowledged_at;
    log(log_event::acknowledged_write_missing,
        {{"id", newest.id},
         {"group", group},
         {"position", to_text(newest.position)},
         {"first_position", to_text(beginning.first_position)},
         {"primary", beginning.primary.instance},
         {"term", std::to_string(beginning.primary.term)},
         {"instance", newest.instance},
         {"ago_ms", std::to_string(to_milliseconds(age))},
         {"count", std::to_string(missing.size())}});
}

task<void> failover_service::log_lossy_promotion(std::string group) {
    stored_claim present;
    if (m_platform.reachable()) {
        present = co_await m_platform.read(group);
    }
    if (present.succeeded) {
        log(log_event::lossy_promotion, {{"choice", present.claim.choice},
                                         {"group", group},
                                         {"promoter", present.claim.holder}});
    }
}

log_position failover_service::newest_acknowledged(const std::string& group) const {
    const auto own = m_acknowledged.find(group);
    log_position newest = own == m_acknowledged.end() ? log_position{} : own->second;
    for (const fleet_peer* peer : m_fleet.live_peers(event_loop::now())) {
        const auto theirs = peer->acknowledged.find(group);
        if (theirs != peer->acknowledged.end()) {
            newest = std::max(newest, theirs->second);
        }
    }
    return newest;
}

void failover_service::tick() {
    const time_point now = event_loop::now();
    m_suspected.clear();
    if (const auto& configuration = m_directory.configuration()) {
        for (const auto& [name, group] : configuration->groups) {
            update_roster(name, now);
            warn_of_missing_writes(name, now);
            evaluate_group(name, now);
            renew_claim_if_due(name, now);
            store_members_if_due(name, now);
        }
    }
    m_tick = m_loop.after(evaluation_interval, [this] { tick(); });
}

failover_evidence
failover_service::collect_evidence(const std::string& group,
                                   const std::optional<known_primary>& primary) const {
    failover_evidence evidence;
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    if (listed == nullptr) {
        evidence.listed = other_members(group, "").empty();
        return evidence;
    }
    const auto votes = m_router.reachability_of(listed->id);
    evidence.unreachable_here = votes.unreachable_here;
    evidence.unreachable_count = votes.unreachable_from;
    evidence.host_count = votes.presumed_hosts;
    evidence.stalled = m_router.status_of(*listed).stalled;
    evidence.leaving = !m_directory.accepts_work(*listed);
    return evidence;
}

void failover_service::update_roster(const std::string& group, time_point now) {
    std::map<std::string, group_roster::listed_member> listed;
    for (const auto& [id, instance] : m_directory.members(group)) {
        listed[id] = {instance.leaving, m_router.reachability_of(id).unreachable_from == 0,
                      instance.address, instance.born_ms};
    }
    group_state& state = m_groups[group];
    const auto primary = m_directory.primary(group);
    state.roster.update(listed, now);
    find_stored_as_running(state);
    if (!primary) {
        return;
    }
    settle_roster(group, primary->instance, now);
    if (is_former(state, *primary)) {
        return;
    }
    const bool promoted = primary->instance != state.last_primary ||
                          (primary->term > state.last_term && state.last_term > 0);
    if (promoted) {
        // The first primary that this host learns of is not a new one.
        state.primary_since = state.last_primary.empty() ? time_point{} : now;
        const primary_evidence evidence =
            m_directory.primary_tracker_for(group).evidence_for(primary->instance);
        log(log_event::primary_in_force, {{"group", group},
                                          {"primary", primary->instance},
                                          {"term", std::to_string(primary->term)},
                                          {"before", state.last_primary},
                                          {"evidence", std::string(to_string(evidence))}});
        state.last_primary = primary->instance;
    }
    if (primary->term != state.last_term) {
        state.last_term = primary->term;
        state.term_since = now;
    }
    if (const upstream_instance* listed_primary = m_directory.instance(primary->instance)) {
        state.last_primary_born_ms = listed_primary->born_ms;
    }
}

// A primary of an earlier term may have followed the last one, and have its commits.
bool failover_service::is_former(const group_state& state, const known_primary& primary) {
    return primary.instance != state.last_primary && primary.term < state.last_term;
}

// A former primary that still leads its term has followed no newer one. It counts again, unless the
// newer one may still lead, unlisted.
void failover_service::restore_former_primary(const std::string& group,
                                              const known_primary& reported) {
    group_state& state = m_groups[group];
    const bool may_run = m_directory.instance(state.last_primary) == nullptr &&
                         state.roster.members().contains(state.last_primary) &&
                         !state.roster.leaving().contains(state.last_primary);
    if (is_former(state, reported) && !may_run && m_directory.primary(group) == reported) {
        state.last_primary = reported.instance;
        state.last_term = reported.term;
        state.primary_since = event_loop::now();
        state.term_since = state.primary_since;
    }
}

// Every host needs the answers about an instance that has left, as any of them may have to replace
// the primary; they ask at different times.
void failover_service::settle_roster(const std::string& group, const std::string& primary,
                                     time_point now) {
    group_state& state = m_groups[group];
    const bool is_asked = state.roster.awaits_answers() || completes_roster(group, now) ||
                          is_former(state, *m_directory.primary(group));
    if (!is_asked) {
        state.next_roster_question_at.reset();
        return;
    }
    if (!state.next_roster_question_at) {
        const auto offset = stable_hash(m_router.host(), group) %
                            static_cast<std::uint64_t>(roster_question_interval.count());
        state.next_roster_question_at = now + std::chrono::milliseconds(offset);
    }
    if (now >= *state.next_roster_question_at) {
        state.next_roster_question_at = now + roster_question_interval;
        spawn(ask_for_roster(group, primary));
    }
}

// After the start, only the hosts ask that would replace the primary first.
bool failover_service::completes_roster(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    if (!state.roster.awaits_evidence_of_start()) {
        return false;
    }
    if (now >= state.next_rank_check_at) {
        state.replaces_first = failover_rank(group) < hosts_with_complete_rosters;
        // Shortly after the start, few of the other hosts are known.
        state.next_rank_check_at = now + (state.replaces_first ? duration(roster_question_interval)
                                                               : duration(rank_check_interval));
    }
    return state.replaces_first;
}

task<void> failover_service::ask_for_roster(std::string group, std::string primary) {
    const time_point requested_at = event_loop::now();
    const auto status = co_await send_command(primary, replication_command::report, 0);
    if (!status) {
        co_return;
    }
    if (status->role == replication_role::primary) {
        restore_former_primary(group, {primary, status->term});
    }
    // In a newer term, an instance that is gone may have acknowledged what this primary lacks.
    if (status->term < m_groups[group].last_term) {
        co_return;
    }
    m_groups[group].roster.record_answer(primary, *status, false, requested_at);
    const time_point replicas_requested_at = event_loop::now();
    ask_replicas(group, primary,
                 [this, group, replicas_requested_at](
                     const std::string& replica, const std::optional<replication_status>& answer) {
                     if (answer) {
                         m_groups[group].roster.record_answer(
                             replica, *answer,
                             m_router.vouches(group, replica, *answer, replicas_requested_at),
                             replicas_requested_at);
                     }
                 });
}

void failover_service::ask_replicas(
    const std::string& group, const std::string& primary,
    const std::function<void(const std::string& replica,
                             const std::optional<replication_status>& status)>& on_answer) {
    for (const auto& replica : other_members(group, primary)) {
        m_router.send_command(
            replica, replication_command::report, 0,
            [on_answer, replica](const std::optional<replication_status>& status) {
                on_answer(replica, status);
            });
    }
}

// Without the newer one, the last known primary would be taken for the only instance that may be
// left out, though it may follow the newer one and have its commits.
std::string failover_service::replaced_primary(const group_state& state) const {
    const known_primary& claimed = state.claimed_primary;
    const bool newer = claimed.term > state.last_term && !claimed.instance.empty();
    if (newer && m_directory.instance(claimed.instance) == nullptr) {
        return claimed.instance;
    }
    // If it has started again, the process that led has ended, and the present one may follow
    // another primary.
    const std::string former =
        group_roster::former_process_id(state.last_primary, state.last_primary_born_ms);
    return state.roster.members().contains(former) ? former : state.last_primary;
}

// Whether a failover can succeed as far as this host can tell. One that can't would only pause
// replicas that the old primary may need.
bool failover_service::can_account_for_members(const std::string& group,
                                               failover_reason reason) const {
    if (primary_answers(reason)) {
        return true;
    }
    std::set<std::string> reachable;
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (m_router.status_of(instance).reachable) {
            reachable.insert(id);
        }
    }
    const group_state& state = m_groups.at(group);
    const std::string replaced = replaced_primary(state);
    return accounts_for_members(state.roster.members(), reachable, replaced,
                                reason == failover_reason::missing && reachable.contains(replaced));
}

void failover_service::log_waiting(const std::string& group, group_state& state) {
    if (std::exchange(state.waiting_logged, true)) {
        return;
    }
    log(log_event::failover_waiting,
        {{"group", group}, {"members", joined(state.roster.members())}});
}

std::string failover_service::joined(const std::set<std::string>& instances) {
    return fmt::format("{}", fmt::join(instances, " "));
}

int failover_service::failover_rank(const std::string& group) const {
    const std::uint64_t own = stable_hash(group, m_router.host());
    int before = 0;
    for (const fleet_peer* peer : m_fleet.live_peers(event_loop::now())) {
        before += !peer->leaving && stable_hash(group, peer->host) < own ? 1 : 0;
    }
    return before;
}

void failover_service::evaluate_group(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    const auto primary = m_directory.primary(group);
    const failover_evidence evidence = collect_evidence(group, primary);
    // All hosts probe an instance that one host can't reach, so that each of them has a vote.
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (m_router.reachability_of(id).unreachable_from > 0) {
            m_suspected.insert(id);
        }
    }
    const failover_reason reason = failover_reason_for(evidence);
    if (reason != state.reason) {
        state.previous_reason = std::exchange(state.reason, reason);
        state.reason_since = now;
        state.replicas_resumed = false;
        if (reason != failover_reason::none) {
            log(log_event::primary_suspected,
                {{"group", group},
                 {"primary", primary ? primary->instance : ""},
                 {"reason", std::string(to_string(reason))},
                 {"cut_off", std::to_string(evidence.unreachable_count)},
                 {"hosts", std::to_string(evidence.host_count)}});
        }
    }
    if (reason == failover_reason::none || state.failover_running || now < state.next_attempt_at ||
        !m_platform.reachable()) {
        return;
    }
    const duration wait = failover_delay(reason, state.previous_reason, failover_rank(group));
    const upstream_list& members = m_directory.members(group);
    const bool has_candidate = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return m_directory.accepts_work(entry.second) &&
               (!primary || entry.first != primary->instance);
    });
    if (!has_candidate || now - *state.reason_since < wait) {
        return;
    }
    const std::string old_primary = primary ? primary->instance : "";
    if (!can_account_for_members(group, reason)) {
        log_waiting(group, state);
        return;
    }
    state.waiting_logged = false;
    state.failover_running = true;
    spawn(run_failover(group, old_primary, reason));
}

std::vector<std::string> failover_service::other_members(const std::string& group,
                                                         const std::string& primary) const {
    std::vector<std::string> found;
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (id != primary) {
            found.push_back(id);
        }
    }
    return found;
}

task<std::optional<replication_status>> failover_service::send_command(std::string instance,
                                                                       replication_command command,
                                                                       std::uint64_t term) {
    const oneshot<std::optional<replication_status>> done(m_loop);
    m_router.send_command(
        instance, command, term,
        [done](const std::optional<replication_status>& status) { done.set(status); });
    co_return co_await done;
}

// Whether another host may act on the group now. A claim of an earlier era comes from the copy that
// the store was restored from, or from a late write; claims that were written since may be missing.
bool failover_service::may_be_held(const std::string& group, const stored_claim& present,
                                   time_point now) {
    group_state& state = m_groups[group];
    if (state.claim_position != present.position) {
        state.claim_position = present.position;
        state.claim_seen_at = now;
    }
    if (present.is_current() && present.claim.finished) {
        return false;
    }
    const bool missing = present.position.revision == 0 && !present.is_current();
    const time_point since = missing ? m_platform.era().seen_at : state.claim_seen_at;
    return now - since < claim_timeout;
}

group_members failover_service::current_members(const std::string& group) {
    const group_roster& roster = m_groups[group].roster;
    return {m_directory.primary(group).value_or(known_primary{}).instance,
            roster.members(),
            roster.leaving(),
            m_platform.era().number,
            roster.addresses(),
            roster.born_ms(),
            roster.unlisted_minutes()};
}

// Only the gateway of the primary stores the members: it decides which commits are acknowledged.
void failover_service::store_members_if_due(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    const auto primary = m_directory.primary(group);
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    // What is stored doesn't change while the primary's entry is missing.
    if (listed == nullptr) {
        return;
    }
    if (m_router.gateway_of(*listed) != m_router.host()) {
        state.stored_members.reset();
        return;
    }
    // A host that hears only a few others may not be the gateway.
    if (state.storing_members || now < state.next_storing_at || !m_platform.reachable() ||
        state.stored_members == current_members(group) ||
        2 * m_fleet.live_host_count(now) <= m_fleet.presumed_host_count(now)) {
        return;
    }
    state.storing_members = true;
    spawn(store_members(group));
}

task<void> failover_service::store_members(std::string group) {
    const bool stored = co_await write_current_members(group);
    group_state& state = m_groups[group];
    state.storing_members = false;
    state.next_storing_at =
        event_loop::now() + (stored ? duration(0) : duration(storing_retry_interval));
}

task<bool> failover_service::write_current_members(std::string group) {
    const stored_members present = co_await m_platform.read_members(group);
    if (!present.succeeded) {
        co_return false;
    }
    group_state& state = m_groups[group];
    merge_members(group, present);
    const group_members wanted = current_members(group);
    if (present.position.revision == 0 || present.members != wanted) {
        const stored_members written =
            co_await m_platform.write_members(group, present.position, wanted);
        if (!written.succeeded) {
            co_return false;
        }
    }
    note_stored(state, wanted);
    co_return true;
}

// The members of an earlier era may lack some, but all that they name may have commits; they may
// have been listed since.
void failover_service::merge_members(const std::string& group, stored_members present) {
    if (!present.is_current()) {
        present.members.unlisted_minutes.clear();
    }
    m_groups[group].roster.merge(present.members, event_loop::now());
}

void failover_service::note_stored(group_state& state, const group_members& members) {
    state.stored_members = members;
    find_stored_as_running(state);
}

void failover_service::find_stored_as_running(group_state& state) {
    state.stored_as_running.clear();
    if (!state.stored_members) {
        return;
    }
    const group_members& stored = *state.stored_members;
    const std::map<std::string, std::int64_t> born_ms = state.roster.born_ms();
    const auto start_in = [](const auto& starts, const std::string& id) {
        const auto found = starts.find(id);
        return found == starts.end() ? 0 : found->second;
    };
    for (const auto& id : stored.members) {
        if (!stored.unlisted_minutes.contains(id) &&
            start_in(stored.born_ms, id) == start_in(born_ms, id)) {
            state.stored_as_running.insert(id);
        }
    }
}

// A host that has started lately knows neither the members that left before nor a primary whose
// entry has expired.
task<bool> failover_service::merge_stored_members(std::string group, failover_claim claim) {
    const stored_members present = co_await m_platform.read_members(group);
    if (!present.succeeded) {
        co_return false;
    }
    group_state& state = m_groups[group];
    merge_members(group, present);
    if (present.is_current() && state.last_primary.empty()) {
        const bool led = claim.finished && !claim.successor.empty();
        state.last_primary = led ? claim.successor : present.members.primary;
        const auto born = present.members.born_ms.find(state.last_primary);
        state.last_primary_born_ms = born == present.members.born_ms.end() ? 0 : born->second;
    }
    co_return true;
}

// Without a claim that covers all promotions, contact with a group can't be restored while one of
// its members is out of reach. The claim is written as soon as the members can be asked.
void failover_service::renew_claim_if_due(const std::string& group, time_point now) {
    group_state& state = m_groups[group];
    const auto primary = m_directory.primary(group);
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    const store_era era = m_platform.era();
    if (listed == nullptr || primary->term == 0 || era.number == state.covered_era ||
        state.failover_running || state.renewal_running || now < state.next_renewal_at ||
        !is_era_settled() || !m_platform.reachable() ||
        m_router.gateway_of(*listed) != m_router.host() || !m_router.can_ask_members(group)) {
        return;
    }
    state.renewal_running = true;
    spawn(renew_claim(group, *primary));
}

task<void> failover_service::renew_claim(std::string group, known_primary primary) {
    const bool renewed = co_await write_renewed_claim(group, primary);
    group_state& state = m_groups[group];
    state.renewal_running = false;
    state.next_renewal_at =
        event_loop::now() + (renewed ? duration(0) : duration(renewal_retry_interval));
}

// The proof comes after the claim was read: a claim that is written meanwhile makes the write fail.
task<bool> failover_service::write_renewed_claim(std::string group, known_primary primary) {
    const stored_claim present = co_await m_platform.read(group);
    if (present.succeeded) {
        note_doubts(group, present);
    }
    const bool covers = present.covers_promotions();
    const bool newer = present.claim.promoted_term > primary.term;
    if (!present.succeeded ||
        (!covers && (newer || may_be_held(group, present, event_loop::now())))) {
        co_return false;
    }
    if (!covers) {
        const oneshot<bool> proved(m_loop);
        m_router.prove_by_members(group, [proved](bool leads) { proved.set(leads); });
        if (!co_await proved || m_directory.primary(group) != primary) {
            co_return false;
        }
        const failover_claim renewed{
            primary.term,         "",   primary.instance,          true, primary.term,
            present.position.era, true, promotions_in_doubt(group)};
        const stored_claim written = co_await m_platform.write(group, present.position, renewed);
        if (!written.succeeded) {
            co_return false;
        }
    }
    m_groups[group].covered_era = present.position.era;
    co_return true;
}

} // namespace bronzeplank
