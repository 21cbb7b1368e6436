/// \file
/// Decides when a write may be acknowledged: once a majority of the group has its position.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// Returns the number of instances that form a majority of a group of that size.
constexpr std::size_t majority_of(std::size_t instances) {
    return instances / 2 + 1;
}

/// A primary's report on one replica that streams from it.
struct replica_progress {
    std::string upstream;
    /// The term in the fencing token with which the replica was attached.
    std::uint64_t fencing_term = 0;
    /// The offset up to which the replica has flushed the log.
    std::uint64_t flushed = 0;
    bool operator==(const replica_progress&) const = default;
};

/// A primary's answer to the replication query.
struct replication_view {
    /// The term of the record that makes this instance the primary.
    std::uint64_t term = 0;
    /// The term in the instance's own fencing token.
    std::uint64_t fencing_term = 0;
    std::uint64_t offset = 0;
    std::vector<term_start> terms;
    std::vector<replica_progress> replicas;
    bool operator==(const replication_view&) const = default;
};

/// Returns the offset up to which a majority of the group, including the primary, has the log; 0 if
/// there is no majority or if a later term has already fenced the primary.
std::uint64_t confirmed_offset(const replication_view& view, std::size_t instances);

/// The outcome of a position that waits for confirmation.
enum class confirmation_verdict { confirmed, superseded };

/// The verdict on one position, by the ticket of confirmation_tracker::add().
struct confirmation {
    std::uint64_t ticket = 0;
    confirmation_verdict verdict = confirmation_verdict::confirmed;
    bool operator==(const confirmation&) const = default;
};

/// Tracks the positions of one group that wait for confirmation. A position is confirmed when a
/// majority has it under the current term, and superseded when a later, itself confirmed, term
/// started before it; until then it stays undecided, without a timeout. A superseded write is most
/// likely lost, but may have been carried over past the start that the later term recorded: its
/// outcome is unknown until its idempotency key is looked up.
/// Usage: `auto ticket = tracker.add(position, now); for (auto& done : tracker.apply(view)) ...`
class confirmation_tracker {
public:
    explicit confirmation_tracker(std::size_t instances) : m_instances(instances) {}

    /// Starts tracking a position and returns its ticket.
    std::uint64_t add(const log_position& position, time_point now);

    /// Stops tracking a position, which stays undecided for its caller.
    void remove(std::uint64_t ticket) { m_waiting.erase(ticket); }

    /// Returns and removes the positions that the view decides.
    std::vector<confirmation> apply(const replication_view& view);

    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

    /// Whether any position has waited for longer than the limit.
    bool stalled(time_point now, duration limit) const;

private:
    struct waiting_position {
        log_position position;
        time_point since;
    };

    std::size_t m_instances;
    std::uint64_t m_term = 0;
    std::uint64_t m_term_record_end = 0;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, waiting_position> m_waiting;
};

} // namespace bronzeplank
