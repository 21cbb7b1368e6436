// The router's confirmation that commits outlast a failover.
#include "session/upstream_router.hpp"

#include "runtime/log.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

// A commit that no established replica has received by then has an unknown outcome.
constexpr std::chrono::milliseconds commit_confirmation_timeout{600};
constexpr std::chrono::milliseconds commit_round_pause{4};
// A commit that took longer may have waited until an instance received it that no host knows yet.
constexpr std::chrono::milliseconds delayed_commit_threshold{150};

void log_confirmed(const std::string& group, const std::string& primary, const std::string& replica,
                   const log_position& position, const replication_status& status) {
    log(log_event::commit_confirmed,
        {{"group", group},
         {"position", to_text(position)},
         {"primary", primary},
         {"replica", replica},
         {"connected_ms",
          status.connected_for ? std::to_string(to_milliseconds(*status.connected_for)) : ""}});
}

} // namespace

// A host that starts later accounts for the stored members only. Without knowing them, as while the
// platform is away, this host relies on the list.
bool upstream_router::is_stored(const std::string& group, const std::string& instance) const {
    const std::set<std::string>* stored =
        m_sources.stored_members ? m_sources.stored_members(group) : nullptr;
    return stored == nullptr || stored->contains(instance);
}

bool upstream_router::commits_need_confirmation(const std::string& group,
                                                const std::string& instance, duration took) {
    if (is_sole_member(group, instance)) {
        return false;
    }
    if (!others_in_doubt(group, instance).empty()) {
        return true;
    }
    const established_replicas& replicas = established_in(group);
    const upstream_list& members = m_directory.members(group);
    const bool has_new = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return entry.first != instance &&
               !(replicas.is_established(entry.first) && is_stored(group, entry.first));
    });
    const time_point now = event_loop::now();
    return has_new || took > delayed_commit_threshold || !replicas.in_contact(instance, now) ||
           !contact_with(group).contact.unbroken(now);
}

// The instances, other than the primary, that may run and may begin to lead at any time.
std::set<std::string> upstream_router::others_in_doubt(const std::string& group,
                                                       const std::string& primary) const {
    std::set<std::string> found =
        m_sources.in_doubt ? m_sources.in_doubt(group) : std::set<std::string>();
    if (found.empty()) {
        return found;
    }
    const std::set<std::string> members = members_of(group);
    std::erase_if(found,
                  [&](const std::string& id) { return id == primary || !members.contains(id); });
    return found;
}

bool upstream_router::is_received(const std::string& group, const std::string& primary,
                                  const commit_request& request) const {
    const std::set<std::string> in_doubt = others_in_doubt(group, primary);
    return request.established_has_it &&
           std::all_of(in_doubt.begin(), in_doubt.end(),
                       [&](const auto& id) { return request.received_by.contains(id); });
}

void upstream_router::record_received(const std::string& group, const known_primary& primary,
                                      const std::string& replica, const replication_status& status,
                                      time_point requested_at) {
    if (!confirms_leadership(status, primary)) {
        return;
    }
    const bool suffices =
        vouches(group, replica, status, requested_at) && is_stored(group, replica);
    std::vector<commit_request> received;
    std::erase_if(m_commit_rounds[group].waiting, [&](commit_request& request) {
        if (request.position.term != primary.term || status.received < request.position) {
            return false;
        }
        request.received_by.insert(replica);
        request.established_has_it |= suffices;
        const bool enough = is_received(group, primary.instance, request);
        if (enough) {
            received.push_back(std::move(request));
        }
        return enough;
    });
    for (auto& request : received) {
        log_confirmed(group, primary.instance, replica, request.position, status);
        acknowledge_in_contact(group, primary.instance, std::move(request));
    }
}

// To restore contact, the claim is read, which may name instances that are in doubt.
void upstream_router::acknowledge_in_contact(const std::string& group, const std::string& instance,
                                             commit_request request) {
    require_contact(group, [this, group, instance, request = std::move(request)](bool holds) {
        if (!holds || is_received(group, instance, request)) {
            request.on_confirmed(holds);
            return;
        }
        commit_round& round = m_commit_rounds[group];
        round.waiting.push_back(request);
        if (!round.running) {
            start_commit_round(group, instance);
        }
    });
}

bool upstream_router::can_acknowledge(const std::string& group, const std::string& instance) {
    return !commits_without_replicas(group) || is_sole_member(group, instance) ||
           is_proved_lately(group, instance);
}

// A commit that no replica has to receive may be acknowledged if the primary led when it was
// committed: the successor's term then begins later.
void upstream_router::confirm_unreplicated_commit(const std::string& group,
                                                  const known_primary& primary,
                                                  std::function<void(bool)> on_confirmed) {
    const bool undoubted = others_in_doubt(group, primary.instance).empty();
    if (is_sole_member(group, primary.instance) ||
        (undoubted && is_proved_lately(group, primary.instance))) {
        on_confirmed(true);
        return;
    }
    check_leadership(group, primary.instance,
                     [this, group, primary, on_confirmed = std::move(on_confirmed)](bool leads) {
                         on_confirmed(leads && m_directory.primary(group) == primary);
                     });
}

// An answer's position is the end of the instance's log. Its term doesn't show that the instance
// leads that term: it may have lost the lead after the commit and follow the new primary by now.
// Only a status names role and term together.
void upstream_router::confirm_commit(const std::string& group, const std::string& instance,
                                     const log_position& position, duration took,
                                     std::function<void(bool)> on_confirmed) {
    const known_primary committer{instance, position.term};
    const known_primary primary = m_directory.primary(group).value_or(known_primary{});
    if (primary == committer) {
        confirm_commit_of_primary(group, committer, position, took, std::move(on_confirmed));
        return;
    }
    if (position.term <= primary.term) {
        on_confirmed(false);
        return;
    }
    send_command(instance, replication_command::report, 0,
                 [this, group, committer, position, took, on_confirmed = std::move(on_confirmed)](
                     const std::optional<replication_status>&) {
                     if (m_directory.primary(group) == committer) {
                         confirm_commit_of_primary(group, committer, position, took, on_confirmed);
                     } else {
                         on_confirmed(false);
                     }
                 });
}

void upstream_router::confirm_commit_of_primary(const std::string& group,
                                                const known_primary& primary,
                                                const log_position& position, duration took,
                                                std::function<void(bool)> on_confirmed) {
    const std::string& instance = primary.instance;
    contact_with(group).used_at = event_loop::now();
    if (commits_without_replicas(group)) {
        confirm_unreplicated_commit(group, primary, std::move(on_confirmed));
        return;
    }
    if (!commits_need_confirmation(group, instance, took)) {
        on_confirmed(true);
        return;
    }
    commit_round& round = m_commit_rounds[group];
    round.waiting.push_back(
        {position, event_loop::now() + commit_confirmation_timeout, std::move(on_confirmed)});
    if (!round.running) {
        start_commit_round(group, instance);
    }
}

// One round asks every established replica and serves all commits that wait. The next one starts
// when all have answered, if a commit still waits.
void upstream_router::start_commit_round(const std::string& group, const std::string& instance) {
    commit_round& round = m_commit_rounds[group];
    round.running = true;
    std::vector<std::string> replicas = confirming_replicas(group, instance);
    for (const auto& id : others_in_doubt(group, instance)) {
        if (std::find(replicas.begin(), replicas.end(), id) == replicas.end()) {
            replicas.push_back(id);
        }
    }
    const auto unanswered = std::make_shared<std::size_t>(replicas.size());
    if (replicas.empty()) {
        finish_commit_round(group);
        return;
    }
    const time_point requested_at = event_loop::now();
    for (const auto& replica : replicas) {
        send_command(replica, replication_command::report, 0,
                     [this, group, instance, replica, requested_at,
                      unanswered](const std::optional<replication_status>& status) {
                         const auto primary = m_directory.primary(group);
                         if (status && primary && primary->instance == instance) {
                             record_received(group, *primary, replica, *status, requested_at);
                         }
                         if (--*unanswered == 0) {
                             finish_commit_round(group);
                         }
                     });
    }
}

void upstream_router::finish_commit_round(const std::string& group) {
    commit_round& round = m_commit_rounds[group];
    const time_point now = event_loop::now();
    const auto primary = m_directory.primary(group);
    std::vector<commit_request> expired;
    std::erase_if(round.waiting, [&](commit_request& request) {
        const bool superseded = !primary || primary->term != request.position.term;
        const bool late = superseded || request.deadline <= now;
        if (late) {
            expired.push_back(std::move(request));
        }
        return late;
    });
    round.running = !round.waiting.empty();
    if (round.running) {
        round.delay = m_loop.after(commit_round_pause, [this, group, instance = primary->instance] {
            start_commit_round(group, instance);
        });
    }
    for (const auto& request : expired) {
        request.on_confirmed(false);
    }
}

} // namespace bronzeplank
