/// \file
/// Failure detection of primaries: when a host starts a promotion.
#pragma once

#include "bronzeplank/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// Timeouts of failure detection.
struct suspicion_limits {
    /// A primary that has not answered or confirmed for this long is suspected.
    duration response_timeout = std::chrono::milliseconds(800);
    /// A peer's vote counts for this long.
    duration vote_lifetime = std::chrono::milliseconds(1200);
    /// A peer counts as a voter for this long after its last heartbeat.
    duration voter_lifetime = std::chrono::seconds(10);
    /// Each rank among the suspecting hosts waits this much longer.
    duration stagger = std::chrono::milliseconds(150);
    /// A claimed term without a published primary may be superseded after this long.
    duration claim_timeout = std::chrono::milliseconds(1000);
    bool operator==(const suspicion_limits&) const = default;
};

/// One host's vote on whether a group's primary has failed.
struct suspicion_vote {
    std::string host;
    std::string failure_domain;
    bool suspected = false;
    time_point received_at;
    bool operator==(const suspicion_vote&) const = default;
};

/// Decides whether this host starts a promotion now. More than half of the recently known hosts
/// must suspect the primary, so that one partitioned failure domain or one slow host triggers none.
/// The suspecting hosts wait in turn, ranked by name, so that two rarely claim the same term.
/// \param self this host's own vote
/// \param peers the last vote of each peer
/// \param suspected_since when this host began to suspect the primary
/// \param claim_seen when this host first saw the unfinished claim; nothing if there is none
bool should_start_promotion(const suspicion_vote& self, const std::vector<suspicion_vote>& peers,
                            std::optional<time_point> suspected_since,
                            std::optional<time_point> claim_seen, time_point now,
                            const suspicion_limits& limits);

} // namespace bronzeplank
