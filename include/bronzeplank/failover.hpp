/// \file
/// Failover decisions: when to replace a group's primary, and which replica to promote.
#pragma once

#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// Why a group's primary has to be replaced.
enum class failover_reason {
    none,
    /// A majority of the hosts, including this one, can't reach the primary.
    unreachable,
    /// The primary answers, but its commits do not complete, as when it can't reach its replicas.
    stalled,
    /// The primary is about to stop, or its failure domain is withdrawn from service.
    leaving,
    /// No listed instance is the group's primary.
    missing
};

std::string_view to_string(failover_reason reason);

/// Whether a primary that is replaced for this reason still answers, so that it can be demoted.
bool primary_answers(failover_reason reason);

/// What a host knows about its group's primary.
struct failover_evidence {
    bool listed = true;
    bool leaving = false;
    /// A write at the primary's gateway has exceeded the time limit without an answer.
    bool stalled = false;
    /// This host can't reach the primary.
    bool unreachable_here = false;
    /// The number of hosts that report that they can't reach the primary, including this one.
    int unreachable_count = 0;
    /// The number of all known hosts, responsive or not, including this one.
    int host_count = 1;
    bool operator==(const failover_evidence&) const = default;
};

/// Returns why the primary has to be replaced. An unreachable primary needs agreement of more than
/// half of the known hosts, so that a single partitioned host or failure domain replaces nobody.
failover_reason failover_reason_for(const failover_evidence& evidence);

/// Returns how long a reason must persist before a host claims the next term.
/// \param before the reason that held before the current one
/// \param rank the host's rank among the group's hosts, starting at 0
duration failover_delay(failover_reason reason, failover_reason before, int rank);

/// A replica's answer to the command that pauses its receiving.
struct paused_replica {
    std::string instance;
    replication_status status;
    /// The replica is not about to stop, and its failure domain is in service.
    bool preferred = true;
    bool operator==(const paused_replica&) const = default;
};

/// The input of choose_successor().
struct failover_choice {
    /// The instances that confirmed the pause; also the old primary if it confirmed that it is a
    /// replica now.
    std::vector<paused_replica> answered;
    /// The group's instances that may be running, listed or not.
    std::set<std::string> members;
    /// The group's last known primary, listed or not.
    std::string old_primary;
    /// The newest commit that any live host knows to be acknowledged: its position, or the lowest
    /// one that it can have.
    log_position acknowledged;
    /// No instance can have left unseen with which the old primary has acknowledged commits; see
    /// group_roster::is_complete().
    bool members_complete = true;
    /// The old primary can't do its work, although it answers.
    bool old_primary_unfit = false;
    /// The instances whose promotion may have been requested and still take effect.
    std::set<std::string> requested_before;
};

/// Whether no two of the members can acknowledge a commit together any more: all but the old
/// primary are accounted for, or all but one if the old primary is a replica now.
bool accounts_for_members(const std::set<std::string>& members,
                          const std::set<std::string>& accounted, const std::string& old_primary,
                          bool old_primary_demoted);

/// Returns the replica with the highest received position; of equals, the one whose promotion may
/// have been requested before, since that may still take effect, or a preferred one. Returns
/// nothing if its log lacks an acknowledged commit, or while the old primary, unless it is demoted,
/// could acknowledge a commit with an instance that has not confirmed its pause. That hosts can't
/// reach such an instance doesn't matter: the old primary may. An unfit old primary, demoted, is
/// chosen only if its log is ahead and an instance that has not answered, or has left unseen, may
/// have received the rest; if one may have left, nothing is returned until the old primary is
/// demoted.
std::optional<std::string> choose_successor(const failover_choice& choice);

/// Formats what a successor was chosen from for a claim, within `max_choice_text` bytes.
std::string to_text(const failover_choice& choice);
constexpr std::size_t max_choice_text = 400;

/// In place of a claim's promoted term: any term may have been promoted.
constexpr std::uint64_t any_term = std::numeric_limits<std::uint64_t>::max();

/// A group's claim as stored on the platform: the claimed term, its holder, and whether the
/// failover is finished; then the term is the one that the successor leads. The successor is stored
/// before its promotion is requested. The claim's position in the platform's store serves as its
/// fencing token.
struct failover_claim {
    std::uint64_t term = 0;
    std::string holder;
    std::string successor;
    bool finished = true;
    /// The newest term whose promotion may have been requested, by this claim or an earlier one.
    std::uint64_t promoted_term = 0;
    /// The era of the platform's store in which the claim was written; of a later one, it says
    /// nothing about who acts now.
    std::uint64_t era = 0;
    /// Whether `promoted_term` covers the promotions of earlier eras as well, whose claims may be
    /// lost.
    bool complete = true;
    /// Instances whose promotion was requested without a definite end, by this claim or an earlier
    /// one, each with the fencing token of the claim that requested it. They may begin to lead at
    /// any time. The successor of an unfinished claim is one of them, too.
    std::map<std::string, std::uint64_t> in_doubt{};
    /// The successor's position when it was chosen, with which its term begins; 0.0 before.
    log_position first_position{};
    /// What the successor was chosen from, for logs.
    std::string choice{};
    /// In a claim without a successor, the instance of `promoted_term`; empty if it isn't known.
    std::string promoted_instance{};

    /// The instance of the newest term whose promotion may have been requested; empty if it isn't
    /// known.
    const std::string& newest_promoted() const {
        return successor.empty() ? promoted_instance : successor;
    }
    bool operator==(const failover_claim&) const = default;
};

/// A promotion without an answer is taken to have no effect any more this long after a host first
/// saw the claim that names its instance.
constexpr std::chrono::seconds promotion_lifetime{10};

/// A claim's holder acts on it for at most this long after sending it.
constexpr std::chrono::milliseconds claim_lease{2000};
/// Other hosts wait this long after they first saw an unfinished claim before they supersede it:
/// the lease, plus the time that a command of the holder may be in flight.
constexpr std::chrono::milliseconds claim_timeout{3000};
/// A promotion takes a few hundred milliseconds; one that exceeds the timeout has failed.
constexpr std::chrono::milliseconds promotion_timeout{3000};

} // namespace bronzeplank
