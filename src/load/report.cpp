/// \file
/// The reports of a run: text, JSON and HTML.
#include "load/run.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace bronzeplank::load {

namespace {

namespace bh = boost::histogram;

constexpr unsigned latency_bin_count = 50;
constexpr double min_latency_ms = 0.2;
constexpr double max_latency_ms = 20'000;
constexpr int plot_width = 720;
constexpr int plot_height = 120;

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

double percentage(std::uint64_t count, std::uint64_t total) {
    return total == 0 ? 0 : 100.0 * static_cast<double>(count) / static_cast<double>(total);
}

struct workspace_summary {
    std::string name;
    std::size_t requests = 0;
    std::size_t failed = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    bool noisy = false;
};

workspace_summary summarize_workspace(const workspace_history& history) {
    const auto latencies = successful_latencies(history);
    return {history.load.name,
            history.attempts.size(),
            history.attempts.size() - latencies.size(),
            to_ms(percentile(latencies, 0.5)),
            to_ms(percentile(latencies, 0.99)),
            history.load.noisy};
}

std::vector<workspace_summary> summarize_workspaces(const run_result& result) {
    std::vector<workspace_summary> rows;
    for (const auto& history : result.histories) {
        rows.push_back(summarize_workspace(history));
    }
    return rows;
}

std::vector<duration> all_latencies(const run_result& result) {
    std::vector<duration> all;
    for (const auto& history : result.histories) {
        const auto latencies = successful_latencies(history);
        all.insert(all.end(), latencies.begin(), latencies.end());
    }
    return all;
}

duration longest_write_gap(const check_result& checks) {
    duration longest{};
    for (const auto& [group, gap] : checks.longest_write_gaps) {
        longest = std::max(longest, gap);
    }
    return longest;
}

std::map<std::string, std::uint64_t> count_errors(const run_result& result) {
    std::map<std::string, std::uint64_t> errors;
    for (const auto& history : result.histories) {
        for (const auto& attempt : history.attempts) {
            if (!attempt.error.empty()) {
                ++errors[attempt.error];
            }
        }
    }
    return errors;
}

std::string histogram_plot(const workspace_history& history) {
    auto histogram = bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
        latency_bin_count, min_latency_ms, max_latency_ms));
    for (const auto latency : successful_latencies(history)) {
        histogram(to_ms(latency));
    }
    double max_count = 1;
    for (const auto& bin : bh::indexed(histogram)) {
        max_count = std::max(max_count, static_cast<double>(*bin));
    }
    std::string bars;
    for (const auto& bin : bh::indexed(histogram)) {
        const double height = static_cast<double>(*bin) / max_count * plot_height;
        const double width = double(plot_width) / latency_bin_count;
        bars += fmt::format(
            "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}'><title>{:.2f} to {:.2f} "
            "ms: {}</title></rect>",
            static_cast<double>(bin.index()) * width, plot_height - height, width - 1, height,
            bin.bin().lower(), bin.bin().upper(), static_cast<std::uint64_t>(*bin));
    }
    return fmt::format("<svg viewBox='0 0 {} {}'>{}</svg>", plot_width, plot_height, bars);
}

// Plots the successful writes and transaction requests in each tenth of a second, which makes gaps
// visible.
std::string write_plot(const run_result& result) {
    constexpr double bin_s = 0.1;
    const double length_s = std::chrono::duration<double>(result.definition.length).count();
    std::vector<double> write_counts(static_cast<std::size_t>(length_s / bin_s) + 1, 0);
    for (const auto& history : result.histories) {
        for (const auto& attempt : history.attempts) {
            const double answered_s =
                std::chrono::duration<double>(attempt.answered_at - result.started_at).count();
            const auto bin = static_cast<std::size_t>(std::max(0.0, answered_s) / bin_s);
            if (attempt.error.empty() && attempt.kind != request_kind::lookup &&
                attempt.kind != request_kind::recent_lookup && bin < write_counts.size()) {
                ++write_counts[bin];
            }
        }
    }
    const double max_count =
        std::max(1.0, *std::max_element(write_counts.begin(), write_counts.end()));
    std::string points;
    for (std::size_t i = 0; i < write_counts.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ",
                              static_cast<double>(i) / static_cast<double>(write_counts.size()) *
                                  plot_width,
                              plot_height - write_counts[i] / max_count * plot_height);
    }
    return fmt::format("<svg viewBox='0 0 {} {}'><polyline points='{}'/></svg>", plot_width,
                       plot_height, points);
}

} // namespace

std::string text_report(const run_result& result) {
    const check_result& checks = result.checks;
    const double length_s = std::chrono::duration<double>(result.definition.length).count();
    const auto latencies = all_latencies(result);
    std::string text = fmt::format(
        "scenario {} (seed {}), {:.1f} s\n"
        "requests                     {} ({:.0f} a second), {} succeeded\n"
        "reads served by replicas     {:.1f} % of {}\n"
        "writes acknowledged          {}, outcome unknown to the caller {}\n"
        "acknowledged but lost        {}\n"
        "doubled                      {}\n"
        "refused as not run but ran   {}\n"
        "stale reads                  {}\n"
        "mixed answers                {}\n"
        "logs out of order            {}\n"
        "over the rate                {}\n"
        "refused within the rate      {}, of noisy workspaces {}\n"
        "latency                      p50 {:.2f} ms, p99 {:.2f} ms\n"
        "longest gap between writes   {:.0f} ms\n",
        result.definition.name, result.definition.seed, length_s, checks.requests,
        static_cast<double>(checks.requests) / length_s, checks.succeeded,
        percentage(checks.replica_reads, checks.reads), checks.reads, checks.acknowledged_writes,
        checks.unknown_outcomes, checks.lost_writes, checks.duplicate_writes,
        checks.rejected_but_ran, checks.stale_reads, checks.mismatched_answers,
        checks.out_of_order_logs, checks.over_rate_limit, checks.rejected_within_rate,
        checks.rejected_noisy, to_ms(percentile(latencies, 0.5)),
        to_ms(percentile(latencies, 0.99)), to_ms(longest_write_gap(checks)));
    for (const auto& [group, gap] : checks.longest_write_gaps) {
        text += fmt::format("  gap of {:20} {:.0f} ms\n", group, to_ms(gap));
    }
    text += fmt::format("{:20} {:>9} {:>7} {:>10} {:>10}\n", "workspace", "requests", "failed",
                        "p50 ms", "p99 ms");
    for (const auto& row : summarize_workspaces(result)) {
        text += fmt::format("{:20} {:>9} {:>7} {:>10.2f} {:>10.2f}{}\n", row.name, row.requests,
                            row.failed, row.p50_ms, row.p99_ms, row.noisy ? "  noisy" : "");
    }
    for (const auto& [code, count] : count_errors(result)) {
        text += fmt::format("  {} x {}\n", count, code);
    }
    return text + (checks.guarantees_held() ? "all promises kept\n" : "A PROMISE WAS BROKEN\n");
}

std::string json_report(const run_result& result) {
    const check_result& checks = result.checks;
    std::string workspaces;
    for (const auto& row : summarize_workspaces(result)) {
        workspaces += fmt::format(
            R"({}{{"name":{},"requests":{},"failed":{},"p50_ms":{:.3f},"p99_ms":{:.3f},"noisy":{}}})",
            workspaces.empty() ? "" : ",", internal::quoted(row.name), row.requests, row.failed,
            row.p50_ms, row.p99_ms, row.noisy);
    }
    const auto latencies = all_latencies(result);
    return fmt::format(
        R"({{"scenario":{},"seed":{},"kept":{},"requests":{},"succeeded":{},"reads":{},)"
        R"("replica_reads":{},"acknowledged":{},"unknown":{},"lost":{},"doubled":{},)"
        R"("refused_but_ran":{},"stale":{},"mixed":{},"out_of_order":{},"over_rate":{},)"
        R"("refused_within_rate":{},"refused_noisy":{},"p50_ms":{:.3f},"p99_ms":{:.3f},)"
        R"("write_gap_ms":{:.1f},"unsent":{},"workspaces":[{}]}})",
        internal::quoted(result.definition.name), result.definition.seed, checks.guarantees_held(),
        checks.requests, checks.succeeded, checks.reads, checks.replica_reads,
        checks.acknowledged_writes, checks.unknown_outcomes, checks.lost_writes,
        checks.duplicate_writes, checks.rejected_but_ran, checks.stale_reads,
        checks.mismatched_answers, checks.out_of_order_logs, checks.over_rate_limit,
        checks.rejected_within_rate, checks.rejected_noisy, to_ms(percentile(latencies, 0.5)),
        to_ms(percentile(latencies, 0.99)), to_ms(longest_write_gap(checks)),
        result.unsent_requests, workspaces);
}

std::string html_report(const run_result& result) {
    std::string body = fmt::format("<pre>{}</pre><h2>Acknowledged writes over time</h2>{}",
                                   text_report(result), write_plot(result));
    for (const auto& history : result.histories) {
        body +=
            fmt::format("<h2>Latencies of {} (logarithmic, {} to {} ms)</h2>{}", history.load.name,
                        min_latency_ms, max_latency_ms, histogram_plot(history));
    }
    return fmt::format(
        "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:14px "
        "sans-serif;max-width:760px;margin:2em "
        "auto}}svg{{width:100%;background:#f4f1ea}}rect{{fill:#8a5a2b}}polyline{{fill:none;stroke:"
        "#8a5a2b;stroke-width:1.5}}</style><h1>{0}</h1>{1}",
        result.definition.name, body);
}

} // namespace bronzeplank::load
