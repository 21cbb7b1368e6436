#include "load/scenario.hpp"

#include "bronzeplank/error.hpp"
#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>

namespace bronzeplank::load {

namespace {

using internal::json_node;

const std::vector<std::string> request_kind_names = {"booking", "lookup", "recent_lookup", "log",
                                                     "transaction"};
const std::vector<std::string> fault_kind_names = {
    "crash_primary",          "lag_replicas", "cut_domain",     "platform_down", "platform_slow",
    "platform_loses_answers", "drain_domain", "restore_domain", "withdraw_key"};
constexpr std::int64_t max_time_ms = 3'600'000;

workspace_load read_workspace(const json_node& node) {
    auto object = node.object();
    workspace_load result;
    result.name = object.required("name").name();
    result.key = object.text_or("key", "key-of-" + result.name);
    result.arrival_rate = object.required("rate").number(0.1, 100'000);
    result.caller_count = static_cast<int>(object.integer_or("callers", 4, 1, 10'000));
    result.kind_weights.assign(request_kind_count, 0);
    auto mix = object.required("mix").object();
    for (std::size_t i = 0; i < request_kind_count; ++i) {
        if (const auto weight = mix.optional(request_kind_names[i])) {
            result.kind_weights[i] = weight->number(0, 1'000'000);
        }
    }
    mix.finish();
    if (const auto noisy = object.optional("noisy")) {
        result.noisy = noisy->boolean();
    }
    object.finish();
    return result;
}

// A fault of a group or a key needs a target that the scenario names.
void check_target(const json_node& node, fault& read, const scenario& definition) {
    const std::string path = node.path() + "/target";
    if (read.kind == fault_kind::crash_primary || read.kind == fault_kind::lag_replicas) {
        if (std::ranges::find(definition.groups, read.target) == definition.groups.end()) {
            throw input_error(path, "a group of the scenario", read.target);
        }
    } else if (read.kind == fault_kind::withdraw_key) {
        const auto workspace =
            std::ranges::find(definition.workspaces, read.target, &workspace_load::name);
        if (workspace == definition.workspaces.end()) {
            throw input_error(path, "a workspace of the scenario", read.target);
        }
        read.key = workspace->key;
    }
}

fault read_fault(const json_node& node, const scenario& definition) {
    auto object = node.object();
    fault result;
    result.start_offset =
        std::chrono::milliseconds(object.required("at_ms").integer(0, max_time_ms));
    result.kind = static_cast<fault_kind>(object.required("kind").one_of(fault_kind_names));
    result.target = object.text_or("target", "");
    result.active_time = std::chrono::milliseconds(object.integer_or("for_ms", 0, 0, max_time_ms));
    result.delay = std::chrono::milliseconds(object.integer_or("amount_ms", 0, 0, max_time_ms));
    object.finish();
    check_target(node, result, definition);
    return result;
}

} // namespace

std::string_view to_string(request_kind kind) {
    return request_kind_names[static_cast<std::size_t>(kind)];
}

scenario read_scenario(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    auto object = json_node(document, "").object();
    scenario result;
    result.name = object.required("name").name();
    result.length =
        std::chrono::milliseconds(object.required("length_ms").integer(100, max_time_ms));
    result.seed = static_cast<std::uint64_t>(object.integer_or("seed", 1, 0, INT64_MAX));
    for (const auto& node : object.required("groups").array()) {
        result.groups.push_back(node.name());
    }
    for (const auto& node : object.required("workspaces").array()) {
        result.workspaces.push_back(read_workspace(node));
    }
    if (const auto faults = object.optional("faults")) {
        for (const auto& node : faults->array()) {
            result.faults.push_back(read_fault(node, result));
        }
    }
    object.finish();
    return result;
}

} // namespace bronzeplank::load
