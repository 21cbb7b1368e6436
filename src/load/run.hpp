/// \file
/// Runs a scenario against a deployment and reports the result.
#pragma once

#include "load/history.hpp"
#include "load/scenario.hpp"

#include <string>
#include <vector>

namespace bronzeplank::load {

/// The recorded requests of a run and the result of their check.
struct run_result {
    scenario definition;
    check_result checks;
    std::vector<workspace_history> histories;
    time_point started_at;
    time_point ended_at;
    /// Requests that still waited behind others of their session long after the scenario's end.
    std::size_t unsent_requests = 0;
};

/// Runs the scenario as an open-loop load: requests arrive in a Poisson process seeded by the
/// scenario, whether or not earlier ones were answered, so that latencies include queueing. Prints
/// progress to standard error when `show_progress` is set.
/// \throws std::runtime_error when the tables can't be created, or not be read after the run.
run_result run_scenario(const scenario& definition, const std::vector<endpoint>& hosts,
                        const endpoint& platform, bool show_progress);

/// Formats the result as human-readable text.
std::string text_report(const run_result& result);
/// Formats the result as JSON.
std::string json_report(const run_result& result);
/// Formats the result as a self-contained HTML page with plots.
std::string html_report(const run_result& result);

} // namespace bronzeplank::load
