/// \file
/// The recorded requests of a run, and the check of the guarantees against the stored rows.
#pragma once

#include "bronzeplank/error.hpp"
#include "load/scenario.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank::load {

/// One HTTP request of a caller and its outcome. A retry is an attempt of its own.
struct request_attempt {
    /// When the request was due. It is sent later if its caller is busy.
    time_point arrived_at;
    time_point sent_at;
    time_point answered_at;
    request_kind kind = request_kind::lookup;
    int status = 0;
    /// The error code; empty when the request succeeded.
    std::string error;
    run_outcome outcome = run_outcome::unknown;
    bool served_by_replica = false;
    std::string group;
};

/// A booking's group and the outcome that its caller received after all retries.
struct booking_write {
    std::string group;
    run_outcome outcome = run_outcome::unknown;
};

/// What the callers of one workspace recorded, with the rate limit that applies to it.
struct workspace_history {
    workspace_load load;
    double rate_limit = 0;
    double burst_limit = 0;
    std::vector<request_attempt> attempts;
    /// Writes by booking id.
    std::map<std::string, booking_write> bookings;
    /// The last acknowledged entry of each log, by log name.
    std::map<std::string, std::int64_t> last_acknowledged_entries;
    /// Reads that missed a booking that the same session had acknowledged.
    std::uint64_t stale_reads = 0;
    /// Answers that belong to another request or are incomplete.
    std::uint64_t mismatched_answers = 0;
};

/// The rows that a group stores after the run.
struct group_contents {
    /// Number of rows by booking id.
    std::map<std::string, int> booking_row_counts;
    /// Entries in insertion order, by log name.
    std::map<std::string, std::vector<std::int64_t>> log_entries;
};

/// The counts of a run, of which some are violations of guarantees.
/// Usage: `check_history(histories, contents, started_at, ended_at).guarantees_held()`
struct check_result {
    std::uint64_t requests = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    std::uint64_t acknowledged_writes = 0;
    std::uint64_t unknown_outcomes = 0;
    /// Acknowledged writes whose rows are missing.
    std::uint64_t lost_writes = 0;
    /// Bookings with more than one row.
    std::uint64_t duplicate_writes = 0;
    /// Writes whose outcome was reported as `not_run` although their rows exist.
    std::uint64_t rejected_but_ran = 0;
    std::uint64_t stale_reads = 0;
    std::uint64_t mismatched_answers = 0;
    /// Logs whose entries are not 1, 2, 3, ... in insertion order.
    std::uint64_t out_of_order_logs = 0;
    /// Requests that ran above the rate limit: each workspace's highest excess in any time window,
    /// summed over the workspaces.
    std::uint64_t over_rate_limit = 0;
    /// Requests of workspaces that are not noisy, rejected by the rate limit.
    std::uint64_t rejected_within_rate = 0;
    /// Requests of noisy workspaces, rejected by the rate limit.
    std::uint64_t rejected_noisy = 0;
    /// The longest time without an acknowledged write, by group.
    std::map<std::string, duration> longest_write_gaps;
    bool operator==(const check_result&) const = default;

    /// No guarantee was violated. Rejections within the rate limit are counted but are not a
    /// violation.
    bool guarantees_held() const {
        return lost_writes + duplicate_writes + rejected_but_ran + stale_reads +
                   mismatched_answers + out_of_order_logs + over_rate_limit ==
               0;
    }
};

/// Checks the recorded requests against the rows that the groups store after the run.
check_result check_history(const std::vector<workspace_history>& histories,
                           const std::map<std::string, group_contents>& contents,
                           time_point started_at, time_point ended_at);

/// The latency at the given fraction (0 to 1) of the sorted latencies; zero when there are none.
duration percentile(std::vector<duration> latencies, double fraction);

/// Latencies of the successful requests. They start at the arrival, so that they include the time
/// that a request waited for its caller (no coordinated omission).
std::vector<duration> successful_latencies(const workspace_history& history);

} // namespace bronzeplank::load
