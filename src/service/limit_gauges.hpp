/// \file
/// Adds the counts of reached limits to the metrics.
#pragma once

#include "runtime/limit_log.hpp"
#include "service/metrics.hpp"

#include <string>

namespace bronzeplank {

/// Adds a gauge for each limit: how often it was reached.
inline void add_limit_gauges(metrics& target) {
    for (const auto& row : limit_rows()) {
        target.add_gauge({"bronzeplank_limit_" + std::string(row.name), std::string(row.help),
                          [kind = row.kind] { return static_cast<double>(limit_count(kind)); }});
    }
}

} // namespace bronzeplank
