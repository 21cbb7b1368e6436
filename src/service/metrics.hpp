/// \file
/// Counters and latency histograms by workspace and request class.
#pragma once

#include "bronzeplank/time.hpp"
#include "runtime/kernel.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank {

/// The class of a request, a label of its metrics.
enum class request_class { read, write, transaction };

/// A gauge whose value is read when the metrics are scraped.
struct gauge {
    std::string name;
    std::string help;
    std::function<double()> value;
    /// As in `kind="digest"`; empty if the gauge has no labels. Gauges of one name are added one
    /// after the other.
    std::string labels{};
};

/// Collects request latencies and outcomes by workspace and class, and writes all metrics in the
/// Prometheus text format. Usage: `metrics.record("w1", request_class::read, "ok", latency);`
class metrics {
public:
    static constexpr std::string_view service_name = "metrics";

    explicit metrics(kernel& services);
    ~metrics();

    /// Records a finished request.
    void record(const std::string& workspace, request_class request_kind,
                const std::string& outcome, duration latency);
    /// Counts a read by the kind of instance that served it.
    void count_read(const std::string& workspace, bool served_by_replica);
    void add_gauge(gauge added) { m_gauges.push_back(std::move(added)); }

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct tables;
    std::unique_ptr<tables> m_tables;
    std::vector<gauge> m_gauges;
};

} // namespace bronzeplank
