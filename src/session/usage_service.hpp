/// \file
/// Counts operations, passes the counts on to the reporting host, and reports if this is it.
#pragma once

#include "bronzeplank/usage_report.hpp"
#include "runtime/task.hpp"
#include "session/fleet.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bronzeplank {

/// The operations of the platform that usage reports need.
struct usage_platform {
    /// Whether the store answers.
    std::function<bool()> reachable;
    /// The store's latest era that has been seen.
    std::function<std::uint64_t()> era;
    std::function<task<stored_usage_claim>()> read;
    /// Writes the claim if the stored one has the expected position.
    std::function<task<stored_usage_claim>(store_position expected, usage_claim claim)> write;
    /// Sends a report that can't arrive once it has been given up, and not after `send_by`.
    std::function<task<report_result>(usage_intent report, std::uint64_t token, time_point send_by)>
        report;
    /// The time of day of this machine.
    std::function<utc_time()> time_of_day;
};

/// Counts the operations that this host's sessions have begun, sends the counts to the hosts that
/// keep them, and reports all hosts' counts while this host holds the claim.
///
/// Usage: `usage_service usage(loop, peers, rules, host, domain, platform); usage.start();`
class usage_service {
public:
    usage_service(event_loop& loop, fleet& peers, usage_rules rules, std::string host,
                  std::string failure_domain, usage_platform platform);

    void start() { tick(); }
    /// Stops reporting; counts are still sent, until the process ends.
    void stop();

    /// For session_observer.
    void record_sent(time_point sent_at) { m_open.insert(sent_at); }
    void record_answered(const std::string& workspace, time_point sent_at, bool began);

    /// For fleet_callbacks.
    usage_announcement announcement() const;
    utc_time time_of_day() const { return m_platform.time_of_day(); }
    void record_time_of_day(const std::string& host, utc_time reading);
    void record_usage(const std::string& host, std::uint32_t incarnation,
                      const usage_update& update) {
        m_ledger.record(host, incarnation, update);
    }

    /// The last window that this host knows to be accepted; 0 if it knows none.
    window_number reported() const { return m_reporter.reported(); }
    bool is_holder() const { return announcement().claim != store_position{}; }
    std::uint64_t reported_count() const { return m_reported_count; }
    std::uint64_t missed_count() const { return m_missed_count; }
    /// How far this machine's time of day is from the fleet's.
    duration clock_deviation() const;

private:
    void tick();
    void close_windows(time_point now);
    void publish(time_point now);
    std::vector<std::string> keepers(time_point now) const;
    usage_surroundings surroundings(time_point now);
    task<void> carry_out(usage_step step);
    void log_events();

    event_loop& m_loop;
    fleet& m_fleet;
    usage_rules m_rules;
    std::string m_host;
    std::string m_failure_domain;
    usage_platform m_platform;
    time_point m_started;
    majority_clock m_clock;
    usage_counter m_counter;
    usage_ledger m_ledger;
    usage_reporter m_reporter;
    /// When the first statements were sent of operations whose beginning isn't known yet.
    std::multiset<time_point> m_open;
    window_number m_closed_through = 0;
    time_point m_published_at{};
    /// The hosts that have got all counts so far, and their incarnations.
    std::map<std::string, std::uint32_t> m_receivers;
    window_number m_heard_decided = 0;
    /// The store's era when it first answered.
    std::optional<std::uint64_t> m_first_era;
    std::uint64_t m_reported_count = 0;
    std::uint64_t m_missed_count = 0;
    bool m_busy = false;
    bool m_stopping = false;
    timer m_tick;
};

} // namespace bronzeplank
