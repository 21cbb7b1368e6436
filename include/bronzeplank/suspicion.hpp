/// \file
/// When a primary is suspected, and by whom it is replaced.
#pragma once

#include "bronzeplank/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// Time limits of failure detection.
struct suspicion_limits {
    /// A primary that has not answered or confirmed for this long is suspected.
    duration response_timeout = std::chrono::milliseconds(800);
    /// A peer's suspicion_vote counts for this long.
    duration vote_lifetime = std::chrono::milliseconds(1200);
    /// A peer counts as a voter for this long after its last heartbeat.
    duration voter_lifetime = std::chrono::seconds(10);
    /// Each place in the order of orderers waits this much longer.
    duration stagger = std::chrono::milliseconds(150);
    /// A claimed term whose orderer published nothing for this long is taken over.
    duration claim_timeout = std::chrono::milliseconds(1000);
    bool operator==(const suspicion_limits&) const = default;
};

/// What one host thinks of one group's primary.
struct suspicion_vote {
    std::string host;
    std::string failure_domain;
    bool suspected = false;
    time_point received_at;
    bool operator==(const suspicion_vote&) const = default;
};

/// Decides whether this host orders a promotion now. More than half of the hosts known lately
/// must suspect the primary, so that one cut-off domain or one slow host changes nothing, and
/// hosts wait one after the other by name, so that rarely two claim a term.
/// \param self this host's own suspicion_vote
/// \param peers the last suspicion_vote of each peer
/// \param suspected_since when this host began to suspect
/// \param claim_seen when this host saw the present unfinished claim; nothing without one
bool should_start_promotion(const suspicion_vote& self, const std::vector<suspicion_vote>& peers,
                            std::optional<time_point> suspected_since,
                            std::optional<time_point> claim_seen, time_point now,
                            const suspicion_limits& limits);

} // namespace bronzeplank
