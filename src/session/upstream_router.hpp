/// \file
/// The way to an instance: through its gateway, here or on another host.
#pragma once

#include "session/fleet.hpp"
#include "session/fleet_directory.hpp"
#include "session/upstream_work.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank {

/// What the router needs of this host's own gateway.
struct local_gateway {
    std::function<void(upstream_work, answer_handler)> run;
    std::function<void(const std::string&, const transaction_key&)> end_transaction;
    std::function<void(const std::string&, replication_command, std::uint64_t, status_handler)>
        order;
    /// Nothing when this host has no lane to the instance.
    std::function<std::optional<lane_state>(const std::string&)> state;
};

/// Finds the gateway of each instance, and proves who is primary.
///
/// The proof: before an instance is promoted, every replica that can be reached is paused with
/// the new term, and stays so until it follows the new primary. So a replica that, asked after
/// the question arose, follows a term no newer than the primary's and isn't paused, shows that
/// no later primary had acknowledged anything when the question arose. One answer serves all
/// questions that arose before it was asked.
class upstream_router {
public:
    upstream_router(event_loop& loop, std::string host, std::string failure_domain,
                    fleet_directory& directory);

    /// Must be called before anything else; the router, the fleet and the gateway need each other.
    void connect(fleet& peers, local_gateway gateway);

    /// This host stops: it is nobody's gateway any more, unless no other host lives.
    void leave() { m_leaving = true; }

    /// The host that serves the instance now; this host's own name when no other can.
    std::string gateway_of(const upstream_instance& instance) const;

    /// Runs the work through the given host.
    void run(const std::string& host, const upstream_work& work, answer_handler answered);
    void end_transaction(const std::string& host, const std::string& instance,
                         const transaction_key& key);

    /// Asks or orders an instance through its gateway, and learns from what it says.
    void order(const std::string& instance, replication_command what, std::uint64_t term,
               status_handler reported);

    /// A position of the group's primary, proved, and younger than the call.
    void sample(const std::string& group, sample_handler sampled);

    /// As sample(), but asked by this host itself: for the primary's gateway.
    void sample_here(const std::string& group, sample_handler sampled);

    /// Proves that the instance is the group's primary at some time after the call.
    void prove(const std::string& group, const std::string& instance,
               std::function<void(bool)> proved);

    /// What is known of an instance: its gateway's word, or this host's own.
    lane_state state_of(const upstream_instance& instance) const;

    /// How many hosts say that they can't reach the instance, and how many hosts are known, heard
    /// or not, this one included; 0 when nobody says so.
    struct reach_votes {
        int cut_off = 0;
        int hosts = 0;
        bool cut_off_here = false;

        bool most_are_cut_off() const { return 2 * cut_off > hosts; }
    };
    reach_votes votes_on(const std::string& instance) const;

    const std::string& host() const { return m_host; }
    const std::string& failure_domain() const { return m_failure_domain; }

private:
    // Rounds of samples for one group start this far apart at least: hosts that ask in between
    // share the next one, which is younger than their questions.
    static constexpr std::chrono::milliseconds sample_spacing{250};

    // A gateway as found last, and what else than the fleet's view it depended on.
    struct gateway_choice {
        std::string host;
        bool leaving = false;
        bool cut_off_here = false;
    };

    struct sample_round {
        bool scheduled = false;
        time_point started{};
        std::vector<sample_handler> waiting;
        timer delay;
    };

    struct proof_question {
        std::string instance;
        std::function<void(bool)> proved;
    };

    struct proof_round {
        bool running = false;
        std::vector<proof_question> waiting;
    };

    std::string find_gateway(const upstream_instance& instance, bool cut_off_here) const;
    void run_sample_round(const std::string& group);
    void take_sample(const std::string& group, sample_handler sampled);
    void start_round(const std::string& group, const std::string& instance);
    void ask_witness(const std::string& group, const std::string& instance,
                     std::vector<std::string> witnesses, std::function<void(bool)> proved);
    void learn(const std::string& instance, const replication_status& status);
    bool commits_without_replicas(const std::string& group) const;
    std::vector<std::string> witnesses(const std::string& group, const std::string& primary) const;

    event_loop& m_loop;
    std::string m_host;
    std::string m_failure_domain;
    fleet_directory& m_directory;
    fleet* m_fleet = nullptr;
    local_gateway m_gateway;
    mutable std::map<std::string, gateway_choice, std::less<>> m_gateways;
    mutable std::uint64_t m_gateways_view = 0;
    std::map<std::string, proof_round> m_rounds;
    std::map<std::string, sample_round> m_samples;
    bool m_leaving = false;
};

} // namespace bronzeplank
