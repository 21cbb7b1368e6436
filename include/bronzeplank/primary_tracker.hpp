/// \file
/// Which instance a host takes for its group's primary.
#pragma once

#include "bronzeplank/fleet_configuration.hpp"
#include "bronzeplank/statement.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzeplank {

/// A primary and the term that it leads; term 0 when only the list says so.
struct known_primary {
    std::string instance;
    std::uint64_t term = 0;
    bool operator==(const known_primary&) const = default;
};

/// Whether a replica's report shows that nobody had led a term newer than the primary's when the
/// report was asked for: the replica follows no newer term, and no claim of one has paused it.
/// A primary whose term is not known (0) can't be confirmed.
bool confirms_leadership(const replication_status& replica, const known_primary& primary);

/// What is known of one group's primaries: by the list, by the instances themselves, by
/// promotions that this or another host has ordered. The highest term wins; it never goes back
/// to a lower one, except to none, when an instance has left the list.
class primary_tracker {
public:
    /// An instance leads, or led, the term.
    void record_primary(const std::string& instance, std::uint64_t term);

    /// An instance says that it is a replica now: it leads no term up to this one.
    void record_replica(const std::string& instance, std::uint64_t term);

    /// The instances of the group that are listed now.
    std::optional<known_primary> current(const upstream_list& listed,
                                         const std::string& group) const;

    /// The highest term heard of.
    std::uint64_t newest_term() const { return m_newest; }

private:
    std::map<std::string, std::uint64_t, std::less<>> m_terms;
    std::uint64_t m_newest = 0;
};

} // namespace bronzeplank
