/// \file
/// The instances of a group that a failover has to account for, listed by the platform or not.
#pragma once

#include "bronzeplank/primary_tracker.hpp"
#include "bronzeplank/settings.hpp"
#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bronzeplank {

/// The members of a group as stored on the platform, for hosts that start later.
struct group_members {
    /// The primary when they were stored.
    std::string primary;
    /// The instances that a failover has to account for.
    std::set<std::string> members;
    /// Those of them that leave, or have left, as planned.
    std::set<std::string> leaving;
    /// The era of the platform's store in which they were stored.
    std::uint64_t era = 0;
    /// Where they listen or have listened, as far as it is known.
    std::map<std::string, endpoint> addresses = {};
    /// When their processes started, in Unix milliseconds, as far as it is known.
    std::map<std::string, std::int64_t> born_ms = {};
    /// For how many full minutes they had not been listed, if it was at least one.
    std::map<std::string, std::int64_t> unlisted_minutes = {};
    bool operator==(const group_members&) const = default;
};

/// Remembers the instances of a group whose logs a failover has to account for: an instance that
/// loses the platform becomes unlisted, yet may go on acknowledging commits together with a primary
/// that this host can't reach; and one that has exited may have been the only one besides the
/// primary that had received some of them.
///
/// Guarantee: an instance is left out only if it left as planned while hosts could reach it, or
/// another one has answered at its address, and another replica has since been seen to have every
/// commit that it may have helped to acknowledge; or after `unlisted_retention`.
///
/// The evidence is a position that a primary reported once the instance was gone, and an
/// established replica that stays, has received that position and follows the primary's term, not
/// paused by a newer claim. What the instance had acknowledged with this primary is below the
/// position. What it had acknowledged in earlier terms is in the primary's log, for which the
/// primary's coordinator accounted. In a newer term it had acknowledged nothing, since the replica
/// would have been paused for it. Thus the evidence may come from any primary, and that of a newer
/// one replaces that of the one before.
///
/// A process that starts again under its id may have lost its log. The earlier process stays a
/// member of its own, under former_process_id(), and has ended.
///
/// Usage: `roster.update(listed, now); if (roster.awaits_answers()) {}` ask the instances and call
/// `roster.record_answer(id, status, established, requested_at)`; `roster.members()`.
class group_roster {
public:
    /// How long an unlisted instance counts as running. Longer than regions lose each other for.
    static constexpr std::chrono::minutes unlisted_retention{10};
    /// An instance that exits may appear unreachable shortly before it becomes unlisted; a cut may
    /// remain unnoticed for this long.
    static constexpr std::chrono::milliseconds detection_time{1500};

    /// A listed instance as this host sees it.
    struct listed_member {
        bool leaving = false;
        bool reachable = true;
        endpoint address{};
        /// The start of its process, in Unix milliseconds; 0 if it is not known.
        std::int64_t born_ms = 0;
        bool operator==(const listed_member&) const = default;
    };

    /// Updates the roster; to be called several times a second.
    void update(const std::map<std::string, listed_member>& listed, time_point now);

    /// Whether answers of the primary and the replicas may show that an instance can be left out.
    bool awaits_answers() const;

    /// Takes what an instance answered to a question that was sent at `requested_at`.
    /// \param established whether every host that may replace the primary knows the instance
    void record_answer(const std::string& instance, const replication_status& status,
                       bool established, time_point requested_at);

    /// The instances that a failover has to account for.
    std::set<std::string> members() const;

    /// Those of them that leave, or have left, as planned; not one that lost the platform
    /// meanwhile.
    std::set<std::string> leaving() const;

    /// Where the members listen or have listened.
    std::map<std::string, endpoint> addresses() const;

    /// When the members' processes started, in Unix milliseconds, as far as it is known.
    std::map<std::string, std::int64_t> born_ms() const;

    /// For how many full minutes members have not been listed, if it is at least one.
    std::map<std::string, std::int64_t> unlisted_minutes() const;

    /// The member that stands for a process of the instance that started at that time, once another
    /// one has started under the same id.
    static std::string former_process_id(const std::string& id, std::int64_t born_ms);

    /// Adds members that other hosts have stored and that this one has neither seen nor left out,
    /// and those that have started again since.
    void merge(const group_members& stored, time_point now);

    /// Whether the members include each instance that may have been the only one besides the
    /// primary to receive a commit. An instance that left before this roster began is unknown to
    /// it, until there is the evidence by which a known one is left out.
    bool is_complete() const { return m_before_start.settled; }
    /// Whether answers may show that the roster is complete.
    bool awaits_evidence_of_start() const;

private:
    struct primary_report {
        known_primary primary;
        log_position position;
    };

    /// What shows that commits of instances that are gone are elsewhere.
    struct evidence {
        /// Reported after the instances were gone.
        std::optional<primary_report> report;
        /// A replica has received the reported position.
        bool settled = false;
    };

    struct known_member {
        bool listed = false;
        bool leaving = false;
        time_point last_listed;
        time_point last_reachable;
        endpoint address;
        std::int64_t born_ms = 0;
        /// When another instance was asked that has answered at the address.
        std::optional<time_point> replaced_at;
        evidence after_exit;
    };

    struct left_out_member {
        time_point since;
        std::int64_t born_ms = 0;
    };

    static bool exited(const known_member& known);
    static bool has_ended(const known_member& known);
    static bool replaces(const known_member& later, const known_member& known);
    static bool has_restarted(const known_member& known, std::int64_t born_ms);
    static bool is_back(const group_members& stored, const std::string& id,
                        const left_out_member& left_out);
    static known_member member_of(const group_members& stored, const std::string& id,
                                  time_point now);
    static std::int64_t stored_start(const group_members& stored, const std::string& id);
    static duration unlisted_before(const group_members& stored, const std::string& id);
    void add_former_process(const std::string& id, const known_member& former, time_point now);
    static bool is_obsolete(const known_member& known, time_point now);
    static void take_answer(evidence& target, const std::string& instance,
                            const replication_status& status, bool may_settle);

    std::map<std::string, known_member> m_members;
    std::map<std::string, left_out_member> m_left_out;
    /// Of the instances that left before the first update.
    evidence m_before_start;
    std::optional<time_point> m_started_at;
    time_point m_updated_at{};
};

} // namespace bronzeplank
