/// \file
/// When a write may be acknowledged: its position is on a majority of the group.
#pragma once

#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzeplank {

/// Instances that form a majority of a group of that size.
constexpr std::size_t majority_of(std::size_t instances) {
    return instances / 2 + 1;
}

/// What a primary says of one replica that streams from it.
struct replica_progress {
    std::string upstream;
    /// The term of the order by which the replica was attached.
    std::uint64_t fencing_term = 0;
    /// The offset up to which the replica holds the log.
    std::uint64_t flushed = 0;
    bool operator==(const replica_progress&) const = default;
};

/// One answer of a primary to the replication query.
struct replication_view {
    /// The term of the record that makes this instance the primary.
    std::uint64_t term = 0;
    /// The highest term that the instance itself was ordered with.
    std::uint64_t fencing_term = 0;
    std::uint64_t offset = 0;
    std::vector<term_start> terms;
    std::vector<replica_progress> replicas;
    bool operator==(const replication_view&) const = default;
};

/// The offset that a majority of the group (the primary included) holds, by this view; 0 when
/// there is no majority or when a later term has already taken the instance over.
std::uint64_t confirmed_offset(const replication_view& view, std::size_t instances);

/// What became of a position that somebody waits for.
enum class confirmation_verdict { confirmed, superseded };

/// One decided position.
struct confirmation {
    std::uint64_t ticket = 0;
    confirmation_verdict verdict = confirmation_verdict::confirmed;
    bool operator==(const confirmation&) const = default;
};

/// The positions of one group that wait for confirmation. A position is confirmed when it is on a
/// majority under the current term, and superseded when a later term, confirmed itself, started
/// before it; until then it stays undecided, whatever the clock says. A superseded write is most
/// likely gone, but may have been carried over behind the start that the later term recorded: its
/// outcome is unknown until its idempotency key is looked up.
/// Usage: `auto ticket = tracker.add(position, now); for (auto& done : tracker.apply(view)) ...`
class confirmation_tracker {
public:
    explicit confirmation_tracker(std::size_t instances) : m_instances(instances) {}

    /// Starts waiting for a position; yields its ticket.
    std::uint64_t add(const log_position& position, time_point now);

    /// Stops waiting; the position stays undecided for its caller.
    void remove(std::uint64_t ticket) { m_waiting.erase(ticket); }

    /// Decides what the view allows to decide.
    std::vector<confirmation> apply(const replication_view& view);

    bool empty() const { return m_waiting.empty(); }
    std::size_t size() const { return m_waiting.size(); }

    /// Whether some position has waited for longer than the limit.
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
