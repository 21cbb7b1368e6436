#include "bronzeplank/load_report.hpp"

#include <algorithm>
#include <cmath>

namespace bronzeplank {

duration expected_wait(const load_report& report, int slots) {
    const int excess = report.queued + std::max(0, report.running + 1 - std::max(slots, 1));
    return report.work_time * excess / std::max(slots, 1);
}

duration received_load::wait_at(time_point now, int slots) const {
    const std::chrono::duration<double> age = std::max(now - received_at, duration(0));
    const double remaining = std::exp2(-age / std::chrono::duration<double>(load_half_life));
    return std::chrono::duration_cast<duration>(expected_wait(report, slots) * remaining);
}

void load_reports::record(const std::string& upstream, load_report report, time_point now) {
    received_load& latest = m_latest[upstream];
    if (!report.position && latest.report.position) {
        report.position = latest.report.position;
        report.position_age = now - latest.position_at();
    }
    latest = {report, now};
}

const received_load* load_reports::find(std::string_view upstream, time_point now) const {
    const auto found = m_latest.find(upstream);
    const bool known = found != m_latest.end() && now - found->second.received_at < load_retention;
    return known ? &found->second : nullptr;
}

duration load_reports::mean_age(time_point now) const {
    duration sum{};
    int count = 0;
    for (const auto& [upstream, latest] : m_latest) {
        if (now - latest.received_at < load_retention) {
            sum += now - latest.received_at;
            ++count;
        }
    }
    return count == 0 ? duration(0) : sum / count;
}

} // namespace bronzeplank
