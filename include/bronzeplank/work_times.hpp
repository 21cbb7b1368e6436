/// \file
/// How long upstreams take for the statements of each route, by kind.
#pragma once

#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <map>
#include <string>
#include <utility>

namespace bronzeplank {

/// Moving averages of the time that a statement occupies a slot, by route and kind.
/// Usage: `times.record(database, kind, run_time); const duration expected = times.mean(...);`
class work_times {
public:
    /// The estimate for statements that have not been measured yet.
    static constexpr std::chrono::milliseconds unmeasured{15};

    void record(const std::string& database, statement_kind kind, duration run_time);
    duration mean(const std::string& database, statement_kind kind) const;

private:
    std::map<std::pair<std::string, statement_kind>, duration> m_means;
};

} // namespace bronzeplank
