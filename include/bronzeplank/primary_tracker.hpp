/// \file
/// The instance that a host considers its group's primary.
#pragma once

#include "bronzeplank/fleet_configuration.hpp"
#include "bronzeplank/statement.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeplank {

/// A group's primary and its term; term 0 if only the list names it.
struct known_primary {
    std::string instance;
    std::uint64_t term = 0;
    bool operator==(const known_primary&) const = default;
};

/// The position up to which a primary's log held the commits of earlier terms when it began to lead
/// its term.
struct term_beginning {
    known_primary primary;
    log_position first_position;
    bool operator==(const term_beginning&) const = default;
};

/// How a host has learned that an instance is the primary of a term.
enum class primary_evidence {
    /// Only the list names it as the primary.
    listed,
    /// Another host considers it the primary.
    peer,
    /// The platform has accepted its promotion.
    promotion,
    /// The instance has reported its role and term.
    status
};

std::string_view to_string(primary_evidence evidence);

/// Checks the primary's leadership by a replica's report: when the report was requested, no newer
/// term had a primary, since the replica neither follows a newer term nor is paused by a claim of
/// one. A primary whose term is not known (0) can't be confirmed.
bool confirms_leadership(const replication_status& replica, const known_primary& primary);

/// Tracks one group's primary, as reported by the list, by the instances themselves and by
/// promotions that any host has started. The instance with the highest term is the current one; it
/// is replaced by one with a lower term only if it has left the list or reported to be a replica. A
/// term has one primary: of contradicting reports, the one with the stronger evidence counts.
/// Usage: `tracker.record_primary("a", 3, primary_evidence::status);`
/// `const auto primary = tracker.current(listed, "g");`
class primary_tracker {
public:
    /// Records that the instance is or was the primary of the term, as it reported itself or as the
    /// platform accepted. Ignored if stronger evidence names another one.
    void record_primary(const std::string& instance, std::uint64_t term, primary_evidence evidence);

    /// Records what another host believes. Ignored if another instance is known as the primary of
    /// the term, or if this one has reported to be a replica since: the other host may not have
    /// heard of that.
    void record_hearsay(const std::string& instance, std::uint64_t term);

    /// Records that the instance reported to be a replica: it is the primary of no term up to this.
    void record_replica(const std::string& instance, std::uint64_t term);

    /// Returns the listed instance of the group with the highest known term; nothing if no listed
    /// instance is known as a primary.
    std::optional<known_primary> current(const upstream_list& listed,
                                         const std::string& group) const;

    /// How this host has learned that the instance is the primary of the newest term that is known
    /// of it.
    primary_evidence evidence_for(const std::string& instance) const;

    /// Records how the primary's term began; what was recorded first holds.
    void record_beginning(const term_beginning& beginning);

    /// The first position of the primary's term; nothing if this host hasn't learned it.
    std::optional<log_position> first_position(const known_primary& primary) const;

    /// How the newest terms began, by term.
    const std::map<std::uint64_t, term_beginning>& beginnings() const { return m_beginnings; }

    /// The highest term of any report.
    std::uint64_t newest_term() const { return m_newest; }

private:
    struct led_term {
        std::uint64_t term = 0;
        primary_evidence evidence = primary_evidence::listed;
    };

    /// Whether another instance is known as the term's primary by evidence that outweighs this.
    bool is_contradicted(const std::string& instance, const led_term& led) const;
    void record(const std::string& instance, const led_term& led);

    /// The highest known term of which the instance is or was the primary.
    std::map<std::string, led_term, std::less<>> m_terms;
    /// The highest known term in which the instance reported to be a replica.
    std::map<std::string, std::uint64_t, std::less<>> m_replica_terms;
    std::uint64_t m_newest = 0;
    static constexpr std::size_t kept_beginnings = 4;
    std::map<std::uint64_t, term_beginning> m_beginnings;
};

} // namespace bronzeplank
