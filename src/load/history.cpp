#include "load/history.hpp"

#include <algorithm>

namespace bronzeplank::load {

namespace {

// Compares the requests that were sent and answered within a time window with the number that the
// rate limit allows for it, and returns the highest excess of all windows. Only one in
// `window_stride` requests starts or ends a window, which bounds the time of the check.
std::uint64_t count_over_rate_limit(const workspace_history& history) {
    struct request_interval {
        time_point sent_at;
        time_point answered_at;
    };
    std::vector<request_interval> intervals;
    for (const auto& attempt : history.attempts) {
        // Transactions are excluded: only two of their three requests count against the limit.
        if (attempt.error.empty() && attempt.status != 0 &&
            attempt.kind != request_kind::transaction) {
            intervals.push_back({attempt.sent_at, attempt.answered_at});
        }
    }
    std::sort(intervals.begin(), intervals.end(),
              [](const auto& left, const auto& right) { return left.sent_at < right.sent_at; });
    std::uint64_t max_excess = 0;
    constexpr std::size_t window_stride = 16;
    for (std::size_t first = 0; first < intervals.size(); first += window_stride) {
        std::vector<time_point> answer_times;
        for (std::size_t i = first; i < intervals.size(); ++i) {
            answer_times.push_back(intervals[i].answered_at);
        }
        std::sort(answer_times.begin(), answer_times.end());
        for (std::size_t i = 0; i < answer_times.size(); i += window_stride) {
            const double window_s =
                std::chrono::duration<double>(answer_times[i] - intervals[first].sent_at).count();
            const double allowed = history.burst_limit + history.rate_limit * window_s;
            const double excess = static_cast<double>(i + 1) - allowed;
            max_excess = std::max(max_excess, excess > 1 ? static_cast<std::uint64_t>(excess) : 0);
        }
    }
    return max_excess;
}

void count_attempts(const workspace_history& history, check_result& result) {
    for (const auto& attempt : history.attempts) {
        ++result.requests;
        result.succeeded += attempt.error.empty() ? 1 : 0;
        const bool is_read =
            attempt.kind == request_kind::lookup || attempt.kind == request_kind::recent_lookup;
        result.reads += is_read && attempt.error.empty() ? 1 : 0;
        result.replica_reads +=
            is_read && attempt.error.empty() && attempt.served_by_replica ? 1 : 0;
        if (attempt.error == "rate_limited") {
            (history.load.noisy ? result.rejected_noisy : result.rejected_within_rate) += 1;
        }
    }
}

void check_bookings(const workspace_history& history,
                    const std::map<std::string, group_contents>& contents, check_result& result) {
    for (const auto& [id, booking] : history.bookings) {
        const auto group = contents.find(booking.group);
        if (group == contents.end()) {
            continue;
        }
        const auto found = group->second.booking_row_counts.find(id);
        const int row_count = found == group->second.booking_row_counts.end() ? 0 : found->second;
        result.duplicate_writes += row_count > 1 ? 1 : 0;
        switch (booking.outcome) {
        case run_outcome::ran:
            ++result.acknowledged_writes;
            result.lost_writes += row_count == 0 ? 1 : 0;
            break;
        case run_outcome::not_run:
            result.rejected_but_ran += row_count > 0 ? 1 : 0;
            break;
        case run_outcome::unknown:
            ++result.unknown_outcomes;
            break;
        }
    }
}

// A log must contain 1, 2, 3, ... in this order, at least up to the last acknowledged entry.
void check_logs(const workspace_history& history,
                const std::map<std::string, group_contents>& contents, check_result& result) {
    for (const auto& [name, last_acknowledged] : history.last_acknowledged_entries) {
        std::int64_t expected = 0;
        bool ordered = true;
        for (const auto& [group, group_rows] : contents) {
            const auto entries = group_rows.log_entries.find(name);
            if (entries == group_rows.log_entries.end()) {
                continue;
            }
            for (const std::int64_t entry : entries->second) {
                ordered = ordered && entry == ++expected;
            }
        }
        result.out_of_order_logs += ordered ? 0 : 1;
        result.lost_writes += expected < last_acknowledged
                                  ? static_cast<std::uint64_t>(last_acknowledged - expected)
                                  : 0;
    }
}

void measure_write_gaps(const std::vector<workspace_history>& histories, time_point started_at,
                        time_point ended_at, check_result& result) {
    std::map<std::string, std::vector<time_point>> acknowledged_at;
    for (const auto& history : histories) {
        for (const auto& attempt : history.attempts) {
            const bool is_write =
                attempt.kind == request_kind::booking || attempt.kind == request_kind::log;
            if (is_write && attempt.error.empty()) {
                acknowledged_at[attempt.group].push_back(attempt.answered_at);
            }
        }
    }
    for (auto& [group, times] : acknowledged_at) {
        times.push_back(started_at);
        times.push_back(std::max(ended_at, times.back()));
        std::sort(times.begin(), times.end());
        duration longest_gap{};
        for (std::size_t i = 1; i < times.size(); ++i) {
            longest_gap = std::max<duration>(longest_gap, times[i] - times[i - 1]);
        }
        result.longest_write_gaps[group] = longest_gap;
    }
}

} // namespace

check_result check_history(const std::vector<workspace_history>& histories,
                           const std::map<std::string, group_contents>& contents,
                           time_point started_at, time_point ended_at) {
    check_result result;
    for (const auto& history : histories) {
        count_attempts(history, result);
        check_bookings(history, contents, result);
        check_logs(history, contents, result);
        result.stale_reads += history.stale_reads;
        result.mismatched_answers += history.mismatched_answers;
        result.over_rate_limit += count_over_rate_limit(history);
    }
    measure_write_gaps(histories, started_at, ended_at, result);
    return result;
}

duration percentile(std::vector<duration> latencies, double fraction) {
    if (latencies.empty()) {
        return {};
    }
    const auto index =
        static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(index),
                     latencies.end());
    return latencies[index];
}

std::vector<duration> successful_latencies(const workspace_history& history) {
    std::vector<duration> latencies;
    for (const auto& attempt : history.attempts) {
        if (attempt.error.empty()) {
            latencies.push_back(attempt.answered_at - attempt.arrived_at);
        }
    }
    return latencies;
}

} // namespace bronzeplank::load
