/// \file
/// What gateways report of the load of an upstream, and how long such a report is of use.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeplank {

/// The load of an upstream as its gateway sees it.
struct load_report {
    /// Statements that wait for a slot.
    int queued = 0;
    /// Statements that the upstream runs.
    int running = 0;
    /// The mean time for which a statement occupies a slot; zero if unknown.
    duration work_time{};
    /// The end of the upstream's log as of its newest answer; nothing if it has sent none.
    std::optional<log_position> position;
    /// How long before the report that answer arrived.
    duration position_age{};
    bool operator==(const load_report&) const = default;
};

/// The time until a slot is free for a new statement, if nothing else arrives.
duration expected_wait(const load_report& report, int slots);

/// The latest report of an upstream, with the time at which it arrived.
struct received_load {
    load_report report;
    time_point received_at;
    bool operator==(const received_load&) const = default;

    /// The expected wait, halved for each `load_half_life` of the report's age.
    duration wait_at(time_point now, int slots) const;
    /// When the upstream had the reported position.
    time_point position_at() const { return received_at - report.position_age; }
};

/// A report that is this old counts half: the queue that it describes has mostly been served by
/// then, and other hosts that saw the same report have sent their work elsewhere.
constexpr std::chrono::milliseconds load_half_life{250};

/// Work times and positions are of use for longer than queue lengths; a report is dropped after
/// this.
constexpr std::chrono::seconds load_retention{10};

/// The latest load report of each upstream.
/// Usage: `loads.record(upstream, report, now); const auto* known = loads.find(upstream, now);`
class load_reports {
public:
    /// Replaces the upstream's report. A report without a position keeps the position known before.
    void record(const std::string& upstream, load_report report, time_point now);

    /// The upstream's report; null if there is none, or it is older than `load_retention`.
    const received_load* find(std::string_view upstream, time_point now) const;

    /// The mean age of the reports that are still of use; zero without any.
    duration mean_age(time_point now) const;

private:
    std::map<std::string, received_load, std::less<>> m_latest;
};

} // namespace bronzeplank
