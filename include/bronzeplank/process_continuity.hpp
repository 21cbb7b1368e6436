/// \file
/// Whether an answer comes from a process that every failover in progress has paused.
#pragma once

#include "bronzeplank/established_replicas.hpp"
#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <algorithm>

namespace bronzeplank {

/// Tells the process of a replica that has run since before the claim that is acted on now, if any,
/// from one that has started again under the same id and has forgotten its pause. The instance list
/// can't tell them apart in time: nothing bounds when it has the new start. A connection can: it
/// ends with the process that accepted it.
///
/// A process that ran before a claim was written is paused by that claim's holder, or isn't
/// accounted for. So a process is covered if it ran when no claim was acted on, or has run for
/// longer than a claim is acted on.
///
/// Usage: `processes.record_unclaimed(read_at); if (processes.covers(status, requested_at, now))`
class process_continuity {
public:
    /// Records that no claim of the group was acted on at some time after `read_at`.
    void record_unclaimed(time_point read_at) {
        m_unclaimed_at = std::max(m_unclaimed_at, read_at);
    }

    /// Whether the process that gave the answer had run since before any claim that was acted on
    /// then. An answer that doesn't tell for how long its connection has been open counts.
    /// \param now when the answer was received
    bool covers(const replication_status& answer, time_point requested_at, time_point now) const {
        if (!answer.connected_for) {
            return true;
        }
        const time_point connected_by = now - *answer.connected_for;
        return connected_by <= m_unclaimed_at ||
               requested_at - connected_by >= established_replicas::probation;
    }

private:
    time_point m_unclaimed_at{};
};

} // namespace bronzeplank
