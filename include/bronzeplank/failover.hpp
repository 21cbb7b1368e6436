/// \file
/// When a group's primary is replaced, and by which instance.
#pragma once

#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

enum class failover_reason {
    none,
    /// Most hosts can't reach the primary, this one included.
    unreachable,
    /// The primary answers, but its commits do not end: it can't reach its replicas.
    stalled,
    /// The primary will stop, or its failure domain has been withdrawn.
    leaving,
    /// The list has no primary for the group.
    missing
};

std::string_view to_string(failover_reason reason);

/// What a host knows of its group's primary.
struct failover_evidence {
    bool listed = true;
    bool leaving = false;
    /// The primary's gateway has had a write without an answer for too long.
    bool stalled = false;
    /// This host can't reach the primary.
    bool unreachable_here = false;
    /// Hosts that say that they can't reach it, and all known hosts, heard or not, this one
    /// included.
    int unreachable_count = 0;
    int host_count = 1;
    bool operator==(const failover_evidence&) const = default;
};

/// One host or one domain that is cut off replaces nobody: more than half of the known hosts must
/// agree.
failover_reason failover_reason_for(const failover_evidence& evidence);

/// How long a host watches a reason before it claims the next term.
/// \param before why the primary was to be replaced until the reason changed
/// \param rank the host's place in the group's order of hosts, from 0
duration failover_delay(failover_reason reason, failover_reason before, int rank);

/// A replica's answer to the order that stops it from receiving.
struct paused_replica {
    std::string instance;
    replication_status status;
    /// It will stay, and its failure domain is in use.
    bool preferred = true;
    bool operator==(const paused_replica&) const = default;
};

/// What decides who is promoted.
struct failover_choice {
    std::vector<paused_replica> answered;
    /// Listed replicas that have not answered, and that more than half of the known hosts may
    /// still reach.
    std::size_t unanswered = 0;
    /// Listed replicas that more than half of the known hosts can't reach.
    std::size_t unreachable = 0;
    /// The group's instances, those included that went out of sight lately.
    std::size_t instances = 0;
    /// The newest commit that any living host knows to be acknowledged.
    log_position acknowledged;
};

/// The replica to promote: one that stays, if it has received as much as any, or else the one
/// that has received most. Nothing while a replica is silent, or two instances are out of sight:
/// one that is not paused may help the old primary to acknowledge a commit that no other has.
std::optional<std::string> choose_successor(const failover_choice& choice);

/// What is agreed on a group: the highest term claimed, by whom, and whether it has its primary.
/// The platform's revision of the claim is its fencing token.
struct failover_claim {
    std::uint64_t term = 0;
    std::string holder;
    std::string successor;
    bool finished = true;
    bool operator==(const failover_claim&) const = default;
};

/// A claim's holder acts for this long after it has sent the claim, and no longer.
constexpr std::chrono::milliseconds claim_lease{2000};
/// Others leave an unfinished claim alone for this long after they first saw it: the lease, and
/// the time that an order of the holder may have been on its way.
constexpr std::chrono::milliseconds claim_timeout{3000};

} // namespace bronzeplank
