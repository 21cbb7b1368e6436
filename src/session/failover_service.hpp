/// \file
/// Fails groups over when their primary is unreachable, stalled or shutting down.
#pragma once

#include "bronzeplank/acknowledged_writes.hpp"
#include "bronzeplank/failover.hpp"
#include "bronzeplank/group_roster.hpp"
#include "runtime/task.hpp"
#include "session/upstream_router.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// A group's failover claim as stored on the platform.
struct stored_claim {
    /// Whether the read, or the conditional write, is known to have succeeded.
    bool succeeded = false;
    /// Its revision is 0 if no claim is stored.
    store_position position;
    failover_claim claim;

    /// Marks the commands of the claim that was written; newer claims have higher tokens.
    std::uint64_t fencing_token() const { return position.fencing_token(); }
    /// Whether the claim was written in the era in which it was read.
    bool is_current() const { return claim.era == position.era; }
    /// Whether no term above the claim's `promoted_term` has been promoted.
    bool covers_promotions() const { return is_current() && claim.complete; }
};

/// The platform's response to a promotion request. An unanswered one may have taken effect, or
/// still do so; of an unsent one no byte has left this host, and none will.
enum class promotion_result { done, refused, unanswered, unsent };

std::string_view to_string(promotion_result result);

/// A group's members as stored on the platform.
struct stored_members {
    /// Whether the read, or the conditional write, is known to have succeeded.
    bool succeeded = false;
    /// Its revision is 0 if none are stored.
    store_position position;
    group_members members;

    /// Whether they were stored in the era in which they were read.
    bool is_current() const { return position.revision > 0 && members.era == position.era; }
};

/// The platform operations that the service depends on.
struct failover_platform {
    std::function<bool()> reachable;
    std::function<store_era()> era;
    /// Reads the instances anew, so that the directory has all that are listed now. False if the
    /// platform did not answer.
    std::function<task<bool>()> refresh_instances;
    std::function<task<stored_claim>(std::string group)> read;
    /// Writes the claim if the stored one still has the expected position. `succeeded` is false if
    /// it doesn't or the outcome is unknown.
    std::function<task<stored_claim>(std::string group, store_position expected,
                                     failover_claim claim)>
        write;
    std::function<task<stored_members>(std::string group)> read_members;
    /// Writes the members if the stored ones still have the expected position.
    std::function<task<stored_members>(std::string group, store_position expected,
                                       group_members members)>
        write_members;
    /// Requests nothing after `lease_end`, also if the loop is late.
    std::function<task<promotion_result>(std::string group, std::string instance,
                                         std::uint64_t token, time_point lease_end)>
        promote;
};

/// Detects failed primaries and runs the failover of their groups. Every host runs the service; a
/// per-group ranking staggers the hosts, so that usually the first one that sees a reason acts.
///
/// A failover claims the next term on the platform by a conditional write, whose position is the
/// fencing token; pauses replication on all replicas, after which the old primary can acknowledge
/// no more commits; chooses and promotes a successor; waits until the other replicas follow it;
/// and demotes the old primary. If a replica doesn't answer but the old primary does, the old
/// primary is demoted first instead.
///
/// The gateway of a group's primary stores the group's members on the platform whenever they
/// change, so that a host that has started since accounts for an instance that has left before. A
/// commit isn't acknowledged on the word of a replica that isn't stored yet.
///
/// When the store has been restored from an older copy, claims may be missing from it. No group is
/// failed over until the leases of the earlier era have expired, claims of that era prove nothing
/// any more, and the primary's gateway writes a new one once all members have confirmed the
/// primary.
///
/// Guarantees: no command that a newer claim may contradict is sent after a claim's lease has
/// expired on the boot clock, so a holder that resumes from suspension does nothing; a replica is
/// promoted only if the old primary can acknowledge no commit any more with any instance that may
/// be running, and if its log includes every commit that this host knows to be acknowledged.
///
/// Usage: `failover_service service(loop, directory, router, peers, platform); service.start();`
class failover_service {
public:
    failover_service(event_loop& loop, fleet_directory& directory, upstream_router& router,
                     fleet& peers, failover_platform platform);

    void start() { tick(); }
    void stop() { m_tick.cancel(); }

    /// Whether a host reports the instance as unreachable, so that hosts other than its gateway
    /// should probe it as well.
    bool is_suspected(const std::string& instance) const { return m_suspected.contains(instance); }

    /// What the router needs to prove a primary's leadership.
    leadership_sources make_leadership_sources();

    /// Records that this host has acknowledged a commit to a caller. If a newer term turns out to
    /// have begun without it, a warning names it.
    void record_acknowledged(const std::string& group, acknowledged_write write);
    /// The newest position that this host has acknowledged, by group.
    std::map<std::string, log_position> acknowledged_positions() const { return m_acknowledged; }
    /// Changes of primary after which this host has missed a write that it had acknowledged.
    std::uint64_t lossy_changes() const { return m_lossy_changes; }

    /// Promotions that this host has completed.
    std::uint64_t promotions() const { return m_promotions; }

private:
    /// A promotion call without a definite end.
    struct promotion_doubt {
        /// The fencing token of the claim that requested it.
        std::uint64_t token = 0;
        /// When this host first saw a claim that names it.
        time_point seen_at;
    };

    struct group_state {
        std::optional<time_point> reason_since;
        failover_reason reason = failover_reason::none;
        failover_reason previous_reason = failover_reason::none;
        bool failover_running = false;
        time_point next_attempt_at{};
        store_position claim_position;
        time_point claim_seen_at{};
        group_roster roster;
        /// When this host next asks about an instance that has left.
        std::optional<time_point> next_roster_question_at;
        /// Whether this host is among those that would replace the primary first, as of
        /// `next_rank_check_at`.
        bool replaces_first = false;
        time_point next_rank_check_at{};
        /// The last known primary; it may be unlisted.
        std::string last_primary;
        std::uint64_t last_term = 0;
        /// When its process started; 0 if it is not known.
        std::int64_t last_primary_born_ms = 0;
        /// The newest primary that a claim names; its promotion may not have taken effect.
        known_primary claimed_primary;
        /// When this host learned that it leads.
        time_point primary_since{};
        /// When this host learned of `last_term`.
        time_point term_since{};
        /// The newest promoted term of a finished claim, and when this host first read one with it.
        std::uint64_t promoted_term = 0;
        time_point promoted_term_seen_at{};
        /// The last primary that this host promoted itself.
        known_primary promoted_here;
        bool waiting_logged = false;
        /// Replicas that were found paused have been resumed for the present reason.
        bool replicas_resumed = false;
        /// The era of the newest stored claim that is known to cover all promotions.
        std::uint64_t covered_era = 0;
        bool renewal_running = false;
        time_point next_renewal_at{};
        /// The members as this host last stored or read them as the gateway of the primary.
        std::optional<group_members> stored_members;
        /// Those of them for whose present process a host waits that starts later.
        std::set<std::string> stored_as_running;
        bool storing_members = false;
        time_point next_storing_at{};
        acknowledged_writes writes;
        /// The newest term that this host has warned of.
        std::uint64_t warned_term = 0;
        /// Instances whose promotion may still take effect.
        std::map<std::string, promotion_doubt> in_doubt;
    };

    /// Commands of one attempt that still wait for their answers, by instance.
    struct command_progress {
        std::map<std::string, replication_status> confirmed;
        std::set<std::string> pending;
        /// When the last instance confirmed that it is paused or demoted.
        time_point confirmed_at{};
        /// Replicas that may be paused and have to be resumed.
        std::set<std::string> to_resume;
        std::set<std::string> resumes_pending;
        /// A resume command has got no answer, so that it may still arrive.
        bool resume_unanswered = false;
        /// The old primary was demoted before the promotion, and has confirmed it.
        bool old_primary_demoted = false;
        /// The old primary has confirmed that it is a replica.
        bool old_primary_stepped_down = false;
    };

    struct failover_attempt {
        std::string group;
        std::string old_primary;
        failover_reason reason = failover_reason::none;
        /// Pauses the replicas; above any term known or claimed before.
        std::uint64_t term = 0;
        /// The term that the successor leads, as the platform counts terms.
        std::uint64_t leading_term = 0;
        /// The newest term that may have been promoted before this attempt, with its instance.
        known_primary promoted_before;
        /// The newest term that may have been promoted, as stored now.
        std::uint64_t promoted_term = 0;
        /// Instances whose promotion may still take effect, as the claim names them.
        std::map<std::string, std::uint64_t> in_doubt;
        /// Whether `promoted_term` covers the promotions of earlier eras of the store.
        bool complete = true;
        /// The claim's position after its last write.
        store_position claim_position;
        std::uint64_t token = 0;
        time_point lease_end;
        /// When the instances were last read anew.
        time_point listed_at;
        /// The successor's position when it was chosen, and what it was chosen from.
        log_position first_position;
        std::string choice;
        /// Whether a promotion request may have reached the platform.
        bool requested = false;
        /// Replicas that a pause command was sent to, whether they have answered or not.
        std::set<std::string> pause_requested;
        std::vector<paused_replica> paused;
        std::shared_ptr<command_progress> commands = std::make_shared<command_progress>();
    };

    task<void> read_claim(std::string group,
                          std::function<void(const std::optional<failover_claim>&)> on_claim);
    void warn_of_missing_writes(const std::string& group, time_point now);
    static void log_missing_writes(const std::string& group, const term_beginning& beginning,
                                   const std::vector<acknowledged_write>& missing);
    /// Logs what the promoter chose from, as the group's claim tells.
    task<void> log_lossy_promotion(std::string group);
    void note_doubts(const std::string& group, const stored_claim& present);
    std::map<std::string, std::uint64_t> promotions_in_doubt(const std::string& group) const;
    void tick();
    void evaluate_group(const std::string& group, time_point now);
    failover_evidence collect_evidence(const std::string& group,
                                       const std::optional<known_primary>& primary) const;
    int failover_rank(const std::string& group) const;
    task<void> run_failover(std::string group, std::string old_primary, failover_reason reason);
    /// \param pause before this host tries the group again
    void finish_attempt(const std::string& group, duration pause);
    bool is_era_settled() const;
    bool may_be_held(const std::string& group, const stored_claim& present, time_point now);
    /// Whether another host has promoted within the time of a claim, as far as this one can tell.
    bool is_recently_promoted(const group_state& state, const failover_claim& claim,
                              time_point now) const;
    task<bool> acquire_claim(failover_attempt& attempt);
    void renew_claim_if_due(const std::string& group, time_point now);
    task<void> renew_claim(std::string group, known_primary primary);
    task<bool> write_renewed_claim(std::string group, known_primary primary);
    void store_members_if_due(const std::string& group, time_point now);
    task<void> store_members(std::string group);
    task<bool> write_current_members(std::string group);
    group_members current_members(const std::string& group);
    void merge_members(const std::string& group, stored_members present);
    static void find_stored_as_running(group_state& state);
    static void note_stored(group_state& state, const group_members& members);
    void update_roster(const std::string& group, time_point now);
    void settle_roster(const std::string& group, const std::string& primary, time_point now);
    static bool is_former(const group_state& state, const known_primary& primary);
    void restore_former_primary(const std::string& group, const known_primary& reported);
    bool completes_roster(const std::string& group, time_point now);
    task<void> ask_for_roster(std::string group, std::string primary);
    /// Asks all members but the primary for their status.
    void ask_replicas(
        const std::string& group, const std::string& primary,
        const std::function<void(const std::string& replica,
                                 const std::optional<replication_status>& status)>& on_answer);
    task<bool> merge_stored_members(std::string group, failover_claim claim);
    /// The primary that a failover replaces: the last known one, or a newer one that is unlisted.
    std::string replaced_primary(const group_state& state) const;
    bool can_account_for_members(const std::string& group, failover_reason reason) const;
    void log_waiting(const std::string& group, group_state& state);
    void log_claim(const std::string& group, const stored_claim& present);
    void log_choice(const failover_attempt& attempt, const std::string& successor) const;
    void record_choice(failover_attempt& attempt, const std::string& successor) const;
    failover_claim claim_for(const failover_attempt& attempt, const std::string& successor,
                             std::uint64_t term) const;
    failover_claim claim_without_successor(const failover_attempt& attempt,
                                           std::uint64_t era) const;
    static std::string joined(const std::set<std::string>& instances);
    task<bool> resume_paused_replicas(failover_attempt& attempt);
    task<std::string> pause_and_choose_successor(failover_attempt& attempt);
    void request_pauses(failover_attempt& attempt, duration waited);
    std::vector<std::string> replicas_to_pause(const failover_attempt& attempt) const;
    bool is_list_current(const failover_attempt& attempt) const;
    failover_choice current_choice(const failover_attempt& attempt) const;
    task<bool> store_successor(failover_attempt& attempt, std::string successor,
                               std::uint64_t term);
    task<bool> pauses_hold(failover_attempt& attempt);
    static void log_unanswered(const failover_attempt& attempt, const std::string& successor,
                               int call, duration took);
    task<bool> promote(failover_attempt& attempt, std::string successor);
    void send_resume(const failover_attempt& attempt, const std::string& replica);
    task<void> resume_replicas(failover_attempt& attempt);
    task<void> wait_for_resumes(const failover_attempt& attempt);
    task<void> abandon(failover_attempt& attempt);
    void repeat_pause(const failover_attempt& attempt, const std::string& successor);
    task<void> wait_until_following(failover_attempt& attempt, std::string successor);
    task<void> complete_failover(failover_attempt& attempt, std::string successor);
    task<std::optional<replication_status>>
    send_command(std::string instance, replication_command command, std::uint64_t term);
    std::vector<std::string> other_members(const std::string& group,
                                           const std::string& primary) const;
    log_position newest_acknowledged(const std::string& group) const;
    /// Whether the reason for the failover still holds.
    bool is_still_required(const failover_attempt& attempt) const;
    static bool lease_valid(const failover_attempt& attempt) {
        return event_loop::now() < attempt.lease_end;
    }

    event_loop& m_loop;
    fleet_directory& m_directory;
    upstream_router& m_router;
    fleet& m_fleet;
    failover_platform m_platform;
    std::map<std::string, group_state> m_groups;
    std::map<std::string, log_position> m_acknowledged;
    std::set<std::string> m_suspected;
    std::uint64_t m_promotions = 0;
    std::uint64_t m_lossy_changes = 0;
    timer m_tick;
};

} // namespace bronzeplank
