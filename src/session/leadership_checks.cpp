// The router's checks which instance is a group's primary, and the contact that they rest on.
#include "session/upstream_router.hpp"

#include "runtime/log.hpp"

#include <algorithm>
#include <tuple>

namespace bronzeplank {

namespace {

// Checks fail at once for this long after one has failed, so that they don't flood the platform.
constexpr std::chrono::milliseconds restoration_pause{100};
// A promotion is requested after the claim that names it was stored, and takes some hundred
// milliseconds: for this long after a claim without it was read, it has not taken effect.
constexpr std::chrono::milliseconds claim_proof_lifetime{100};
// Contact with a group is kept for this long after the last check.
constexpr std::chrono::seconds contact_retention{3};
// A primary is superseded only while its work is still being checked.
constexpr std::chrono::milliseconds superseded_retention{1000};

/// \param claim the claim that proved it; nullptr if all members did
void log_restored(const std::string& group, const known_primary& primary,
                  const failover_claim* claim) {
    log(log_event::contact_restored,
        {{"group", group},
         {"primary", primary.instance},
         {"term", std::to_string(primary.term)},
         {"proof", claim != nullptr ? "claim" : "members"},
         {"claim_term", claim != nullptr ? std::to_string(claim->term) : ""},
         {"claim_finished", claim != nullptr ? (claim->finished ? "true" : "false") : ""}});
}

// Whether the claim shows that another instance was promoted, or is being promoted, for the
// primary's term.
bool names_other_primary(const failover_claim& claim, const known_primary& primary) {
    const std::string& promoted = claim.newest_promoted();
    return claim.promoted_term == primary.term && !promoted.empty() && promoted != primary.instance;
}

} // namespace

// Whether the group's commits are acknowledged by the primary alone. Its replicas may be promoted
// all the same.
bool upstream_router::commits_without_replicas(const std::string& group) const {
    const auto& configuration = m_directory.configuration();
    if (!configuration) {
        return false;
    }
    const auto policy = configuration->groups.find(group);
    return policy != configuration->groups.end() && policy->second.sync_replicas == 0;
}

// Whether nobody else can be promoted, as far as this host knows.
bool upstream_router::is_sole_member(const std::string& group, const std::string& instance) const {
    const std::set<std::string> members = members_of(group);
    return std::all_of(members.begin(), members.end(),
                       [&](const std::string& id) { return id == instance; });
}

// Whether replicas, or a claim, have shown lately that the primary still leads.
bool upstream_router::is_proved_lately(const std::string& group, const std::string& primary) {
    const time_point now = event_loop::now();
    const group_contact& state = contact_with(group);
    const bool by_replicas =
        established_in(group).in_contact(primary, now) && state.contact.unbroken(now);
    return by_replicas || now - state.proved_by_claim_at <= claim_proof_lifetime;
}

established_replicas& upstream_router::established_in(const std::string& group) {
    return established_in(group, event_loop::now());
}

established_replicas& upstream_router::established_in(const std::string& group, time_point now) {
    std::map<std::string, std::int64_t> listed;
    for (const auto& [id, instance] : m_directory.members(group)) {
        listed.emplace(id, instance.born_ms);
    }
    established_replicas& replicas = m_established[group];
    replicas.update(listed, now);
    return replicas;
}

void upstream_router::observe_instances(time_point now) {
    if (const auto& configuration = m_directory.configuration()) {
        for (const auto& [name, group] : configuration->groups) {
            established_in(name, now);
            keep_contact(name, now);
        }
    }
}

upstream_router::group_contact& upstream_router::contact_with(const std::string& group) {
    group_contact& state = m_contacts[group];
    const known_primary primary = m_directory.primary(group).value_or(known_primary{});
    if (state.primary != primary) {
        state.primary = primary;
        state.contact.reset();
        state.proved_by_claim_at = time_point{};
        state.superseded_since.reset();
    }
    return state;
}

void upstream_router::keep_contact(const std::string& group, time_point now) {
    const group_contact& state = contact_with(group);
    if (now - state.used_at > contact_retention || !state.contact.needs_confirmation(now)) {
        return;
    }
    const auto replicas = confirming_replicas(group, state.primary.instance);
    if (!replicas.empty()) {
        send_command(replicas.front(), replication_command::report, 0,
                     [](const std::optional<replication_status>&) {});
    }
}

std::set<std::string> upstream_router::members_of(const std::string& group) const {
    std::set<std::string> members;
    if (m_sources.members) {
        members = m_sources.members(group);
    }
    for (const auto& [id, instance] : m_directory.members(group)) {
        members.insert(id);
    }
    return members;
}

// Calls `on_checked` with whether the group's primary led it at some time after the call, or after
// the last confirmation if contact is unbroken.
void upstream_router::require_contact(const std::string& group,
                                      std::function<void(bool)> on_checked) {
    group_contact& state = contact_with(group);
    const time_point now = event_loop::now();
    state.used_at = now;
    if (state.contact.unbroken(now)) {
        on_checked(true);
        return;
    }
    prove_leadership(group, std::move(on_checked));
}

// Like require_contact(), but doesn't rely on contact.
void upstream_router::prove_leadership(const std::string& group,
                                       std::function<void(bool)> on_checked) {
    group_contact& state = contact_with(group);
    const time_point now = event_loop::now();
    state.used_at = now;
    if (now - state.restoration_failed_at < restoration_pause) {
        on_checked(false);
        return;
    }
    state.waiting.push_back(std::move(on_checked));
    if (!state.restoring) {
        restore_contact(group);
    }
}

void upstream_router::restore_contact(const std::string& group) {
    group_contact& state = contact_with(group);
    state.restoring = true;
    state.served = std::exchange(state.waiting, {});
    const time_point requested_at = event_loop::now();
    const auto finish = [this, group, primary = state.primary](bool proved, time_point proved_at) {
        finish_restoring(group, primary, proved, proved_at);
    };
    const restoration next{group, state.primary, requested_at, {}, {}, false, finish};
    if (!m_sources.platform_reachable || !m_sources.platform_reachable()) {
        restore_by_members(next);
        return;
    }
    m_sources.read_claim(group, [this, next](const std::optional<failover_claim>& claim) {
        // Claims store a term before its promotion is requested.
        const bool newer = claim && claim->promoted_term > next.primary.term;
        note_superseded(next.group, newer);
        note_claim(next.group, claim, next.primary, next.requested_at);
        if (newer || (claim && claim->complete && !names_other_primary(*claim, next.primary))) {
            if (!newer) {
                log_restored(next.group, next.primary, &*claim);
                note_proof(next.group, next.primary, next.requested_at);
            }
            next.on_finished(!newer, next.requested_at);
        } else {
            restore_by_members(next);
        }
    });
}

// Records what the claim shows of the group's processes.
void upstream_router::note_claim(const std::string& group,
                                 const std::optional<failover_claim>& claim,
                                 const known_primary& primary, time_point read_at) {
    if (claim && claim->finished && claim->complete && claim->promoted_term <= primary.term) {
        contact_with(group).processes.record_unclaimed(read_at);
    }
}

// Answers on a connection that was opened since the claim was last read don't count. If the
// connection was only reset, one more reading shows it, and callers hardly wait.
void upstream_router::read_claim_for_new_connections(const std::string& group) {
    group_contact& state = contact_with(group);
    const time_point now = event_loop::now();
    if (state.reading_claim || now < state.next_claim_read_at ||
        now - state.used_at > contact_retention || !m_sources.platform_reachable ||
        !m_sources.platform_reachable()) {
        return;
    }
    state.reading_claim = true;
    m_sources.read_claim(group, [this, group, primary = state.primary,
                                 now](const std::optional<failover_claim>& claim) {
        note_claim(group, claim, primary, now);
        group_contact& current = contact_with(group);
        current.reading_claim = false;
        current.next_claim_read_at = event_loop::now() + restoration_pause;
    });
}

bool upstream_router::vouches(const std::string& group, const std::string& instance,
                              const replication_status& answer, time_point requested_at) {
    return established_in(group).is_established(instance) &&
           contact_with(group).processes.covers(answer, requested_at, event_loop::now());
}

void upstream_router::note_proof(const std::string& group, const known_primary& primary,
                                 time_point read_at) {
    group_contact& state = contact_with(group);
    if (state.primary == primary) {
        state.proved_by_claim_at = std::max(state.proved_by_claim_at, read_at);
    }
}

void upstream_router::note_superseded(const std::string& group, bool superseded) {
    group_contact& state = contact_with(group);
    if (!superseded) {
        state.superseded_since.reset();
        return;
    }
    state.superseded_at = event_loop::now();
    state.superseded_since = state.superseded_since.value_or(state.superseded_at);
}

bool upstream_router::is_superseded(const std::string& group, const std::string& instance) const {
    const auto found = m_contacts.find(group);
    if (found == m_contacts.end() || found->second.primary.instance != instance) {
        return false;
    }
    const group_contact& state = found->second;
    const time_point now = event_loop::now();
    return state.superseded_since && now - *state.superseded_since >= claim_timeout &&
           now - state.superseded_at < superseded_retention;
}

// A host that is cut off from most others may not know all members.
bool upstream_router::can_ask_members(const std::string& group) const {
    const time_point now = event_loop::now();
    const std::size_t live = m_fleet->live_host_count(now);
    const std::set<std::string> members = members_of(group);
    const auto primary = m_directory.primary(group);
    const auto is_primary = [&](const std::string& id) {
        return primary && id == primary->instance;
    };
    const bool has_others = !std::all_of(members.begin(), members.end(), is_primary);
    const bool all_reachable =
        std::all_of(members.begin(), members.end(), [&](const std::string& id) {
            const upstream_instance* listed = m_directory.instance(id);
            return is_primary(id) || (listed != nullptr && status_of(*listed).reachable);
        });
    return has_others && all_reachable && 2 * live > m_fleet->presumed_host_count(now);
}

void upstream_router::prove_by_members(const std::string& group,
                                       std::function<void(bool)> on_proved) {
    const known_primary primary = m_directory.primary(group).value_or(known_primary{});
    const auto finish = [this, group, primary, on_proved = std::move(on_proved)](bool proved,
                                                                                 time_point) {
        on_proved(proved && primary.term > 0 && m_directory.primary(group) == primary);
    };
    restore_by_members({group, primary, event_loop::now(), {}, {}, false, finish});
}

// All members answering proves it where no claim does.
void upstream_router::restore_by_members(restoration asked) {
    const time_point now = event_loop::now();
    asked.requested_at = now;
    for (const auto& id : members_of(asked.group)) {
        if (id != asked.primary.instance) {
            const bool old = established_in(asked.group).may_be_asked(id, now);
            (old ? asked.first : asked.rest).push_back(id);
        }
    }
    if (can_ask_members(asked.group) && !asked.first.empty()) {
        ask_members(asked);
    } else {
        asked.on_finished(false, now);
    }
}

// New members are asked last: their answers only show that none of them has been promoted.
void upstream_router::ask_members(const restoration& asked) {
    struct answers {
        std::size_t missing = 0;
        bool all_confirm = true;
        bool any_established = false;
    };
    const auto collected = std::make_shared<answers>();
    collected->missing = asked.first.size();
    const time_point requested_at = event_loop::now();
    for (const auto& id : asked.first) {
        send_command(id, replication_command::report, 0,
                     [this, id, asked, collected,
                      requested_at](const std::optional<replication_status>& status) {
                         // Of new members, only who leads matters.
                         const process_continuity& processes = contact_with(asked.group).processes;
                         const bool counts =
                             status && (asked.old_confirmed ||
                                        processes.covers(*status, requested_at, event_loop::now()));
                         collected->all_confirm = collected->all_confirm && counts &&
                                                  confirms_leadership(*status, asked.primary);
                         collected->any_established |=
                             counts && established_in(asked.group).is_established(id);
                         if (--collected->missing == 0) {
                             finish_asking(asked, collected->all_confirm,
                                           collected->any_established);
                         }
                     });
    }
}

void upstream_router::finish_asking(const restoration& asked, bool all_confirm,
                                    bool any_established) {
    if (!all_confirm || (!any_established && !asked.old_confirmed)) {
        asked.on_finished(false, asked.requested_at);
    } else if (asked.rest.empty()) {
        log_restored(asked.group, asked.primary, nullptr);
        asked.on_finished(true, asked.requested_at);
    } else {
        ask_members({asked.group,
                     asked.primary,
                     asked.requested_at,
                     asked.rest,
                     {},
                     true,
                     asked.on_finished});
    }
}

void upstream_router::finish_restoring(const std::string& group, const known_primary& primary,
                                       bool proved, time_point proved_at) {
    group_contact& state = contact_with(group);
    const bool holds = proved && primary.term > 0 && state.primary == primary;
    if (holds) {
        state.contact.restore(proved_at);
    } else {
        state.restoration_failed_at = event_loop::now();
    }
    for (const auto& on_checked : std::exchange(state.served, {})) {
        on_checked(holds);
    }
    state.restoring = false;
    if (state.contact.unbroken(event_loop::now())) {
        for (const auto& on_checked : std::exchange(state.waiting, {})) {
            on_checked(true);
        }
    } else if (!state.waiting.empty()) {
        restore_contact(group);
    }
}

std::vector<std::string> upstream_router::confirming_replicas(const std::string& group,
                                                              const std::string& primary) {
    std::vector<std::string> found;
    const established_replicas& replicas = established_in(group);
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (id != primary && replicas.may_be_asked(id, event_loop::now())) {
            found.push_back(id);
        }
    }
    const auto preference = [&](const std::string& id) {
        const upstream_instance* listed = m_directory.instance(id);
        return std::tuple(!replicas.is_established(id), !status_of(*listed).reachable,
                          listed->failure_domain != m_gateways.failure_domain());
    };
    std::stable_sort(found.begin(), found.end(), [&](const auto& left, const auto& right) {
        return preference(left) < preference(right);
    });
    return found;
}

void upstream_router::check_leadership(const std::string& group, const std::string& instance,
                                       std::function<void(bool)> on_checked) {
    const auto primary = m_directory.primary(group);
    if (!primary || primary->instance != instance) {
        on_checked(false);
        return;
    }
    leadership_round& round = m_leadership_rounds[group];
    round.waiting.push_back({instance, std::move(on_checked)});
    if (!round.running) {
        start_leadership_round(group, instance);
    }
}

void upstream_router::start_leadership_round(const std::string& group,
                                             const std::string& instance) {
    leadership_round& round = m_leadership_rounds[group];
    round.running = true;
    auto requests = std::exchange(round.waiting, {});
    request_confirmation(group, instance, confirming_replicas(group, instance),
                         [this, group, instance, requests = std::move(requests)](bool confirmed) {
                             // The primary may have changed since a request named another instance.
                             for (const auto& request : requests) {
                                 request.on_checked(confirmed && request.instance == instance);
                             }
                             leadership_round& finished = m_leadership_rounds[group];
                             finished.running = false;
                             const auto primary = m_directory.primary(group);
                             if (!finished.waiting.empty()) {
                                 start_leadership_round(group, primary ? primary->instance : "");
                             }
                         });
}

void upstream_router::request_confirmation(const std::string& group, const std::string& instance,
                                           std::vector<std::string> confirming_replicas,
                                           std::function<void(bool)> on_checked) {
    const auto primary = m_directory.primary(group);
    if (!primary || primary->instance != instance) {
        on_checked(false);
        return;
    }
    if (primary->term == 0) {
        // The primary is known only from the instance list: request its term first.
        send_command(
            instance, replication_command::report, 0,
            [this, group, instance, confirming_replicas = std::move(confirming_replicas),
             on_checked = std::move(on_checked)](const std::optional<replication_status>&) mutable {
                const auto reported_primary = m_directory.primary(group);
                if (!reported_primary || reported_primary->instance != instance ||
                    reported_primary->term == 0) {
                    on_checked(false);
                    return;
                }
                request_confirmation(group, instance, std::move(confirming_replicas),
                                     std::move(on_checked));
            });
        return;
    }
    const time_point now = event_loop::now();
    if (commits_without_replicas(group)) {
        if (is_sole_member(group, instance)) {
            on_checked(true);
            return;
        }
        if (confirming_replicas.empty() || !established_in(group).in_contact(instance, now)) {
            prove_without_replicas(group, instance, std::move(on_checked));
            return;
        }
    }
    if (confirming_replicas.empty()) {
        on_checked(false);
        return;
    }
    if (!contact_with(group).contact.unbroken(now)) {
        prove_leadership(group, then_ask_those_in_doubt(group, instance, std::move(on_checked)));
        return;
    }
    const std::string replica = confirming_replicas.front();
    confirming_replicas.erase(confirming_replicas.begin());
    send_command(
        replica, replication_command::report, 0,
        [this, group, instance, replica, requested_at = event_loop::now(),
         confirming_replicas = std::move(confirming_replicas), on_checked = std::move(on_checked)](
            const std::optional<replication_status>& status) mutable {
            const auto current_primary = m_directory.primary(group);
            if (!status || !established_in(group).is_established(replica)) {
                request_confirmation(group, instance, std::move(confirming_replicas),
                                     std::move(on_checked));
                return;
            }
            if (!current_primary || current_primary->instance != instance ||
                !confirms_leadership(*status, *current_primary)) {
                on_checked(false);
                return;
            }
            const bool vouched = vouches(group, replica, *status, requested_at);
            if (!vouched && !confirming_replicas.empty()) {
                request_confirmation(group, instance, std::move(confirming_replicas),
                                     std::move(on_checked));
                return;
            }
            auto on_proved = then_ask_those_in_doubt(group, instance, std::move(on_checked));
            if (vouched) {
                require_contact(group, std::move(on_proved));
            } else {
                prove_leadership(group, std::move(on_proved));
            }
        });
}

// The replicas of a group whose commits don't need them may be gone, while its primary goes on.
// Then only the claim shows whether one of them was promoted before.
void upstream_router::prove_without_replicas(const std::string& group, const std::string& instance,
                                             std::function<void(bool)> on_checked) {
    auto on_proved = then_ask_those_in_doubt(group, instance, std::move(on_checked));
    if (is_proved_lately(group, instance)) {
        on_proved(true);
    } else {
        prove_leadership(group, std::move(on_proved));
    }
}

// The instances in doubt are asked last: restoring contact reads the claim that names them.
std::function<void(bool)>
upstream_router::then_ask_those_in_doubt(const std::string& group, const std::string& instance,
                                         std::function<void(bool)> on_checked) {
    return [this, group, instance, on_checked = std::move(on_checked)](bool proved) {
        if (proved) {
            ask_those_in_doubt(group, instance, on_checked);
        } else {
            on_checked(false);
        }
    };
}

// An instance that may begin to lead at any time has to answer that it doesn't.
void upstream_router::ask_those_in_doubt(const std::string& group, const std::string& instance,
                                         const std::function<void(bool)>& on_checked) {
    const std::set<std::string> asked = others_in_doubt(group, instance);
    if (asked.empty()) {
        on_checked(true);
        return;
    }
    const auto unanswered = std::make_shared<std::size_t>(asked.size());
    const auto all_confirm = std::make_shared<bool>(true);
    for (const auto& id : asked) {
        send_command(id, replication_command::report, 0,
                     [this, group, instance, on_checked, unanswered,
                      all_confirm](const std::optional<replication_status>& status) {
                         const auto primary = m_directory.primary(group);
                         *all_confirm = *all_confirm && status && primary &&
                                        primary->instance == instance &&
                                        confirms_leadership(*status, *primary);
                         if (--*unanswered == 0) {
                             on_checked(*all_confirm);
                         }
                     });
    }
}

} // namespace bronzeplank
