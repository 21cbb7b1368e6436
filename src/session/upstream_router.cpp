#include "session/upstream_router.hpp"

#include "bronzeplank/gateway_order.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

bool has_replicas(const fleet_directory& directory, const std::string& group,
                  const std::string& primary) {
    const upstream_list& members = directory.members(group);
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& entry) { return entry.first != primary; });
}

} // namespace

// Where commits need a replica, one that isn't listed may have been promoted.
bool upstream_router::commits_without_replicas(const std::string& group) const {
    const auto& configuration = m_directory.configuration();
    if (!configuration) {
        return false;
    }
    const auto policy = configuration->groups.find(group);
    return policy != configuration->groups.end() && policy->second.sync_replicas == 0;
}

upstream_router::upstream_router(event_loop& loop, std::string host, std::string failure_domain,
                                 fleet_directory& directory)
    : m_loop(loop), m_host(std::move(host)), m_failure_domain(std::move(failure_domain)),
      m_directory(directory) {}

void upstream_router::connect(fleet& peers, local_gateway gateway) {
    m_fleet = &peers;
    m_gateway = std::move(gateway);
}

// Asked several times a statement, while hosts rarely come or go.
std::string upstream_router::gateway_of(const upstream_instance& instance) const {
    if (m_gateways_view != m_fleet->view()) {
        m_gateways_view = m_fleet->view();
        m_gateways.clear();
    }
    const auto own = m_gateway.state(instance.id);
    const bool cut_off_here = own && !own->reachable;
    gateway_choice& known = m_gateways[instance.id];
    if (known.host.empty() || known.leaving != m_leaving || known.cut_off_here != cut_off_here) {
        known = {find_gateway(instance, cut_off_here), m_leaving, cut_off_here};
    }
    return known.host;
}

std::string upstream_router::find_gateway(const upstream_instance& instance,
                                          bool cut_off_here) const {
    std::vector<gateway_candidate> candidates;
    for (const fleet_peer* peer : m_fleet->live(event_loop::now())) {
        if (!peer->leaving) {
            const auto lane = peer->lanes.find(instance.id);
            const bool cut_off = lane != peer->lanes.end() && !lane->second.reachable;
            candidates.push_back({peer->host, peer->failure_domain, cut_off});
        }
    }
    if (!m_leaving || candidates.empty()) {
        candidates.push_back({m_host, m_failure_domain, cut_off_here});
    }
    return order_gateways(instance.id, instance.failure_domain, candidates).front();
}

void upstream_router::run(const std::string& host, const upstream_work& work,
                          answer_handler answered) {
    if (host == m_host) {
        m_gateway.run(work, std::move(answered));
    } else {
        m_fleet->run(host, work, std::move(answered));
    }
}

void upstream_router::end_transaction(const std::string& host, const std::string& instance,
                                      const transaction_key& key) {
    if (host == m_host) {
        m_gateway.end_transaction(instance, key);
    } else {
        m_fleet->end_transaction(host, instance, key);
    }
}

void upstream_router::order(const std::string& instance, replication_command what,
                            std::uint64_t term, status_handler reported) {
    const upstream_instance* listed = m_directory.instance(instance);
    if (listed == nullptr) {
        reported(std::nullopt);
        return;
    }
    auto learning = [this, instance, reported = std::move(reported)](
                        const std::optional<replication_status>& status) {
        if (status) {
            learn(instance, *status);
        }
        reported(status);
    };
    const std::string host = gateway_of(*listed);
    if (host == m_host) {
        m_gateway.order(instance, what, term, std::move(learning));
    } else {
        m_fleet->order(host, instance, what, term, std::move(learning));
    }
}

void upstream_router::learn(const std::string& instance, const replication_status& status) {
    const upstream_instance* listed = m_directory.instance(instance);
    if (listed == nullptr) {
        return;
    }
    primary_tracker& belief = m_directory.primary_tracker_for(listed->group);
    if (status.role == replication_role::primary) {
        belief.record_primary(instance, status.term);
    } else {
        belief.record_replica(instance, status.term);
    }
}

void upstream_router::sample(const std::string& group, sample_handler sampled) {
    const auto primary = m_directory.primary(group);
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    if (listed == nullptr) {
        sampled(std::nullopt);
        return;
    }
    const std::string host = gateway_of(*listed);
    if (host == m_host) {
        sample_here(group, std::move(sampled));
    } else {
        m_fleet->sample(host, group, std::move(sampled));
    }
}

void upstream_router::sample_here(const std::string& group, sample_handler sampled) {
    sample_round& round = m_samples[group];
    round.waiting.push_back(std::move(sampled));
    if (round.scheduled) {
        return;
    }
    const time_point now = event_loop::now();
    const time_point next = round.started + sample_spacing;
    if (next <= now) {
        run_sample_round(group);
        return;
    }
    round.scheduled = true;
    round.delay = m_loop.after(next - now, [this, group] { run_sample_round(group); });
}

void upstream_router::run_sample_round(const std::string& group) {
    sample_round& round = m_samples[group];
    round.scheduled = false;
    round.started = event_loop::now();
    take_sample(group, [asking = std::exchange(round.waiting, {})](
                           const std::optional<log_position>& position) {
        for (const auto& sampled : asking) {
            sampled(position);
        }
    });
}

void upstream_router::take_sample(const std::string& group, sample_handler sampled) {
    const auto primary = m_directory.primary(group);
    if (!primary) {
        sampled(std::nullopt);
        return;
    }
    struct parts {
        std::optional<bool> proved;
        bool asked = false;
        std::optional<log_position> position;
        sample_handler sampled;

        void deliver_if_whole() const {
            if (proved && asked) {
                sampled(*proved ? position : std::nullopt);
            }
        }
    };
    auto whole = std::make_shared<parts>();
    whole->sampled = std::move(sampled);
    order(primary->instance, replication_command::report, 0,
          [whole](const std::optional<replication_status>& status) {
              whole->asked = true;
              if (status && status->role == replication_role::primary) {
                  whole->position = status->received;
              }
              whole->deliver_if_whole();
          });
    prove(group, primary->instance, [whole](bool proved) {
        whole->proved = proved;
        whole->deliver_if_whole();
    });
}

std::vector<std::string> upstream_router::witnesses(const std::string& group,
                                                    const std::string& primary) const {
    std::vector<std::string> found;
    for (const auto& [id, instance] : m_directory.members(group)) {
        if (id != primary) {
            found.push_back(id);
        }
    }
    const auto prefer = [this](const std::string& id) {
        const upstream_instance* listed = m_directory.instance(id);
        return std::pair(!state_of(*listed).reachable, listed->failure_domain != m_failure_domain);
    };
    std::stable_sort(found.begin(), found.end(), [&](const auto& left, const auto& right) {
        return prefer(left) < prefer(right);
    });
    return found;
}

void upstream_router::prove(const std::string& group, const std::string& instance,
                            std::function<void(bool)> proved) {
    const auto primary = m_directory.primary(group);
    if (!primary || primary->instance != instance) {
        proved(false);
        return;
    }
    proof_round& round = m_rounds[group];
    round.waiting.push_back({instance, std::move(proved)});
    if (!round.running) {
        start_round(group, instance);
    }
}

void upstream_router::start_round(const std::string& group, const std::string& instance) {
    proof_round& round = m_rounds[group];
    round.running = true;
    auto asking = std::exchange(round.waiting, {});
    ask_witness(group, instance, witnesses(group, instance),
                [this, group, instance, asking = std::move(asking)](bool proved) {
                    // The primary may have changed since a question was asked of another one.
                    for (const auto& question : asking) {
                        question.proved(proved && question.instance == instance);
                    }
                    proof_round& finished = m_rounds[group];
                    finished.running = false;
                    const auto primary = m_directory.primary(group);
                    if (!finished.waiting.empty()) {
                        start_round(group, primary ? primary->instance : "");
                    }
                });
}

void upstream_router::ask_witness(const std::string& group, const std::string& instance,
                                  std::vector<std::string> witnesses,
                                  std::function<void(bool)> proved) {
    const auto primary = m_directory.primary(group);
    if (!primary || primary->instance != instance) {
        proved(false);
        return;
    }
    if (primary->term == 0) {
        // Only the list names it: its term is asked first.
        order(instance, replication_command::report, 0,
              [this, group, instance, witnesses = std::move(witnesses),
               proved = std::move(proved)](const std::optional<replication_status>&) mutable {
                  const auto asked = m_directory.primary(group);
                  if (!asked || asked->instance != instance || asked->term == 0) {
                      proved(false);
                      return;
                  }
                  ask_witness(group, instance, std::move(witnesses), std::move(proved));
              });
        return;
    }
    if (witnesses.empty()) {
        const bool alone =
            !has_replicas(m_directory, group, instance) && commits_without_replicas(group);
        proved(alone);
        return;
    }
    const std::string witness = witnesses.front();
    witnesses.erase(witnesses.begin());
    order(witness, replication_command::report, 0,
          [this, group, instance, witnesses = std::move(witnesses),
           proved = std::move(proved)](const std::optional<replication_status>& status) mutable {
              const auto now_primary = m_directory.primary(group);
              if (!status) {
                  ask_witness(group, instance, std::move(witnesses), std::move(proved));
                  return;
              }
              proved(now_primary && now_primary->instance == instance &&
                     confirms_leadership(*status, *now_primary));
          });
}

lane_state upstream_router::state_of(const upstream_instance& instance) const {
    const std::string host = gateway_of(instance);
    if (host == m_host) {
        return m_gateway.state(instance.id).value_or(lane_state{});
    }
    const fleet_peer* peer = m_fleet->find(host);
    if (peer == nullptr) {
        return {};
    }
    const auto found = peer->lanes.find(instance.id);
    return found == peer->lanes.end() ? lane_state{} : found->second;
}

upstream_router::reach_votes upstream_router::votes_on(const std::string& instance) const {
    reach_votes votes;
    const auto own = m_gateway.state(instance);
    votes.cut_off_here = own && !own->reachable;
    votes.cut_off = m_fleet->unreachable_from(instance) + (votes.cut_off_here ? 1 : 0);
    // Asked for every instance many times a second, while hardly ever anybody is cut off.
    votes.hosts =
        votes.cut_off == 0 ? 0 : static_cast<int>(m_fleet->known_hosts(event_loop::now()));
    return votes;
}

} // namespace bronzeplank
