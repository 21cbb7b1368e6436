/// \file
/// Recognizes outdated entries of instances in a list.
#pragma once

#include "bronzeplank/fleet_configuration.hpp"
#include "bronzeplank/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzeplank {

/// Recognizes entries that are older than one seen before, as when the list comes from an older
/// copy of the platform's store. Each process of an instance numbers its entries; the list's own
/// revisions don't tell, since the copy gives them out again.
///
/// Usage: `if (!history.is_outdated(entry)) { history.record(entry); ... }`
class entry_history {
public:
    /// Entries of an instance are recognized for this long after it was last listed.
    static constexpr std::chrono::minutes retention{10};

    /// Whether a later entry of the same process, or of one started after it, has been recorded.
    /// Entries without a start time or a number never are.
    bool is_outdated(const upstream_instance& entry) const;

    void record(const upstream_instance& entry);

    /// Records that the instance is no longer listed.
    void record_unlisted(const std::string& id, time_point now) { m_unlisted[id] = now; }

    /// Forgets what has been unlisted for longer than the retention.
    void prune(time_point now);

private:
    struct latest_entry {
        std::int64_t born_ms = 0;
        std::uint64_t sequence = 0;
        std::optional<std::int64_t> previous_born_ms;
    };

    std::map<std::string, latest_entry> m_latest;
    std::map<std::string, time_point> m_unlisted;
};

} // namespace bronzeplank
