#include "service/metrics.hpp"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <map>
#include <tuple>

namespace bronzeplank {

namespace {

namespace bh = boost::histogram;

constexpr unsigned latency_bins = 60;
constexpr double min_latency_seconds = 0.0001;
constexpr double max_latency_seconds = 100;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(latency_axis()));

latency_histogram make_latency_histogram() {
    return bh::make_histogram(latency_axis(latency_bins, min_latency_seconds, max_latency_seconds));
}

std::string_view request_class_name(request_class request_kind) {
    switch (request_kind) {
    case request_class::read:
        return "read";
    case request_class::write:
        return "write";
    case request_class::transaction:
        break;
    }
    return "transaction";
}

struct histogram_key {
    std::string workspace;
    request_class request_kind;
    auto operator<=>(const histogram_key&) const = default;
};

struct latency_series {
    latency_histogram histogram = make_latency_histogram();
    double sum = 0;
    std::uint64_t count = 0;
};

std::string histogram_text(const histogram_key& key, const latency_series& series) {
    const std::string labels = fmt::format("workspace=\"{}\",class=\"{}\"", key.workspace,
                                           request_class_name(key.request_kind));
    const std::string name = "bronzeplank_request_seconds";
    std::string text;
    double cumulative = static_cast<double>(series.histogram.at(-1));
    for (const auto& bin : bh::indexed(series.histogram)) {
        cumulative += static_cast<double>(*bin);
        text += fmt::format("{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels, bin.bin().upper(),
                            static_cast<std::uint64_t>(cumulative));
    }
    text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, series.count);
    text += fmt::format("{}_sum{{{}}} {}\n", name, labels, series.sum);
    text += fmt::format("{}_count{{{}}} {}\n", name, labels, series.count);
    return text;
}

} // namespace

struct metrics::tables {
    std::map<histogram_key, latency_series> latencies;
    std::map<std::tuple<std::string, request_class, std::string>, std::uint64_t> outcomes;
    std::map<std::tuple<std::string, bool>, std::uint64_t> reads;
};

metrics::metrics(kernel& services) : m_tables(std::make_unique<tables>()) {
    services.add(std::string(service_name), *this);
}

metrics::~metrics() = default;

void metrics::record(const std::string& workspace, request_class request_kind,
                     const std::string& outcome, duration latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    latency_series& series = m_tables->latencies[{workspace, request_kind}];
    series.histogram(seconds);
    series.sum += seconds;
    ++series.count;
    ++m_tables->outcomes[{workspace, request_kind, outcome}];
}

void metrics::count_read(const std::string& workspace, bool served_by_replica) {
    ++m_tables->reads[{workspace, served_by_replica}];
}

std::string metrics::text() const {
    std::string text;
    // Gauges come first: collectors that limit the size of a scrape drop its end.
    std::string_view previous;
    for (const auto& gauge : m_gauges) {
        if (gauge.name != previous) {
            text +=
                fmt::format("# HELP {} {}\n# TYPE {} gauge\n", gauge.name, gauge.help, gauge.name);
        }
        previous = gauge.name;
        const std::string labels = gauge.labels.empty() ? "" : fmt::format("{{{}}}", gauge.labels);
        text += fmt::format("{}{} {}\n", gauge.name, labels, gauge.value());
    }
    text += "# HELP bronzeplank_request_seconds Time from request to answer.\n"
            "# TYPE bronzeplank_request_seconds histogram\n";
    for (const auto& [key, series] : m_tables->latencies) {
        text += histogram_text(key, series);
    }
    text += "# HELP bronzeplank_requests_total Requests by outcome.\n"
            "# TYPE bronzeplank_requests_total counter\n";
    for (const auto& [key, count] : m_tables->outcomes) {
        text += fmt::format("bronzeplank_requests_total{{workspace=\"{}\",class=\"{}\",outcome="
                            "\"{}\"}} {}\n",
                            std::get<0>(key), request_class_name(std::get<1>(key)),
                            std::get<2>(key), count);
    }
    text += "# HELP bronzeplank_reads_total Reads by the kind of instance that served them.\n"
            "# TYPE bronzeplank_reads_total counter\n";
    for (const auto& [key, count] : m_tables->reads) {
        text += fmt::format("bronzeplank_reads_total{{workspace=\"{}\",served_by=\"{}\"}} {}\n",
                            std::get<0>(key), std::get<1>(key) ? "replica" : "primary", count);
    }
    return text;
}

} // namespace bronzeplank
