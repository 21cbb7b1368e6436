#include "session/fleet_messages.hpp"

#include "peer.pb.h"

#include "bronzeplank/error.hpp"

#include <algorithm>
#include <limits>

namespace bronzeplank {

namespace {

template <class Enum>
Enum read_enum(std::uint32_t value, Enum last, const char* field) {
    if (value > static_cast<std::uint32_t>(last)) {
        throw input_error(field, "a known value", std::to_string(value));
    }
    return static_cast<Enum>(value);
}

// Weights are rates of workspaces; the limits keep the division of slot times by them exact.
double read_weight(double value) {
    constexpr double min_weight = 1e-3;
    constexpr double max_weight = 1e6;
    return value > 0 ? std::clamp(value, min_weight, max_weight) : 1;
}

upstream_instance read_instance(const wire::listed_instance& message) {
    if (message.port() == 0 || message.port() > std::numeric_limits<std::uint16_t>::max()) {
        throw input_error("port", "1 to 65535", std::to_string(message.port()));
    }
    if (message.slots() < 1) {
        throw input_error("slots", "at least 1", std::to_string(message.slots()));
    }
    return {message.id(),
            message.group(),
            message.failure_domain(),
            {message.address(), static_cast<std::uint16_t>(message.port())},
            message.slots(),
            message.leaving(),
            message.says_primary(),
            message.born_ms(),
            message.sequence()};
}

void write_load(const load_report& load, wire::upstream_answer& target) {
    target.set_queued(static_cast<std::uint32_t>(std::max(load.queued, 0)));
    target.set_running(static_cast<std::uint32_t>(std::max(load.running, 0)));
    target.set_mean_work_us(static_cast<std::uint64_t>(load.work_time.count()));
    if (load.position) {
        target.set_log_term(load.position->term);
        target.set_log_offset(load.position->offset);
        target.set_log_age_us(static_cast<std::uint64_t>(load.position_age.count()));
    }
}

// A count far above any queue's capacity, so that arithmetic on a wrong one stays within range.
constexpr std::uint32_t max_reported_count = 1'000'000;
// For the same reason; no statement runs for so long.
constexpr std::uint64_t max_reported_us = 3'600'000'000;

duration read_duration(std::uint64_t microseconds) {
    return duration(static_cast<std::int64_t>(std::min(microseconds, max_reported_us)));
}

std::optional<load_report> read_load(const wire::upstream_answer& message) {
    if (!message.has_queued() || !message.has_running()) {
        return std::nullopt;
    }
    load_report load;
    load.queued = static_cast<int>(std::min(message.queued(), max_reported_count));
    load.running = static_cast<int>(std::min(message.running(), max_reported_count));
    load.work_time = read_duration(message.mean_work_us());
    if (message.has_log_term()) {
        load.position = log_position{message.log_term(), message.log_offset()};
        load.position_age = read_duration(message.log_age_us());
    }
    return load;
}

} // namespace

void write_work(const upstream_work& work, wire::upstream_work& target) {
    target.set_group(work.group);
    target.set_instance(work.instance);
    target.set_workspace(work.workspace);
    target.set_kind(static_cast<std::uint32_t>(work.request.kind));
    target.set_statement_id(work.request.id);
    target.set_text(work.request.text);
    target.set_argument(work.request.argument);
    target.set_shape_writes(work.request.shape.writes);
    target.set_shape_text(work.request.shape.text);
    for (const auto& [name, value] : work.values) {
        auto* added = target.add_values();
        added->set_name(name);
        added->set_value(value);
    }
    target.set_has_position(work.min_position.has_value());
    if (work.min_position) {
        target.set_term(work.min_position->term);
        target.set_offset(work.min_position->offset);
    }
    target.set_transaction(work.transaction ? work.transaction->number : 0);
    target.set_opens_transaction(work.opens_transaction);
    target.set_read_only_transaction(work.read_only_transaction);
    target.set_read_only_work(work.read_only_work);
    target.set_number(work.key.number);
    target.set_weight(static_cast<float>(work.weight));
    target.set_strict(work.strict);
    target.set_priority(work.priority);
    target.set_objective_left_us(work.objective_left.count());
    target.set_time_left_us(work.time_left.count());
}

upstream_work read_work(const std::string& from, const wire::upstream_work& message) {
    upstream_work work;
    work.key = {from, message.number()};
    work.group = message.group();
    work.instance = message.instance();
    work.workspace = message.workspace();
    work.request.kind = read_enum(message.kind(), statement_kind::unknown, "kind");
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
    work.weight = read_weight(message.weight());
    return work;
}

void write_answer(const statement_answer& answer, wire::upstream_answer& target) {
    target.set_result(static_cast<std::uint32_t>(answer.result));
    for (const auto& row : answer.rows) {
        target.add_rows(row);
    }
    target.set_signature(answer.signature);
    target.set_term(answer.position.term);
    target.set_offset(answer.position.offset);
    target.set_run_us(static_cast<std::uint64_t>(answer.run_time.count()));
    target.set_lowest_commit_term(answer.lowest_commit.term);
    target.set_lowest_commit_offset(answer.lowest_commit.offset);
    if (answer.load) {
        write_load(*answer.load, target);
    }
}

statement_answer read_answer(const wire::upstream_answer& message) {
    return {read_enum(message.result(), upstream_result::unanswered, "result"),
            {message.rows().begin(), message.rows().end()},
            message.signature(),
            {message.term(), message.offset()},
            read_duration(message.run_us()),
            read_load(message),
            {message.lowest_commit_term(), message.lowest_commit_offset()}};
}

void write_report(const std::optional<replication_status>& status,
                  wire::replication_report& target) {
    target.set_answered(status.has_value());
    if (status) {
        target.set_primary(status->role == replication_role::primary);
        target.set_term(status->term);
        target.set_received_term(status->received.term);
        target.set_received_offset(status->received.offset);
        target.set_paused_by(status->paused_by);
        if (status->connected_for) {
            target.set_connected_ms(
                static_cast<std::uint64_t>(to_milliseconds(*status->connected_for)));
        }
    }
}

replication_command read_command(const wire::replication_request& message) {
    return read_enum(message.order(), replication_command::hold, "order");
}

std::optional<replication_status> read_report(const wire::replication_report& message) {
    if (!message.answered()) {
        return std::nullopt;
    }
    const auto role = message.primary() ? replication_role::primary : replication_role::replica;
    replication_status status{role,
                              message.term(),
                              {message.received_term(), message.received_offset()},
                              message.paused_by()};
    if (message.has_connected_ms()) {
        status.connected_for = std::chrono::milliseconds(
            std::min<std::uint64_t>(message.connected_ms(), max_reported_us / 1000));
    }
    return status;
}

void write_directory(const directory_snapshot& snapshot, wire::directory_snapshot& target) {
    target.set_configuration_version(snapshot.configuration_version);
    target.set_configuration(snapshot.configuration_text);
    target.set_list_era(snapshot.list_position.era);
    target.set_list_revision(snapshot.list_position.revision);
    target.set_withdrawals_era(snapshot.withdrawals_position.era);
    target.set_withdrawals_revision(snapshot.withdrawals_position.revision);
    for (const auto& [id, instance] : snapshot.instances) {
        auto* added = target.add_instances();
        added->set_id(id);
        added->set_group(instance.group);
        added->set_failure_domain(instance.failure_domain);
        added->set_address(instance.address.address);
        added->set_port(instance.address.port);
        added->set_slots(instance.slots);
        added->set_leaving(instance.leaving);
        added->set_says_primary(instance.says_primary);
        added->set_born_ms(instance.born_ms);
        added->set_sequence(instance.sequence);
    }
    for (const auto& domain : snapshot.withdrawn_domains) {
        target.add_withdrawn_domains(domain);
    }
}

directory_snapshot read_directory(const wire::directory_snapshot& message) {
    directory_snapshot snapshot;
    snapshot.configuration_version = message.configuration_version();
    snapshot.configuration_text = message.configuration();
    snapshot.list_position = {message.list_era(), message.list_revision()};
    snapshot.withdrawals_position = {message.withdrawals_era(), message.withdrawals_revision()};
    for (const auto& listed : message.instances()) {
        snapshot.instances[listed.id()] = read_instance(listed);
    }
    snapshot.withdrawn_domains = {message.withdrawn_domains().begin(),
                                  message.withdrawn_domains().end()};
    return snapshot;
}

void write_usage(const usage_update& update, wire::usage_update& target) {
    target.set_since_us(update.counting_since.time_since_epoch().count());
    target.set_closed_through(update.closed_through);
    for (const auto& [window, counts] : update.windows) {
        auto* added = target.add_windows();
        added->set_window(window);
        for (const auto& [workspace, count] : counts) {
            added->add_workspaces(workspace);
            added->add_counts(count);
        }
    }
}

usage_update read_usage(const wire::usage_update& message) {
    usage_update update;
    update.counting_since = utc_time(duration(message.since_us()));
    update.closed_through = message.closed_through();
    for (const auto& window : message.windows()) {
        if (window.workspaces_size() != window.counts_size()) {
            throw input_error("counts", "one for each workspace",
                              std::to_string(window.counts_size()));
        }
        usage_counts& counts = update.windows[window.window()];
        for (int i = 0; i < window.workspaces_size(); ++i) {
            counts[window.workspaces(i)] = window.counts(i);
        }
    }
    return update;
}

} // namespace bronzeplank
