#include "bronzeplank/ejection.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace bronzeplank {

namespace {

// A replica that does not fail within this time after its reinstatement is no longer suspect.
constexpr std::chrono::seconds probation{30};
// The share of reads that tells whether a reinstated replica still fails.
constexpr double first_share = 0.1;

} // namespace

void ejection::observe(const std::map<std::string, double>& failure_rates,
                       std::size_t upstream_count, time_point now) {
    std::erase_if(m_entries,
                  [&](const auto& known) { return now - known.second.until > probation; });
    std::vector<std::pair<double, std::string>> failing;
    for (const auto& [replica, rate] : failure_rates) {
        if (rate >= max_failure_rate && !is_ejected(replica, now)) {
            failing.emplace_back(-rate, replica);
        }
    }
    std::sort(failing.begin(), failing.end());
    const std::size_t limit = upstream_count / 3;
    for (const auto& [rate, replica] : failing) {
        if (ejected_count(now) < limit) {
            eject(replica, now);
        }
    }
}

void ejection::eject(const std::string& replica, time_point now) {
    const auto known = m_entries.find(replica);
    const duration length = known == m_entries.end()
                                ? duration(first_duration)
                                : std::min<duration>(known->second.length * 2, max_duration);
    m_entries[replica] = {now + length, length};
}

bool ejection::is_ejected(const std::string& replica, time_point now) const {
    const auto known = m_entries.find(replica);
    return known != m_entries.end() && now < known->second.until;
}

double ejection::weight(const std::string& replica, time_point now) const {
    const auto known = m_entries.find(replica);
    if (known == m_entries.end()) {
        return 1;
    }
    if (now < known->second.until) {
        return 0;
    }
    const std::chrono::duration<double> reinstated = now - known->second.until;
    const double progress = reinstated / std::chrono::duration<double>(reinstatement);
    return std::min(1.0, first_share + (1 - first_share) * progress);
}

std::size_t ejection::ejected_count(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [&](const auto& known) { return now < known.second.until; }));
}

} // namespace bronzeplank
