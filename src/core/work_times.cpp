#include "bronzeplank/work_times.hpp"

namespace bronzeplank {

void work_times::record(const std::string& database, statement_kind kind, duration run_time) {
    const auto [entry, is_first] = m_means.try_emplace({database, kind}, run_time);
    if (!is_first) {
        // Weight 1/8: about twenty answers replace the estimate.
        entry->second += (run_time - entry->second) / 8;
    }
}

duration work_times::mean(const std::string& database, statement_kind kind) const {
    const auto found = m_means.find({database, kind});
    return found == m_means.end() ? duration(unmeasured) : found->second;
}

} // namespace bronzeplank
