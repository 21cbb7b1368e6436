/// \file
/// Takes failing replicas of a group out of the placement of reads for a while.
#pragma once

#include "bronzeplank/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace bronzeplank {

/// Ejects replicas whose statements fail or hang, at most a third of a group's upstreams at a time,
/// and reinstates them gradually. A replica that fails again soon after is ejected for twice as
/// long.
/// Usage: `ejected.observe(failure_rates, upstream_count, now);`
/// `candidate.weight = ejected.weight(replica, now);`
class ejection {
public:
    /// A replica with this failure rate is ejected: of the reads placed there, one in four would
    /// cost its caller a second attempt.
    static constexpr double max_failure_rate = 0.25;
    /// In this time without statements, the highest failure rate decays below the maximum.
    static constexpr std::chrono::seconds first_duration{4};
    static constexpr std::chrono::seconds max_duration{32};
    /// The time over which a reinstated replica gets its share of reads back.
    static constexpr std::chrono::seconds reinstatement{4};

    /// Ejects the replicas with the highest failure rates, as far as the limit allows.
    /// \param failure_rates by replica
    /// \param upstream_count the number of the group's upstreams, including the primary
    void observe(const std::map<std::string, double>& failure_rates, std::size_t upstream_count,
                 time_point now);

    /// The replica's share of its normal chance to be chosen: 0 while ejected, then increasing
    /// to 1.
    double weight(const std::string& replica, time_point now) const;

    std::size_t ejected_count(time_point now) const;

private:
    struct entry {
        time_point until;
        duration length{};
    };

    bool is_ejected(const std::string& replica, time_point now) const;
    void eject(const std::string& replica, time_point now);

    std::map<std::string, entry> m_entries;
};

} // namespace bronzeplank
