// The steps of one failover: claim, pauses, choice, promotion, and what follows it.
#include "session/failover_service.hpp"

#include "runtime/log.hpp"
#include "session/upstream_connection.hpp"

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds retry_interval{500};
constexpr std::chrono::milliseconds replica_response_timeout{500};
// The old primary is demoted first if a replica has not answered by then.
constexpr std::chrono::milliseconds demotion_delay{250};
constexpr std::chrono::milliseconds poll_interval{30};
constexpr std::chrono::milliseconds follow_timeout{600};
constexpr std::chrono::milliseconds resume_timeout{500};
constexpr std::chrono::milliseconds verification_timeout{300};
constexpr std::chrono::milliseconds report_timeout{200};
// When all replicas have been paused for this long, no host acknowledges a commit without a proof.
constexpr duration settling_time =
    std::max<duration>(established_replicas::contact_window, unbroken_contact::max_interval);
// A command without an answer may still arrive within this time.
constexpr std::chrono::milliseconds command_lifetime{1000};
static_assert(claim_lease + command_lifetime <= claim_timeout);
static_assert(fleet::control_call_timeout + command_send_limit <= command_lifetime);

} // namespace

void failover_service::log_claim(const std::string& group, const stored_claim& present) {
    const known_primary believed = m_directory.primary(group).value_or(known_primary{});
    log(log_event::claim_found, {{"group", group},
                                 {"revision", std::to_string(present.position.revision)},
                                 {"term", std::to_string(present.claim.term)},
                                 {"holder", present.claim.holder},
                                 {"successor", present.claim.successor},
                                 {"finished", present.claim.finished ? "true" : "false"},
                                 {"promoted_term", std::to_string(present.claim.promoted_term)},
                                 {"believed", believed.instance},
                                 {"believed_term", std::to_string(believed.term)}});
}

void failover_service::log_choice(const failover_attempt& attempt,
                                  const std::string& successor) const {
    const failover_choice choice = current_choice(attempt);
    std::string answered;
    for (const auto& replica : choice.answered) {
        answered +=
            (answered.empty() ? "" : ", ") + replica.instance + " " + to_text(replica.status);
    }
    log(log_event::successor_chosen, {{"group", attempt.group},
                                      {"successor", successor},
                                      {"old_primary", choice.old_primary},
                                      {"term", std::to_string(attempt.term)},
                                      {"members", joined(choice.members)},
                                      {"answered", answered}});
}

void failover_service::record_choice(failover_attempt& attempt,
                                     const std::string& successor) const {
    for (const auto& replica : attempt.paused) {
        if (replica.instance == successor) {
            attempt.first_position = replica.status.received;
        }
    }
    attempt.choice = to_text(current_choice(attempt));
}

// The claim that names the successor, before it is finished.
failover_claim failover_service::claim_for(const failover_attempt& attempt,
                                           const std::string& successor, std::uint64_t term) const {
    return {attempt.term,
            m_router.host(),
            successor,
            false,
            term,
            attempt.claim_position.era,
            attempt.complete,
            attempt.in_doubt,
            attempt.first_position,
            attempt.choice};
}

// Two holders never promote within one lease, so that no command of the first comes late.
bool failover_service::is_recently_promoted(const group_state& state, const failover_claim& claim,
                                            time_point now) const {
    const known_primary last{state.last_primary, state.last_term};
    const bool promoted_here =
        state.promoted_here == last || (claim.finished && claim.holder == m_router.host() &&
                                        known_primary{claim.successor, claim.term} == last);
    if (!promoted_here && now - state.primary_since < claim_timeout) {
        return true;
    }
    // The first term that this host learns of may be a new one, too: the claim shows it. One that
    // was released names what was promoted before it.
    const known_primary promoted{claim.newest_promoted(), claim.promoted_term};
    const bool by_this_host = state.promoted_here == promoted ||
                              (!claim.successor.empty() && claim.holder == m_router.host());
    if (!claim.finished || claim.holder.empty() || promoted.instance.empty() || by_this_host ||
        promoted.term < last.term) {
        return false;
    }
    return now - (promoted == last ? state.term_since : state.promoted_term_seen_at) <
           claim_timeout;
}

// The claim before a successor is chosen, and after none could be.
failover_claim failover_service::claim_without_successor(const failover_attempt& attempt,
                                                         std::uint64_t era) const {
    failover_claim claim{
        attempt.term,     m_router.host(), "", false, attempt.promoted_before.term, era,
        attempt.complete, attempt.in_doubt};
    claim.promoted_instance = attempt.promoted_before.instance;
    return claim;
}

task<bool> failover_service::acquire_claim(failover_attempt& attempt) {
    // An instance that registers later is not established before this claim's lease has expired.
    if (!co_await m_platform.refresh_instances()) {
        co_return false;
    }
    const stored_claim present = co_await m_platform.read(attempt.group);
    if (!present.succeeded) {
        co_return false;
    }
    log_claim(attempt.group, present);
    note_doubts(attempt.group, present);
    if (may_be_held(attempt.group, present, event_loop::now()) ||
        !co_await merge_stored_members(attempt.group, present.claim)) {
        co_return false;
    }
    group_state& state = m_groups[attempt.group];
    if (present.covers_promotions()) {
        state.claimed_primary = {present.claim.newest_promoted(), present.claim.promoted_term};
    }
    if (!can_account_for_members(attempt.group, attempt.reason)) {
        log_waiting(attempt.group, state);
        co_return false;
    }
    // Another host may have completed a failover while this host was partitioned from it.
    const auto known = m_directory.primary(attempt.group);
    const bool newer = present.claim.finished && !present.claim.successor.empty() &&
                       present.claim.successor != attempt.old_primary &&
                       present.claim.term > (known ? known->term : 0);
    if (newer && m_directory.instance(present.claim.successor) != nullptr) {
        m_directory.primary_tracker_for(attempt.group)
            .record_primary(present.claim.successor, present.claim.term,
                            primary_evidence::promotion);
        co_return false;
    }
    const time_point now = event_loop::now();
    if (present.claim.finished && present.claim.promoted_term != state.promoted_term) {
        state.promoted_term = present.claim.promoted_term;
        state.promoted_term_seen_at = now;
    }
    if (is_recently_promoted(state, present.claim, now)) {
        co_return false;
    }
    attempt.term =
        std::max(m_directory.primary_tracker_for(attempt.group).newest_term(), present.claim.term) +
        1;
    attempt.lease_end = now + claim_lease;
    attempt.listed_at = now;
    attempt.promoted_before = {present.claim.newest_promoted(), present.claim.promoted_term};
    attempt.in_doubt = promotions_in_doubt(attempt.group);
    attempt.promoted_term = present.claim.promoted_term;
    attempt.complete = present.covers_promotions();
    const failover_claim wanted = claim_without_successor(attempt, present.position.era);
    const stored_claim written = co_await m_platform.write(attempt.group, present.position, wanted);
    attempt.claim_position = written.position;
    attempt.token = written.fencing_token();
    co_return written.succeeded;
}

failover_choice failover_service::current_choice(const failover_attempt& attempt) const {
    failover_choice choice;
    choice.answered = attempt.paused;
    const group_state& state = m_groups.at(attempt.group);
    choice.members = state.roster.members();
    for (const auto& [id, instance] : m_directory.members(attempt.group)) {
        choice.members.insert(id);
    }
    choice.members_complete = state.roster.is_complete();
    choice.old_primary = replaced_primary(state);
    choice.acknowledged = newest_acknowledged(attempt.group);
    choice.old_primary_unfit = primary_answers(attempt.reason);
    for (const auto& [id, token] : attempt.in_doubt) {
        choice.requested_before.insert(id);
    }
    return choice;
}

void failover_service::request_pauses(failover_attempt& attempt, duration waited) {
    const auto request = [&](const std::string& id, replication_command command) {
        if (attempt.commands->confirmed.contains(id) ||
            !attempt.commands->pending.insert(id).second) {
            return;
        }
        const bool pauses = command == replication_command::pause;
        m_router.send_command(
            id, command, attempt.term,
            [commands = attempt.commands, id, pauses,
             term = attempt.term](const std::optional<replication_status>& status) {
                commands->pending.erase(id);
                const bool is_replica = status && status->role == replication_role::replica;
                commands->old_primary_demoted |= !pauses && is_replica;
                // A former primary that hasn't stepped down yet takes no pause.
                const bool confirmed = pauses && is_replica && status->paused_by >= term;
                if (confirmed && commands->confirmed.emplace(id, *status).second) {
                    commands->confirmed_at = event_loop::now();
                }
            });
    };
    for (const auto& replica : other_members(attempt.group, attempt.old_primary)) {
        attempt.pause_requested.insert(replica);
        request(replica, replication_command::pause);
    }
    if (attempt.commands->old_primary_demoted) {
        // Another primary, promoted unseen, could acknowledge commits with it.
        attempt.pause_requested.insert(attempt.old_primary);
        request(attempt.old_primary, replication_command::pause);
    } else if (primary_answers(attempt.reason) && waited >= demotion_delay) {
        request(attempt.old_primary, replication_command::demote);
    }
}

// The members but the old primary, and that one too if a pause was sent to it.
std::vector<std::string>
failover_service::replicas_to_pause(const failover_attempt& attempt) const {
    const bool includes_old = attempt.pause_requested.contains(attempt.old_primary);
    return other_members(attempt.group, includes_old ? "" : attempt.old_primary);
}

// Until the settling time after the last pause has passed, hosts may still acknowledge commits that
// only the old primary and an instance have that registered meanwhile.
bool failover_service::is_list_current(const failover_attempt& attempt) const {
    return attempt.commands->confirmed.contains(attempt.old_primary) ||
           attempt.listed_at >= attempt.commands->confirmed_at + settling_time;
}

// A primary whose replicas are paused can't commit. Under this claim, no other one pauses them, so
// that they were paused by a command that came after its promotion had taken effect. Returns
// whether any was; a successor isn't needed then.
task<bool> failover_service::resume_paused_replicas(failover_attempt& attempt) {
    const std::vector<std::string> replicas = other_members(attempt.group, attempt.old_primary);
    const auto unanswered =
        std::make_shared<std::set<std::string>>(replicas.begin(), replicas.end());
    const auto paused = std::make_shared<std::set<std::string>>();
    ask_replicas(attempt.group, attempt.old_primary,
                 [unanswered, paused](const std::string& replica,
                                      const std::optional<replication_status>& status) {
                     unanswered->erase(replica);
                     if (status && status->role == replication_role::replica &&
                         status->paused_by != 0) {
                         paused->insert(replica);
                     }
                 });
    const time_point deadline = event_loop::now() + report_timeout;
    while (!unanswered->empty() && event_loop::now() < deadline) {
        co_await sleep_for(m_loop, poll_interval);
    }
    if (paused->empty() || !lease_valid(attempt)) {
        co_return false;
    }
    attempt.pause_requested = *paused;
    co_await abandon(attempt);
    co_return true;
}

task<std::string> failover_service::pause_and_choose_successor(failover_attempt& attempt) {
    const time_point started = event_loop::now();
    for (;;) {
        const time_point now = event_loop::now();
        if (!is_still_required(attempt) || !lease_valid(attempt)) {
            co_return std::string();
        }
        request_pauses(attempt, now - started);
        attempt.paused.clear();
        for (const auto& [replica, status] : attempt.commands->confirmed) {
            const upstream_instance* listed = m_directory.instance(replica);
            const bool stays = listed != nullptr && m_directory.accepts_work(*listed);
            attempt.paused.push_back({replica, status, stays});
        }
        const auto chosen = choose_successor(current_choice(attempt));
        if (chosen && is_list_current(attempt)) {
            log_choice(attempt, *chosen);
            record_choice(attempt, *chosen);
            co_return *chosen;
        }
        if (!chosen && now - started >= replica_response_timeout) {
            co_return std::string();
        }
        const time_point list_due = attempt.commands->confirmed_at + settling_time;
        if (chosen && now >= list_due) {
            attempt.listed_at = now;
            if (!co_await m_platform.refresh_instances()) {
                co_return std::string();
            }
            continue;
        }
        co_await sleep_for(m_loop, poll_interval);
    }
}

bool failover_service::is_still_required(const failover_attempt& attempt) const {
    const auto primary = m_directory.primary(attempt.group);
    const bool changed =
        primary ? primary->instance != attempt.old_primary
                : !attempt.old_primary.empty() && !attempt.commands->old_primary_demoted;
    if (changed) {
        return false;
    }
    if (attempt.reason != failover_reason::unreachable) {
        return true;
    }
    return m_router.reachability_of(attempt.old_primary).unreachable_from_most();
}

// Stored before the promotion is requested, so that the claim shows which promotions may have taken
// effect.
task<bool> failover_service::store_successor(failover_attempt& attempt, std::string successor,
                                             std::uint64_t term) {
    const failover_claim wanted = claim_for(attempt, successor, term);
    const stored_claim written =
        co_await m_platform.write(attempt.group, attempt.claim_position, wanted);
    if (written.succeeded) {
        attempt.claim_position = written.position;
        attempt.token = written.fencing_token();
        attempt.promoted_term = term;
    }
    co_return written.succeeded;
}

// Asks the paused replicas again: one that has restarted, or that a late command has resumed, is
// not paused any more. What one receives after its answer is not acknowledged, since the claim
// names the successor by then.
task<bool> failover_service::pauses_hold(failover_attempt& attempt) {
    if (!lease_valid(attempt)) {
        co_return false;
    }
    const auto holding = std::make_shared<std::size_t>(0);
    std::size_t needed = 0;
    const time_point deadline = event_loop::now() + verification_timeout;
    for (const auto& [replica, status] : attempt.commands->confirmed) {
        ++needed;
        m_router.send_command(replica, replication_command::pause, attempt.term,
                              [holding, before = status,
                               term = attempt.term](const std::optional<replication_status>& now) {
                                  const bool holds = now && now->paused_by >= term &&
                                                     now->role == replication_role::replica &&
                                                     now->received == before.received;
                                  *holding += holds ? 1 : 0;
                              });
    }
    while (*holding < needed && event_loop::now() < deadline && lease_valid(attempt)) {
        co_await sleep_for(m_loop, poll_interval);
    }
    co_return *holding == needed;
}

// The token comes first: what collects logs may cut long lines.
void failover_service::log_unanswered(const failover_attempt& attempt, const std::string& successor,
                                      int call, duration took) {
    log(log_event::promotion_unanswered,
        {{"token", std::to_string(attempt.token)},
         {"group", attempt.group},
         {"instance", successor},
         {"call", std::to_string(call)},
         {"took_ms", std::to_string(to_milliseconds(took))},
         {"lease_left_ms",
          std::to_string(to_milliseconds(attempt.lease_end - event_loop::now()))}});
}

task<bool> failover_service::promote(failover_attempt& attempt, std::string successor) {
    const time_point deadline = event_loop::now() + promotion_timeout;
    primary_tracker& tracker = m_directory.primary_tracker_for(attempt.group);
    // Abandoned claims have used up terms that nobody leads. Known before the request, since
    // another host may have replaced the successor by the time that this one gives up.
    const std::uint64_t expected_term = tracker.newest_term() + 1;
    bool accepted = false;
    for (int call = 1; !accepted; ++call) {
        if (!lease_valid(attempt)) {
            co_return false;
        }
        const time_point requested_at = event_loop::now();
        const promotion_result result =
            co_await m_platform.promote(attempt.group, successor, attempt.token, attempt.lease_end);
        log(log_event::promotion_requested,
            {{"group", attempt.group},
             {"instance", successor},
             {"token", std::to_string(attempt.token)},
             {"result", std::string(to_string(result))},
             {"took_ms", std::to_string(to_milliseconds(event_loop::now() - requested_at))}});
        attempt.requested |= result != promotion_result::unsent;
        // If no request has left this host, another one may reach the platform.
        const bool yields =
            !attempt.requested && event_loop::now() >= attempt.lease_end - claim_lease / 2;
        if (result == promotion_result::refused || yields) {
            co_return false;
        }
        accepted = result == promotion_result::done;
        if (result == promotion_result::unanswered) {
            log_unanswered(attempt, successor, call, event_loop::now() - requested_at);
            // It may take effect later, also if the next try is answered.
            attempt.in_doubt[successor] = attempt.token;
        }
        if (!accepted) {
            repeat_pause(attempt, successor);
            co_await sleep_for(m_loop, poll_interval);
        }
        // Others wait from the claim's last change, so that their request comes a claim's time
        // after the last one of this host.
        if (result == promotion_result::unanswered &&
            !co_await store_successor(attempt, successor, attempt.promoted_term)) {
            co_return false;
        }
    }
    while (event_loop::now() < deadline) {
        repeat_pause(attempt, successor);
        const auto status = co_await send_command(successor, replication_command::report, 0);
        if (status && status->role == replication_role::primary) {
            attempt.leading_term = status->term;
            tracker.record_beginning({{successor, status->term}, attempt.first_position});
            co_return true;
        }
        co_await sleep_for(m_loop, poll_interval);
    }
    // The platform has accepted the successor, so it leads the term even if no host can reach it.
    tracker.record_primary(successor, expected_term, primary_evidence::promotion);
    tracker.record_beginning({{successor, expected_term}, attempt.first_position});
    co_return false;
}

// Pauses the other replicas again while the platform promotes the successor. A replica that
// restarts, or that was unreachable and returns, isn't paused, and could let the old primary
// acknowledge commits that the successor lacks. The term is the one that is being promoted: a
// command with the claim's term, which abandoned claims have raised above it, would also pause a
// replica that follows the successor already.
void failover_service::repeat_pause(const failover_attempt& attempt, const std::string& successor) {
    if (!lease_valid(attempt)) {
        return;
    }
    for (const auto& replica : replicas_to_pause(attempt)) {
        if (replica != successor) {
            m_router.send_command(replica, replication_command::pause, attempt.promoted_term,
                                  [](const std::optional<replication_status>&) {});
        }
    }
}

void failover_service::send_resume(const failover_attempt& attempt, const std::string& replica) {
    if (!attempt.commands->resumes_pending.insert(replica).second) {
        return;
    }
    m_router.send_command(
        replica, replication_command::resume, 0,
        [commands = attempt.commands, replica](const std::optional<replication_status>& status) {
            commands->resumes_pending.erase(replica);
            commands->resume_unanswered |= !status;
            // One that doesn't answer is left to the next claim.
            if (!status || (status->paused_by == 0 && !commands->pending.contains(replica))) {
                commands->to_resume.erase(replica);
            }
        });
}

// Resumes all replicas concurrently, since a paused replica confirms no reads for the primary. A
// replica may be paused although its answer was lost.
task<void> failover_service::resume_replicas(failover_attempt& attempt) {
    const auto commands = attempt.commands;
    commands->to_resume = attempt.pause_requested;
    const time_point deadline = event_loop::now() + resume_timeout;
    while (!commands->to_resume.empty() && event_loop::now() < deadline && lease_valid(attempt)) {
        const std::set<std::string> paused = commands->to_resume;
        for (const auto& replica : paused) {
            send_resume(attempt, replica);
        }
        co_await sleep_for(m_loop, poll_interval);
    }
}

// A resume command has no term: one that arrives late would undo the pause of a newer claim.
// Returns when none can arrive any more.
task<void> failover_service::wait_for_resumes(const failover_attempt& attempt) {
    const auto commands = attempt.commands;
    if (commands->resume_unanswered || !commands->resumes_pending.empty()) {
        co_await sleep_for(m_loop, command_lifetime);
    }
}

// A promotion ends the pauses of the group, also of a replica that can't hear the successor and
// receives from the old primary again. What is paused afterwards was paused by a late command of
// this claim, which is undone: at a replica that follows the successor already, and at any other
// once the old primary has stepped down. A replica that doesn't respond delays no other.
task<void> failover_service::wait_until_following(failover_attempt& attempt,
                                                  std::string successor) {
    const time_point deadline = event_loop::now() + follow_timeout;
    auto waiting = std::make_shared<std::set<std::string>>();
    auto asked = std::make_shared<std::set<std::string>>();
    auto paused = std::make_shared<std::set<std::string>>();
    for (const auto& replica : replicas_to_pause(attempt)) {
        if (replica != successor) {
            waiting->insert(replica);
        }
    }
    while (!waiting->empty() && event_loop::now() < deadline && lease_valid(attempt)) {
        const std::set<std::string> requested = *waiting;
        for (const auto& replica : requested) {
            if (paused->erase(replica) > 0) {
                send_resume(attempt, replica);
            }
            if (!asked->insert(replica).second) {
                continue;
            }
            m_router.send_command(
                replica, replication_command::report, 0,
                [waiting, asked, paused, replica, commands = attempt.commands,
                 term = attempt.leading_term](const std::optional<replication_status>& status) {
                    asked->erase(replica);
                    const bool follows = status && status->term >= term;
                    const bool is_paused = status && status->paused_by != 0;
                    if (follows && !is_paused) {
                        waiting->erase(replica);
                    } else if (is_paused && (follows || commands->old_primary_stepped_down)) {
                        paused->insert(replica);
                    }
                });
        }
        co_await sleep_for(m_loop, poll_interval);
    }
}

// The old primary is demoted at once: until then it may acknowledge commits with a replica that
// can't hear the successor.
task<void> failover_service::complete_failover(failover_attempt& attempt, std::string successor) {
    m_fleet.send_heartbeat();
    attempt.commands->old_primary_stepped_down = attempt.old_primary == successor;
    if (attempt.old_primary != successor && m_directory.instance(attempt.old_primary) != nullptr) {
        m_router.send_command(
            attempt.old_primary, replication_command::demote, attempt.leading_term,
            [commands = attempt.commands](const std::optional<replication_status>& status) {
                commands->old_primary_stepped_down |=
                    status && status->role == replication_role::replica;
            });
    }
    // The platform counts terms, so it has promoted no higher one before.
    attempt.complete = true;
    if (attempt.leading_term != attempt.promoted_term) {
        co_await store_successor(attempt, successor, attempt.leading_term);
    }
    co_await wait_until_following(attempt, successor);
    co_await wait_for_resumes(attempt);
    failover_claim done = claim_for(attempt, successor, attempt.leading_term);
    done.term = attempt.leading_term;
    done.finished = true;
    co_await m_platform.write(attempt.group, attempt.claim_position, done);
}

// Ends an attempt that has sent no promotion request. The next claim then need not wait for this
// one's lease to expire.
task<void> failover_service::abandon(failover_attempt& attempt) {
    co_await resume_replicas(attempt);
    co_await wait_for_resumes(attempt);
    // The outcome of an earlier write may be unknown.
    const stored_claim present = co_await m_platform.read(attempt.group);
    if (present.succeeded && present.is_current() && !present.claim.finished &&
        present.claim.term == attempt.term && present.claim.holder == m_router.host()) {
        failover_claim released = claim_without_successor(attempt, present.position.era);
        released.finished = true;
        co_await m_platform.write(attempt.group, present.position, released);
    }
}

task<void> failover_service::run_failover(std::string group, std::string old_primary,
                                          failover_reason reason) {
    failover_attempt attempt;
    attempt.group = group;
    attempt.old_primary = old_primary;
    attempt.reason = reason;
    const time_point started = event_loop::now();
    bool promoted = false;
    std::string successor;
    if (co_await acquire_claim(attempt)) {
        log(log_event::promotion_started, {{"group", group},
                                           {"old_primary", old_primary},
                                           {"reason", std::string(to_string(reason))},
                                           {"term", std::to_string(attempt.term)},
                                           {"token", std::to_string(attempt.token)}});
        group_state& state = m_groups[group];
        if (reason == failover_reason::stalled && !std::exchange(state.replicas_resumed, true) &&
            co_await resume_paused_replicas(attempt)) {
            finish_attempt(group, retry_interval);
            co_return;
        }
        if (reason == failover_reason::leaving && lease_valid(attempt)) {
            // Running writes end first, so that no caller gets an unknown outcome.
            co_await send_command(old_primary, replication_command::hold, 0);
        }
        successor = co_await pause_and_choose_successor(attempt);
        bool may_promote = false;
        if (!successor.empty()) {
            const primary_tracker& tracker = m_directory.primary_tracker_for(group);
            const std::uint64_t expected =
                std::max(attempt.promoted_term, tracker.newest_term()) + 1;
            may_promote = co_await store_successor(attempt, successor, expected);
            may_promote = may_promote && co_await pauses_hold(attempt);
        }
        if (may_promote && lease_valid(attempt)) {
            promoted = co_await promote(attempt, successor);
        }
        if (promoted) {
            ++m_promotions;
            m_groups[group].promoted_here = {successor, attempt.leading_term};
            log(log_event::promotion_finished,
                {{"group", group},
                 {"primary", successor},
                 {"term", std::to_string(attempt.term)},
                 {"took_ms", std::to_string(to_milliseconds(event_loop::now() - started))}});
            co_await complete_failover(attempt, successor);
        } else {
            log(log_event::promotion_abandoned,
                {{"group", group},
                 {"successor", successor},
                 {"answered", std::to_string(attempt.paused.size())},
                 {"in_lease", lease_valid(attempt) ? "true" : "false"}});
            // A promotion request in flight may still promote the successor. The replicas then
            // stay paused until the next attempt.
            if (!attempt.requested && lease_valid(attempt)) {
                co_await abandon(attempt);
            }
        }
        const bool yields = may_promote && !attempt.requested;
        finish_attempt(group, yields ? duration(claim_timeout) : duration(retry_interval));
        co_return;
    }
    finish_attempt(group, retry_interval);
}

void failover_service::finish_attempt(const std::string& group, duration pause) {
    group_state& state = m_groups[group];
    state.failover_running = false;
    state.next_attempt_at = event_loop::now() + pause;
}

} // namespace bronzeplank
