#include "session/upstream_router.hpp"

namespace bronzeplank {

upstream_router::upstream_router(event_loop& loop, std::string host, std::string failure_domain,
                                 fleet_directory& directory)
    : m_loop(loop), m_gateways(std::move(host), std::move(failure_domain)), m_directory(directory) {
}

void upstream_router::connect(fleet& peers, local_gateway gateway) {
    m_fleet = &peers;
    m_gateway = std::move(gateway);
    m_gateways.connect(peers, m_gateway.status);
}

void upstream_router::run(const std::string& host, const upstream_work& work,
                          answer_handler on_answer) {
    if (host == m_gateways.host()) {
        m_gateway.run(work, std::move(on_answer));
    } else {
        m_fleet->run(host, work, std::move(on_answer));
    }
}

void upstream_router::end_transaction(const std::string& host, const std::string& instance,
                                      const transaction_key& key) {
    if (host == m_gateways.host()) {
        m_gateway.end_transaction(instance, key);
    } else {
        m_fleet->end_transaction(host, instance, key);
    }
}

void upstream_router::drop_work(const std::string& host, const std::string& instance,
                                const work_key& key) {
    if (host == m_gateways.host()) {
        m_gateway.drop(instance, key);
    } else {
        m_fleet->drop_work(host, instance, key);
    }
}

time_point upstream_router::last_heard(const std::string& host) const {
    if (host == m_gateways.host()) {
        return event_loop::now();
    }
    const fleet_peer* peer = m_fleet->find_live(host);
    return peer == nullptr ? time_point{} : peer->last_received;
}

void upstream_router::send_command(const std::string& instance, replication_command command,
                                   std::uint64_t term, status_handler on_status) {
    const upstream_instance* listed = m_directory.instance(instance);
    if (listed == nullptr) {
        on_status(std::nullopt);
        return;
    }
    auto recording = [this, instance, requested_at = event_loop::now(),
                      on_status =
                          std::move(on_status)](const std::optional<replication_status>& status) {
        if (status) {
            record_status(instance, *status, requested_at);
        }
        on_status(status);
    };
    const std::string host = gateway_of(*listed);
    if (host == m_gateways.host()) {
        m_gateway.send_command(instance, command, term, std::move(recording));
    } else {
        m_fleet->send_command(host, instance, command, term, std::move(recording));
    }
}

void upstream_router::record_status(const std::string& instance, const replication_status& status,
                                    time_point requested_at) {
    const upstream_instance* listed = m_directory.instance(instance);
    if (listed == nullptr) {
        return;
    }
    primary_tracker& tracker = m_directory.primary_tracker_for(listed->group);
    if (status.role == replication_role::primary) {
        tracker.record_primary(instance, status.term, primary_evidence::status);
        // A primary that hasn't committed yet shows with which position its term began.
        if (status.received.term < status.term) {
            tracker.record_beginning({{instance, status.term}, status.received});
        }
    } else {
        tracker.record_replica(instance, status.term);
    }
    const auto primary = m_directory.primary(listed->group);
    if (!primary || !confirms_leadership(status, *primary)) {
        return;
    }
    group_contact& state = contact_with(listed->group);
    const time_point now = event_loop::now();
    if (!state.processes.covers(status, requested_at, now)) {
        read_claim_for_new_connections(listed->group);
        return;
    }
    established_replicas& replicas = established_in(listed->group);
    replicas.record_answer(instance, requested_at);
    if (replicas.is_established(instance)) {
        state.contact.record_confirmation(requested_at, now);
    }
}

void upstream_router::request_verified_position(const std::string& group,
                                                verified_position_handler on_position) {
    const auto primary = m_directory.primary(group);
    const upstream_instance* listed = primary ? m_directory.instance(primary->instance) : nullptr;
    if (listed == nullptr) {
        on_position(std::nullopt);
        return;
    }
    const std::string host = gateway_of(*listed);
    if (host == m_gateways.host()) {
        read_verified_position(group, std::move(on_position));
    } else {
        m_fleet->request_verified_position(host, group, std::move(on_position));
    }
}

void upstream_router::read_verified_position(const std::string& group,
                                             verified_position_handler on_position) {
    position_round& round = m_position_rounds[group];
    round.waiting.push_back(std::move(on_position));
    if (round.scheduled) {
        return;
    }
    const time_point now = event_loop::now();
    const time_point next = round.started_at + min_position_round_interval;
    if (next <= now) {
        run_position_round(group);
        return;
    }
    round.scheduled = true;
    round.delay = m_loop.after(next - now, [this, group] { run_position_round(group); });
}

void upstream_router::run_position_round(const std::string& group) {
    position_round& round = m_position_rounds[group];
    round.scheduled = false;
    round.started_at = event_loop::now();
    verify_position(group, [requests = std::exchange(round.waiting, {})](
                               const std::optional<log_position>& position) {
        for (const auto& on_position : requests) {
            on_position(position);
        }
    });
}

void upstream_router::verify_position(const std::string& group,
                                      verified_position_handler on_position) {
    const auto primary = m_directory.primary(group);
    if (!primary) {
        on_position(std::nullopt);
        return;
    }
    struct pending_position {
        std::optional<bool> confirmed;
        bool status_received = false;
        std::optional<log_position> position;
        verified_position_handler on_position;

        void deliver_if_complete() const {
            if (confirmed && status_received) {
                on_position(*confirmed ? position : std::nullopt);
            }
        }
    };
    auto pending = std::make_shared<pending_position>();
    pending->on_position = std::move(on_position);
    send_command(primary->instance, replication_command::report, 0,
                 [pending](const std::optional<replication_status>& status) {
                     pending->status_received = true;
                     if (status && status->role == replication_role::primary) {
                         pending->position = status->received;
                     }
                     pending->deliver_if_complete();
                 });
    check_leadership(group, primary->instance, [pending](bool confirmed) {
        pending->confirmed = confirmed;
        pending->deliver_if_complete();
    });
}

} // namespace bronzeplank
