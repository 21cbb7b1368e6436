/// \file
/// Routes work and commands to an instance through its gateway, on this host or another one.
#pragma once

#include "bronzeplank/established_replicas.hpp"
#include "bronzeplank/failover.hpp"
#include "bronzeplank/process_continuity.hpp"
#include "bronzeplank/unbroken_contact.hpp"
#include "session/fleet.hpp"
#include "session/fleet_directory.hpp"
#include "session/gateway_selection.hpp"
#include "session/upstream_work.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzeplank {

/// The functions of this host's own gateway that the router uses.
struct local_gateway {
    std::function<void(upstream_work, answer_handler)> run;
    std::function<void(const std::string&, const transaction_key&)> end_transaction;
    std::function<void(const std::string& instance, const work_key&)> drop;
    std::function<void(const std::string&, replication_command, std::uint64_t, status_handler)>
        send_command;
    /// Returns nothing when this host has no pool for the instance.
    std::function<std::optional<pool_status>(const std::string&)> status;
};

/// Where the router finds out whether a group may have another primary.
struct leadership_sources {
    /// The group's instances that may be running, listed or not.
    std::function<std::set<std::string>(const std::string& group)> members;
    /// The members that are stored on the platform; nullptr if this host doesn't know them.
    std::function<const std::set<std::string>*(const std::string& group)> stored_members;
    std::function<bool()> platform_reachable;
    /// Reads the group's claim; empty if the platform doesn't answer. `complete` is set only if the
    /// claim covers all promotions up to now; its promoted term is `any_term` if the members can't
    /// tell either. `finished` is also set if its holder can't act on it any more.
    std::function<void(const std::string& group,
                       std::function<void(const std::optional<failover_claim>&)>)>
        read_claim;
    /// The instances whose promotion may still take effect, as far as claims that this host has
    /// read name them.
    std::function<std::set<std::string>(const std::string& group)> in_doubt;
};

/// Selects the gateway of each instance, and checks which instance is the primary.
///
/// Leadership check: before an instance is promoted, every reachable replica is paused with the new
/// term, and stays paused until it follows the new primary. Therefore, if a replica is queried
/// after a check was requested, and it follows a term no newer than the primary's and isn't paused
/// by a newer one, no later primary had acknowledged anything when the check was requested. One
/// answer serves all checks that were requested before the replica was queried. Only established
/// replicas are queried: a host that promotes another instance may not know a new one.
///
/// A promotion ends the pauses, and a replica that can't hear the successor confirms the old
/// primary again. Therefore a check passes only while the contact with the group is unbroken; it is
/// restored once all members confirm the primary, or the platform has no newer claim.
///
/// A replica that starts again under its id forgets its pause. Therefore its answers count only on
/// a connection that was open before any claim that may be acted on was written
/// (process_continuity). After a connection has been opened anew, the claim is read once to find
/// out.
///
/// A group whose commits need no replica may have lost its replicas and go on. If none of them has
/// answered lately, the check rests on the claim alone, and so does the acknowledgement of a
/// commit. A group of one instance needs no check.
///
/// Commit confirmation: while a group has a new replica, or no established one has answered lately,
/// or if the commit was delayed, it is acknowledged only once an established replica is seen to
/// have received it, and the primary still led then. While the promotion of another instance may
/// still take effect, each such instance has to have received it as well, and to confirm each
/// check.
///
/// Usage: call connect() once, then send work to `gateway_of(instance)` with run().
class upstream_router {
public:
    upstream_router(event_loop& loop, std::string host, std::string failure_domain,
                    fleet_directory& directory);

    /// Must be called before any other function; the router, the fleet and the gateway depend on
    /// each other.
    void connect(fleet& peers, local_gateway gateway);

    /// Without sources, the listed instances are a group's members, and claims can't be read.
    void set_leadership_sources(leadership_sources sources) { m_sources = std::move(sources); }

    /// Called when this host stops: it is no longer chosen as a gateway unless no other host is
    /// live.
    void leave() { m_gateways.leave(); }

    /// The host that currently serves the instance; this host if there is no other.
    std::string gateway_of(const upstream_instance& instance) const {
        return m_gateways.gateway_of(instance);
    }

    /// Runs the work through the given host.
    void run(const std::string& host, const upstream_work& work, answer_handler on_answer);
    void end_transaction(const std::string& host, const std::string& instance,
                         const transaction_key& key);

    /// Refuses the work if it is still queued; its answer is no longer needed.
    void drop_work(const std::string& host, const std::string& instance, const work_key& key);
    /// When this host last received a message of the other one; now for this host itself.
    time_point last_heard(const std::string& host) const;

    /// Sends a command or a status request to an instance through its gateway, and records the role
    /// and term that it reports.
    void send_command(const std::string& instance, replication_command command, std::uint64_t term,
                      status_handler on_status);

    /// Requests a position of the group's primary that was read after the call and passed a
    /// leadership check.
    void request_verified_position(const std::string& group, verified_position_handler on_position);

    /// Like request_verified_position(), but queries the instances from this host; called on the
    /// primary's gateway.
    void read_verified_position(const std::string& group, verified_position_handler on_position);

    /// Checks that the instance is the group's primary at some time after the call.
    void check_leadership(const std::string& group, const std::string& instance,
                          std::function<void(bool)> on_checked);

    /// Whether nothing that the group's primary does can be confirmed any more: for a claim's time,
    /// the claim has named a newer term, which the primary doesn't lead.
    bool is_superseded(const std::string& group, const std::string& instance) const;

    /// Whether prove_by_members() may succeed: all members that may run are reachable, and most
    /// hosts are live.
    bool can_ask_members(const std::string& group) const;

    /// Proves that the group's primary led it at some time after the call, by answers of all
    /// members.
    void prove_by_members(const std::string& group, std::function<void(bool)> on_proved);

    /// Whether nothing shows that a commit at the instance could not be acknowledged. False for a
    /// group whose commits need no replica while its primary's leadership isn't proved: the
    /// instance would commit, and confirm_commit() might fail.
    bool can_acknowledge(const std::string& group, const std::string& instance);

    /// Checks that a commit that changed data outlasts a failover. Calls `on_confirmed` immediately
    /// unless an instance has to be asked: the one that committed, if it isn't known as the primary
    /// of the position's term, and established replicas, if they have to show that one of them has
    /// received the position. With false if none has in time, or if the instance may have been
    /// replaced.
    /// \param position the end of the instance's log when it answered the commit
    /// \param took the time from the request to the instance's answer
    void confirm_commit(const std::string& group, const std::string& instance,
                        const log_position& position, duration took,
                        std::function<void(bool)> on_confirmed);

    /// Notes which instances are new; to be called several times a second.
    void observe_instances(time_point now);

    /// Whether every host that may replace the group's primary knows the instance, and has paused
    /// the process that has just answered if it is replacing the primary now.
    bool vouches(const std::string& group, const std::string& instance,
                 const replication_status& answer, time_point requested_at);

    /// The pool status of an instance as its gateway reports it, or as this host sees it.
    pool_status status_of(const upstream_instance& instance) const {
        return m_gateways.status_of(instance);
    }

    reachability_votes reachability_of(const std::string& instance) const {
        return m_gateways.reachability_of(instance);
    }

    const std::string& host() const { return m_gateways.host(); }
    const std::string& failure_domain() const { return m_gateways.failure_domain(); }

private:
    // Minimum time between the starts of two rounds for one group. Requests in between share the
    // next round, which reads the position after they arrived.
    static constexpr std::chrono::milliseconds min_position_round_interval{250};

    struct position_round {
        bool scheduled = false;
        time_point started_at{};
        std::vector<verified_position_handler> waiting;
        timer delay;
    };

    struct leadership_request {
        std::string instance;
        std::function<void(bool)> on_checked;
    };

    struct leadership_round {
        bool running = false;
        std::vector<leadership_request> waiting;
    };

    /// The contact with a group under its present primary.
    struct group_contact {
        known_primary primary;
        unbroken_contact contact;
        /// When a check was last requested; contact is kept for a while afterwards.
        time_point used_at{};
        bool restoring = false;
        time_point restoration_failed_at{};
        /// Since when, and when last, contact could not be restored because the claim names a newer
        /// term.
        std::optional<time_point> superseded_since;
        time_point superseded_at{};
        /// When the newest claim was requested that has shown that the primary leads.
        time_point proved_by_claim_at{};
        /// Which processes' answers count; independent of the primary.
        process_continuity processes;
        /// The claim is being read for answers on new connections.
        bool reading_claim = false;
        time_point next_claim_read_at{};
        /// Checks that the running restoration serves, and those that came too late for it.
        std::vector<std::function<void(bool)>> served;
        std::vector<std::function<void(bool)>> waiting;
    };

    /// An attempt to prove that a primary still leads its group.
    struct restoration {
        std::string group;
        known_primary primary;
        time_point requested_at{};
        /// The members to ask, and those to ask afterwards.
        std::vector<std::string> first;
        std::vector<std::string> rest;
        bool old_confirmed = false;
        /// Receives whether the primary led the group at that time.
        std::function<void(bool proved, time_point proved_at)> on_finished;
    };

    struct commit_request {
        log_position position;
        time_point deadline;
        std::function<void(bool)> on_confirmed;
        /// An established replica has received it.
        bool established_has_it = false;
        std::set<std::string> received_by{};
    };

    struct commit_round {
        bool running = false;
        std::vector<commit_request> waiting;
        timer delay;
    };

    established_replicas& established_in(const std::string& group);
    established_replicas& established_in(const std::string& group, time_point now);
    group_contact& contact_with(const std::string& group);
    void keep_contact(const std::string& group, time_point now);
    void note_claim(const std::string& group, const std::optional<failover_claim>& claim,
                    const known_primary& primary, time_point read_at);
    void note_proof(const std::string& group, const known_primary& primary, time_point read_at);
    void note_superseded(const std::string& group, bool superseded);
    void require_contact(const std::string& group, std::function<void(bool)> on_checked);
    void prove_leadership(const std::string& group, std::function<void(bool)> on_checked);
    void read_claim_for_new_connections(const std::string& group);
    void restore_contact(const std::string& group);
    void ask_members(const restoration& asked);
    void finish_asking(const restoration& asked, bool all_confirm, bool any_established);
    void restore_by_members(restoration asked);
    void finish_restoring(const std::string& group, const known_primary& primary, bool proved,
                          time_point proved_at);
    std::set<std::string> members_of(const std::string& group) const;
    bool commits_need_confirmation(const std::string& group, const std::string& instance,
                                   duration took);
    std::set<std::string> others_in_doubt(const std::string& group,
                                          const std::string& primary) const;
    bool is_received(const std::string& group, const std::string& primary,
                     const commit_request& request) const;
    void record_received(const std::string& group, const known_primary& primary,
                         const std::string& replica, const replication_status& status,
                         time_point requested_at);
    void confirm_commit_of_primary(const std::string& group, const known_primary& primary,
                                   const log_position& position, duration took,
                                   std::function<void(bool)> on_confirmed);
    void confirm_unreplicated_commit(const std::string& group, const known_primary& primary,
                                     std::function<void(bool)> on_confirmed);
    void acknowledge_in_contact(const std::string& group, const std::string& instance,
                                commit_request request);
    std::function<void(bool)> then_ask_those_in_doubt(const std::string& group,
                                                      const std::string& instance,
                                                      std::function<void(bool)> on_checked);
    void ask_those_in_doubt(const std::string& group, const std::string& instance,
                            const std::function<void(bool)>& on_checked);
    void start_commit_round(const std::string& group, const std::string& instance);
    void finish_commit_round(const std::string& group);
    void run_position_round(const std::string& group);
    void verify_position(const std::string& group, verified_position_handler on_position);
    void start_leadership_round(const std::string& group, const std::string& instance);
    void request_confirmation(const std::string& group, const std::string& instance,
                              std::vector<std::string> confirming_replicas,
                              std::function<void(bool)> on_checked);
    void record_status(const std::string& instance, const replication_status& status,
                       time_point requested_at);
    bool commits_without_replicas(const std::string& group) const;
    bool is_sole_member(const std::string& group, const std::string& instance) const;
    bool is_proved_lately(const std::string& group, const std::string& primary);
    void prove_without_replicas(const std::string& group, const std::string& instance,
                                std::function<void(bool)> on_checked);
    bool is_stored(const std::string& group, const std::string& instance) const;
    std::vector<std::string> confirming_replicas(const std::string& group,
                                                 const std::string& primary);

    event_loop& m_loop;
    gateway_selection m_gateways;
    fleet_directory& m_directory;
    fleet* m_fleet = nullptr;
    local_gateway m_gateway;
    std::map<std::string, leadership_round> m_leadership_rounds;
    std::map<std::string, position_round> m_position_rounds;
    std::map<std::string, established_replicas> m_established;
    std::map<std::string, commit_round> m_commit_rounds;
    std::map<std::string, group_contact> m_contacts;
    leadership_sources m_sources;
};

} // namespace bronzeplank
