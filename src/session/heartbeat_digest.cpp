#include "session/heartbeat_digest.hpp"

#include "bronzeplank/error.hpp"
#include "bronzeplank/log_position.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace bronzeplank {

namespace {

// Shares of a rate limit are divided well by demands that are rounded to a tenth of an operation
// per second; a rounded number takes one byte instead of four.
constexpr float demand_steps = 10;

/// Gives each different value an index.
class index_table {
public:
    /// \param add called with a new value
    template <class Add>
    std::uint32_t index_of(const std::string& value, Add add) {
        const auto [entry, is_new] =
            m_indexes.try_emplace(value, static_cast<std::uint32_t>(m_indexes.size()));
        if (is_new) {
            add();
        }
        return entry->second;
    }

private:
    std::map<std::string, std::uint32_t> m_indexes;
};

wire::directory_state directory_of(const wire::fleet_heartbeat& heartbeat) {
    wire::directory_state state;
    state.set_configuration_version(heartbeat.configuration_version());
    state.set_list_era(heartbeat.list_era());
    state.set_list_revision(heartbeat.list_revision());
    state.set_withdrawals_era(heartbeat.withdrawals_era());
    state.set_withdrawals_revision(heartbeat.withdrawals_revision());
    return state;
}

void write_demands(const wire::fleet_heartbeat& heartbeat, index_table& workspaces,
                   wire::digest_entry& entry, wire::heartbeat_digest& target) {
    for (const auto& demand : heartbeat.demands()) {
        entry.add_demand_workspaces(workspaces.index_of(
            demand.workspace(), [&] { target.add_workspaces(demand.workspace()); }));
        entry.add_demand_tenths(
            static_cast<std::uint32_t>(std::lround(demand.per_second() * demand_steps)));
        entry.add_demand_admitted(demand.admitted());
    }
}

// Everything that the digest carries elsewhere.
void clear_shared(wire::fleet_heartbeat& heartbeat) {
    heartbeat.clear_whole();
    heartbeat.clear_failure_domain();
    heartbeat.clear_configuration_version();
    heartbeat.clear_list_era();
    heartbeat.clear_list_revision();
    heartbeat.clear_withdrawals_era();
    heartbeat.clear_withdrawals_revision();
    heartbeat.clear_primaries();
    heartbeat.clear_demands();
    heartbeat.clear_acknowledged();
    heartbeat.clear_misses_digests();
}

} // namespace

void write_digest(const std::string& failure_domain, const std::vector<domain_heartbeat>& hosts,
                  wire::heartbeat_digest& target) {
    target.set_failure_domain(failure_domain);
    index_table workspaces;
    index_table directories;
    std::set<std::string> primaries;
    std::map<std::string, log_position> acknowledged;
    for (const domain_heartbeat& host : hosts) {
        auto* entry = target.add_hosts();
        entry->set_host(host.host);
        entry->set_incarnation(host.incarnation);
        entry->set_sent_ms(host.sent_ms);
        entry->set_age_ms(static_cast<std::uint32_t>(to_milliseconds(host.age)));
        *entry->mutable_heartbeat() = host.heartbeat;
        clear_shared(*entry->mutable_heartbeat());
        const wire::directory_state directory = directory_of(host.heartbeat);
        entry->set_directory(directories.index_of(directory.SerializeAsString(),
                                                  [&] { *target.add_directories() = directory; }));
        write_demands(host.heartbeat, workspaces, *entry, target);
        for (const auto& primary : host.heartbeat.primaries()) {
            if (primaries.insert(primary.SerializeAsString()).second) {
                *target.add_primaries() = primary;
            }
        }
        for (const auto& commit : host.heartbeat.acknowledged()) {
            log_position& newest = acknowledged[commit.group()];
            newest = std::max(newest, {commit.term(), commit.offset()});
        }
    }
    for (const auto& [group, position] : acknowledged) {
        auto* commit = target.add_acknowledged();
        commit->set_group(group);
        commit->set_term(position.term);
        commit->set_offset(position.offset);
    }
}

wire::fleet_heartbeat read_heartbeat(const wire::heartbeat_digest& digest,
                                     const wire::digest_entry& entry) {
    if (entry.directory() >= static_cast<std::uint32_t>(digest.directories_size())) {
        throw input_error("directory", "an index of the digest's directories",
                          std::to_string(entry.directory()));
    }
    const int demands = entry.demand_workspaces_size();
    if (entry.demand_tenths_size() != demands || entry.demand_admitted_size() != demands) {
        throw input_error("demand_tenths", "lists of equal length",
                          std::to_string(entry.demand_tenths_size()));
    }
    wire::fleet_heartbeat heartbeat = entry.heartbeat();
    heartbeat.set_whole(true);
    heartbeat.set_failure_domain(digest.failure_domain());
    const auto& directory = digest.directories(static_cast<int>(entry.directory()));
    heartbeat.set_configuration_version(directory.configuration_version());
    heartbeat.set_list_era(directory.list_era());
    heartbeat.set_list_revision(directory.list_revision());
    heartbeat.set_withdrawals_era(directory.withdrawals_era());
    heartbeat.set_withdrawals_revision(directory.withdrawals_revision());
    *heartbeat.mutable_acknowledged() = digest.acknowledged();
    for (int i = 0; i < demands; ++i) {
        const std::uint32_t workspace = entry.demand_workspaces(i);
        if (workspace >= static_cast<std::uint32_t>(digest.workspaces_size())) {
            throw input_error("demand_workspaces", "an index of the digest's workspaces",
                              std::to_string(workspace));
        }
        auto* demand = heartbeat.add_demands();
        demand->set_workspace(digest.workspaces(static_cast<int>(workspace)));
        demand->set_per_second(static_cast<float>(entry.demand_tenths(i)) / demand_steps);
        demand->set_admitted(entry.demand_admitted(i));
    }
    return heartbeat;
}

std::vector<relayed_heartbeat> read_times(const wire::heartbeat_digest& digest,
                                          time_point sent_at) {
    std::vector<relayed_heartbeat> times;
    times.reserve(static_cast<std::size_t>(digest.hosts_size()));
    for (const auto& entry : digest.hosts()) {
        times.push_back({entry.host(), entry.incarnation(), entry.sent_ms(),
                         sent_at - std::chrono::milliseconds(entry.age_ms())});
    }
    return times;
}

void add_age(wire::heartbeat_digest& digest, duration added) {
    const auto milliseconds = static_cast<std::uint32_t>(to_milliseconds(added));
    for (auto& entry : *digest.mutable_hosts()) {
        entry.set_age_ms(entry.age_ms() + milliseconds);
    }
}

} // namespace bronzeplank
