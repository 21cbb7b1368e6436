/// \file
/// Reports of each workspace's operations per time window: counting, collecting the hosts' counts,
/// and the decisions of the one host that reports.
#pragma once

#include "bronzeplank/majority_clock.hpp"
#include "bronzeplank/store_position.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bronzeplank {

/// Counts the windows since the start of 1970.
using window_number = std::int64_t;

/// Operations by workspace.
using usage_counts = std::map<std::string, std::uint64_t>;

/// What the platform asks for.
struct usage_rules {
    duration window = std::chrono::seconds(5);
    /// A report is due this long after the end of its window.
    duration due_after = std::chrono::seconds(10);
    /// The minimum time between the calls of two reporting hosts.
    duration lease = std::chrono::seconds(3);
    bool operator==(const usage_rules&) const = default;

    window_number window_at(utc_time time) const;
    utc_time start_of(window_number number) const { return utc_time(number * window); }
    utc_time end_of(window_number number) const { return start_of(number + 1); }
};

/// A host's own counts, or those that changed since its last message. Counts are cumulative within
/// their window, so that messages may be lost, repeated or reordered.
struct usage_update {
    /// When the host's process began to count.
    utc_time counting_since{};
    /// The counts of the windows up to this one are final.
    window_number closed_through = 0;
    std::map<window_number, usage_counts> windows;
    bool operator==(const usage_update&) const = default;
};

/// Counts the operations of one host.
///
/// Usage: `counter.add(window, workspace); send(counter.take_changes());`
class usage_counter {
public:
    void add(window_number window, const std::string& workspace);
    /// The counts that have changed since the last call, and all of a window that has closed since
    /// then: a message before may have been lost.
    /// \param closed_through the windows up to this one are final
    std::map<window_number, usage_counts> take_changes(window_number closed_through);
    const std::map<window_number, usage_counts>& windows() const { return m_windows; }
    void remove_before(window_number window);

private:
    std::map<window_number, usage_counts> m_windows;
    std::map<window_number, std::set<std::string>> m_changed;
    std::optional<window_number> m_closed_through;
};

/// The last counts of all hosts that this host knows, also of hosts that have died since.
///
/// Usage: `ledger.record(host, incarnation, update); const auto counts = ledger.total(window);`
class usage_ledger {
public:
    /// \param incarnation identifies the start of the host's process
    void record(const std::string& host, std::uint32_t incarnation, const usage_update& update);
    /// Whether the counts of the host's latest process are final for the window.
    bool is_closed(const std::string& host, window_number window) const;
    /// When the host's latest process began to count; nothing if it has sent no counts.
    std::optional<utc_time> counting_since(const std::string& host) const;
    usage_counts total(window_number window) const;
    void remove_before(window_number window);

private:
    struct entry {
        utc_time counting_since{};
        window_number closed_through = 0;
        std::map<window_number, usage_counts> windows;
    };
    struct host_entry {
        std::uint32_t latest = 0;
        std::map<std::uint32_t, entry> by_incarnation;
    };

    const entry* latest(const std::string& host) const;

    std::map<std::string, host_entry> m_hosts;
};

/// A live host that may keep the counts of others, and report them.
struct usage_keeper {
    std::string host;
    std::string failure_domain;
    bool operator==(const usage_keeper&) const = default;
};

/// The hosts in the order in which they take over the reports. The first ones are in different
/// failure domains, as far as there are so many.
/// \param live the live hosts that reach the store and aren't leaving, in any order
std::vector<std::string> order_usage_keepers(std::vector<usage_keeper> live);

/// A window and the counts that are reported for it.
struct usage_intent {
    window_number window = 0;
    usage_counts counts;
    bool operator==(const usage_intent&) const = default;
};

/// The claim to be the reporting host, as stored. Its token is its position in the store.
struct usage_claim {
    std::string holder;
    /// Identifies the start of the holder's process.
    std::uint32_t incarnation = 0;
    /// The era of the store in which the claim was written.
    std::uint64_t era = 0;
    /// The last window that the platform is known to have accepted.
    window_number reported = 0;
    /// The first window whose counts aren't decided.
    window_number next = 0;
    /// What is sent under this claim's token. It never changes for a window.
    std::optional<usage_intent> intent;
    /// When the holder stops sending, in true time. For operators: hosts judge leases by their
    /// own boot clocks.
    utc_time lease_end{};
    bool operator==(const usage_claim&) const = default;
};

/// A claim and its position, or the outcome of a write.
struct stored_usage_claim {
    enum class outcome {
        done,
        /// A read found no claim.
        absent,
        /// A write was expected at another position, and had no effect.
        conflict,
        /// Without an answer; a write may have taken effect or still do so.
        unanswered
    };
    outcome result = outcome::unanswered;
    store_position position;
    usage_claim claim;
};

/// How a report ended.
enum class report_result {
    accepted,
    /// The platform knows a higher token.
    token_refused,
    /// The platform doesn't accept the report's contents.
    rejected,
    /// The platform has refused it for now, or it has never left this host.
    not_taken,
    /// It may have been accepted.
    unanswered
};

/// What the reporting host, or one that may become it, does next.
struct usage_step {
    enum class action { wait, read_claim, write_claim, send_report };
    action next = action::wait;
    /// For a write: where the claim is expected, and its new contents.
    store_position expected;
    usage_claim claim;
    /// For a report: its token, and the time after which it must not be sent.
    std::uint64_t token = 0;
    time_point send_by{};
    usage_intent report;
};

/// What a host knows of the others when it decides.
struct usage_surroundings {
    time_point now{};
    utc_time true_time{};
    /// Whether the platform's store answers.
    bool store_reachable = true;
    /// Whether the store has been restored from an older copy since this host's start.
    bool store_restored = false;
    /// The live hosts, this one included.
    std::vector<std::string> live;
    /// This host's place in the order of keepers; nothing if it is none.
    std::optional<std::size_t> rank;
    /// Whether another live host reaches the store.
    bool peers_reach_store = true;
    /// Whether more than half of the hosts that may be running are heard.
    bool sees_majority = true;
    /// The newest claim that a live peer holds, as it says.
    store_position heard_claim;
    /// The last window that a live peer says is decided.
    window_number heard_decided = 0;
};

/// Something that operators should know.
struct usage_event {
    enum class kind { became_holder, lost_claim, reported, missed };
    kind type = kind::reported;
    window_number first = 0;
    window_number last = 0;
    std::uint64_t token = 0;
    std::string reason;
    bool operator==(const usage_event&) const = default;
};

/// Decides which host reports, and what it sends when.
///
/// A holder writes the next window's counts into the claim (the intent), with the condition that
/// the claim is unchanged. The write's position is the token under which these counts are sent.
/// Another host takes the claim over when it has heard no holder for a lease, has read the claim,
/// and finds it unchanged after a further lease, within which no holder sends any more.
///
/// Guarantees, if each host's boot clock runs on and a report that is given up can't arrive later:
/// - All reports of a window have the same counts, since counts are sent only as the stored claim
///   has them, and no claim changes those of its predecessor's window.
/// - A token belongs to one host, and tokens never fall from one call to the next.
/// - A host that has been replaced sends nothing for a lease at least.
///
/// Usage: `const auto step = reporter.next_step(around, ledger);`, then carry the step out and
/// record its outcome before the next one.
class usage_reporter {
public:
    /// Windows that are older than this many are no longer reported.
    static constexpr window_number kept_windows = 12;
    /// Time for counts to arrive after a window has ended, and for clocks to differ.
    static constexpr std::chrono::milliseconds settle_time{200};
    /// The first hosts of the order receive all counts, and only they take the claim over.
    static constexpr std::size_t keeper_count = 3;

    usage_reporter(usage_rules rules, std::string host, std::uint32_t incarnation,
                   time_point started);

    usage_step next_step(const usage_surroundings& around, const usage_ledger& ledger);
    void record_read(time_point now, const stored_usage_claim& read);
    /// \param sent_at when the write was begun
    void record_written(time_point sent_at, time_point now, const stored_usage_claim& written);
    void record_sent(time_point now, report_result result);

    /// The claim that this host holds and works by; nothing if it isn't the holder, or fails to
    /// act as the holder.
    std::optional<store_position> held_claim(time_point now) const;
    /// The last window whose counts are decided, as far as this host knows.
    window_number decided() const { return m_claim.next - 1; }
    /// The last window that this host knows to be accepted.
    window_number reported() const { return m_reported; }

    std::vector<usage_event> take_events() { return std::exchange(m_events, {}); }

private:
    usage_step follow(const usage_surroundings& around, const usage_ledger& ledger);
    usage_claim claim_over(const usage_surroundings& around, const usage_ledger& ledger) const;
    usage_step hold(const usage_surroundings& around, const usage_ledger& ledger);
    usage_step write_step(const usage_surroundings& around, usage_claim wanted);
    usage_step send_step() const;
    bool is_ready(const usage_surroundings& around, const usage_ledger& ledger) const;
    window_number first_known_window(const usage_surroundings& around,
                                     const usage_ledger& ledger) const;
    void lose_claim(time_point silent_since, const std::string& reason);
    void settle(usage_event::kind type, const std::string& reason);
    void skip_to(window_number next, const std::string& reason);
    void record_failure(time_point now);
    bool is_failing(time_point now) const;
    bool is_own(const stored_usage_claim& read) const;

    usage_rules m_rules;
    std::string m_host;
    std::uint32_t m_incarnation;
    /// Since when no holder has been heard.
    time_point m_silent_since;
    /// Whether the claim at `m_position` is known.
    bool m_known = false;
    /// Whether the store had no claim.
    bool m_absent = false;
    /// Whether this host has written the claim at `m_position`.
    bool m_mine = false;
    store_position m_position;
    time_point m_seen_at{};
    usage_claim m_claim;
    /// What the running write would store.
    usage_claim m_wanted;
    /// When the write was begun that stored the claim; the lease counts from then.
    time_point m_written_at{};
    time_point m_holder_since{};
    /// Whether the intent needs no further call.
    bool m_settled = false;
    bool m_token_refused = false;
    window_number m_reported = 0;
    int m_failures = 0;
    /// Since when the store, or the calls of the present report, have failed.
    std::optional<time_point> m_store_failing_since;
    std::optional<time_point> m_call_failing_since;
    time_point m_not_before{};
    std::vector<usage_event> m_events;
};

} // namespace bronzeplank
