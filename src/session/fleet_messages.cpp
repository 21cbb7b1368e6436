#include "session/fleet_messages.hpp"

#include "peer.pb.h"

namespace bronzeplank {

void write_work(const upstream_work& work, wire::upstream_work& into) {
    into.set_group(work.group);
    into.set_instance(work.instance);
    into.set_workspace(work.workspace);
    into.set_kind(static_cast<std::uint32_t>(work.request.kind));
    into.set_statement_id(work.request.id);
    into.set_text(work.request.text);
    into.set_argument(work.request.argument);
    into.set_shape_writes(work.request.shape.writes);
    into.set_shape_text(work.request.shape.text);
    for (const auto& [name, value] : work.values) {
        auto* added = into.add_values();
        added->set_name(name);
        added->set_value(value);
    }
    into.set_has_position(work.min_position.has_value());
    if (work.min_position) {
        into.set_term(work.min_position->term);
        into.set_offset(work.min_position->offset);
    }
    into.set_transaction(work.transaction ? work.transaction->number : 0);
    into.set_opens_transaction(work.opens_transaction);
    into.set_read_only_transaction(work.read_only_transaction);
    into.set_read_only_work(work.read_only_work);
    into.set_strict(work.strict);
    into.set_priority(work.priority);
    into.set_objective_left_us(work.objective_left.count());
    into.set_time_left_us(work.time_left.count());
}

upstream_work read_work(const std::string& from, const wire::upstream_work& message) {
    upstream_work work;
    work.group = message.group();
    work.instance = message.instance();
    work.workspace = message.workspace();
    work.request.kind = static_cast<statement_kind>(message.kind());
    work.request.id = message.statement_id();
    work.request.text = message.text();
    work.request.argument = message.argument();
    work.request.shape = {message.shape_writes(), message.shape_text()};
    for (const auto& value : message.values()) {
        work.values.emplace_back(value.name(), value.value());
    }
    if (message.has_position()) {
        work.min_position = log_position{message.term(), message.offset()};
    }
    if (message.transaction() != 0) {
        work.transaction = transaction_key{from, message.transaction()};
    }
    work.opens_transaction = message.opens_transaction();
    work.read_only_transaction = message.read_only_transaction();
    work.read_only_work = message.read_only_work();
    work.strict = message.strict();
    work.priority = message.priority();
    work.objective_left = duration(message.objective_left_us());
    work.time_left = duration(message.time_left_us());
    return work;
}

void write_answer(const statement_answer& answer, wire::upstream_answer& into) {
    into.set_result(static_cast<std::uint32_t>(answer.result));
    for (const auto& row : answer.rows) {
        into.add_rows(row);
    }
    into.set_signature(answer.signature);
    into.set_term(answer.position.term);
    into.set_offset(answer.position.offset);
}

statement_answer read_answer(const wire::upstream_answer& message) {
    return {static_cast<upstream_result>(message.result()),
            {message.rows().begin(), message.rows().end()},
            message.signature(),
            {message.term(), message.offset()}};
}

void write_report(const std::optional<replication_status>& status, wire::replication_report& into) {
    into.set_answered(status.has_value());
    if (status) {
        into.set_primary(status->role == replication_role::primary);
        into.set_term(status->term);
        into.set_received_term(status->received.term);
        into.set_received_offset(status->received.offset);
        into.set_paused_by(status->paused_by);
    }
}

std::optional<replication_status> read_report(const wire::replication_report& message) {
    if (!message.answered()) {
        return std::nullopt;
    }
    const auto role = message.primary() ? replication_role::primary : replication_role::replica;
    return replication_status{role,
                              message.term(),
                              {message.received_term(), message.received_offset()},
                              message.paused_by()};
}

void write_directory(const directory_copy& copy, wire::directory_copy& into) {
    into.set_configuration_version(copy.configuration_version);
    into.set_configuration(copy.configuration_text);
    into.set_list_revision(copy.list_revision);
    for (const auto& [id, instance] : copy.instances) {
        auto* added = into.add_instances();
        added->set_id(id);
        added->set_group(instance.group);
        added->set_failure_domain(instance.failure_domain);
        added->set_address(instance.address.address);
        added->set_port(instance.address.port);
        added->set_slots(instance.slots);
        added->set_leaving(instance.leaving);
        added->set_says_primary(instance.says_primary);
        added->set_born_ms(instance.born_ms);
    }
    for (const auto& domain : copy.withdrawn_domains) {
        into.add_withdrawn_domains(domain);
    }
}

directory_copy read_directory(const wire::directory_copy& message) {
    directory_copy copy;
    copy.configuration_version = message.configuration_version();
    copy.configuration_text = message.configuration();
    copy.list_revision = message.list_revision();
    for (const auto& listed : message.instances()) {
        copy.instances[listed.id()] = {
            listed.id(),
            listed.group(),
            listed.failure_domain(),
            {listed.address(), static_cast<std::uint16_t>(listed.port())},
            listed.slots(),
            listed.leaving(),
            listed.says_primary(),
            listed.born_ms()};
    }
    copy.withdrawn_domains = {message.withdrawn_domains().begin(),
                              message.withdrawn_domains().end()};
    return copy;
}

} // namespace bronzeplank
