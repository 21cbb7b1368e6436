/// \file
/// Which instances of a group may vouch for its primary.
#pragma once

#include "bronzeplank/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace bronzeplank {

/// Tells established instances from new ones. A host that starts a failover accounts for every
/// instance that was listed before its claim. It can't account for one that joins the old primary
/// later, behind a network partition: with it, the old primary could acknowledge commits that the
/// successor lacks. Therefore a new instance neither confirms the primary nor suffices for a commit
/// until a claim that did not know it must have ended.
///
/// Guarantee: while an established instance answers that it follows the primary, every host that
/// may replace the primary knows all established instances.
///
/// Usage: `replicas.update(listed, now);` on each change of the list, `record_answer()` for each
/// status of a replica that follows the primary, then `is_established(id)`.
class established_replicas {
public:
    /// A claim that was written before an instance became listed is not acted on for longer.
    static constexpr std::chrono::milliseconds probation{3000};
    /// An answer shows for this long that this host is not cut off from the group's instances.
    static constexpr std::chrono::milliseconds contact_window{150};

    /// Takes the group's listed instances with the start time of each one's process. Those of the
    /// first call count as established.
    void update(const std::map<std::string, std::int64_t>& listed, time_point now);

    /// Records that a replica answered that it follows the known primary and isn't paused.
    void record_answer(const std::string& instance, time_point requested_at);

    bool is_established(const std::string& instance) const;

    /// Whether the instance is established, or would be if others answered.
    bool may_be_asked(const std::string& instance, time_point now) const;

    /// Whether an established replica, other than the given primary, has answered recently.
    bool in_contact(const std::string& primary, time_point now) const;

private:
    struct known_instance {
        std::int64_t born_ms = 0;
        time_point first_listed;
        /// Since this start of its process.
        time_point listed_since;
        bool established = false;
        bool listed = true;
        time_point last_answer_requested_at{};
    };

    bool answered_recently(const known_instance& known, time_point now) const;
    bool older_ones_answer(const std::string& instance, time_point now) const;

    std::map<std::string, known_instance, std::less<>> m_instances;
    bool m_updated = false;
};

} // namespace bronzeplank
