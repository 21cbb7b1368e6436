/// \file
/// The scenario of a load run: workspaces, their request mix, and scheduled faults.
#pragma once

#include "bronzeplank/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank::load {

/// The kinds of requests that callers send. The names are the keys of a scenario's `mix`.
enum class request_kind { booking, lookup, recent_lookup, log, transaction };
constexpr std::size_t request_kind_count = 5;

std::string_view to_string(request_kind kind);

/// The load that the callers of one workspace generate.
struct workspace_load {
    std::string name;
    std::string key;
    /// Requests per second. Requests arrive at this rate whether or not earlier ones were answered.
    double arrival_rate = 0;
    int caller_count = 1;
    /// The relative frequency of each request kind, in the order of request_kind.
    std::vector<double> kind_weights;
    /// The workspace exceeds its rate limit on purpose, so its rejections are expected.
    bool noisy = false;
    bool operator==(const workspace_load&) const = default;
};

/// The kinds of faults. The names are the values of `kind` in a scenario.
enum class fault_kind {
    crash_primary,
    lag_replicas,
    cut_domain,
    platform_down,
    platform_slow,
    platform_loses_answers,
    drain_domain,
    restore_domain,
    withdraw_key
};

/// A scheduled fault. Depending on the kind, `target` is a group, a failure domain or a workspace.
struct fault {
    /// Time from the start of the run.
    duration start_offset{};
    fault_kind kind = fault_kind::platform_down;
    std::string target;
    /// The key that `withdraw_key` withdraws: that of the target workspace.
    std::string key;
    /// How long the fault lasts, for the kinds that end by themselves. A lag whose time is 0 lasts
    /// beyond the end of the run.
    duration active_time{};
    /// The replication lag or the platform's delay, for the kinds that have one.
    duration delay{};
    bool operator==(const fault&) const = default;
};

/// A load run: its length, its load and its faults. The seed determines arrivals and request kinds.
struct scenario {
    std::string name;
    duration length{};
    std::uint64_t seed = 1;
    std::vector<std::string> groups;
    std::vector<workspace_load> workspaces;
    std::vector<fault> faults;
    bool operator==(const scenario&) const = default;
};

/// Parses and validates a scenario (JSON with comments).
/// \throws input_error with the path, the expected and the actual value.
scenario read_scenario(std::string_view text);

} // namespace bronzeplank::load
