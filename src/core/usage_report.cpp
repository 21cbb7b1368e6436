#include "bronzeplank/usage_report.hpp"

#include <algorithm>
#include <functional>

namespace bronzeplank {

namespace {

// Covers the difference between the boot clocks of two machines within a lease, and a call that
// arrives late.
constexpr std::chrono::milliseconds lease_margin{200};
constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{1600};
constexpr int max_backoff_doublings = 4;

std::size_t order_key(const std::string& host) {
    return std::hash<std::string>()(host);
}

} // namespace

window_number usage_rules::window_at(utc_time time) const {
    const duration since = time.time_since_epoch();
    return since / window - (since % window < duration(0) ? 1 : 0);
}

void usage_counter::add(window_number window, const std::string& workspace) {
    ++m_windows[window][workspace];
    m_changed[window].insert(workspace);
}

std::map<window_number, usage_counts> usage_counter::take_changes(window_number closed_through) {
    std::map<window_number, usage_counts> changes;
    for (const auto& [window, workspaces] : std::exchange(m_changed, {})) {
        for (const auto& workspace : workspaces) {
            changes[window][workspace] = m_windows[window][workspace];
        }
    }
    for (const auto& [window, counts] : m_windows) {
        const bool closes =
            window <= closed_through && (!m_closed_through || window > *m_closed_through);
        if (closes) {
            changes[window] = counts;
        }
    }
    m_closed_through = std::max(closed_through, m_closed_through.value_or(closed_through));
    return changes;
}

void usage_counter::remove_before(window_number window) {
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
    m_changed.erase(m_changed.begin(), m_changed.lower_bound(window));
}

void usage_ledger::record(const std::string& host, std::uint32_t incarnation,
                          const usage_update& update) {
    host_entry& known = m_hosts[host];
    known.latest = incarnation;
    entry& target = known.by_incarnation[incarnation];
    target.counting_since = update.counting_since;
    target.closed_through = std::max(target.closed_through, update.closed_through);
    for (const auto& [window, counts] : update.windows) {
        for (const auto& [workspace, count] : counts) {
            std::uint64_t& last = target.windows[window][workspace];
            last = std::max(last, count);
        }
    }
}

const usage_ledger::entry* usage_ledger::latest(const std::string& host) const {
    const auto known = m_hosts.find(host);
    if (known == m_hosts.end()) {
        return nullptr;
    }
    const auto found = known->second.by_incarnation.find(known->second.latest);
    return found == known->second.by_incarnation.end() ? nullptr : &found->second;
}

bool usage_ledger::is_closed(const std::string& host, window_number window) const {
    const entry* known = latest(host);
    return known != nullptr && known->closed_through >= window;
}

std::optional<utc_time> usage_ledger::counting_since(const std::string& host) const {
    const entry* known = latest(host);
    return known == nullptr ? std::nullopt : std::optional(known->counting_since);
}

usage_counts usage_ledger::total(window_number window) const {
    usage_counts sum;
    for (const auto& [host, known] : m_hosts) {
        for (const auto& [incarnation, entry] : known.by_incarnation) {
            const auto found = entry.windows.find(window);
            if (found == entry.windows.end()) {
                continue;
            }
            for (const auto& [workspace, count] : found->second) {
                sum[workspace] += count;
            }
        }
    }
    return sum;
}

void usage_ledger::remove_before(window_number window) {
    for (auto& [host, known] : m_hosts) {
        for (auto& [incarnation, entry] : known.by_incarnation) {
            entry.windows.erase(entry.windows.begin(), entry.windows.lower_bound(window));
        }
        std::erase_if(known.by_incarnation, [&](const auto& item) {
            return item.second.closed_through < window && item.second.windows.empty();
        });
    }
    std::erase_if(m_hosts, [](const auto& item) { return item.second.by_incarnation.empty(); });
}

std::vector<std::string> order_usage_keepers(std::vector<usage_keeper> live) {
    // By hash, so that the keepers' work falls on other hosts than that of relays, which are
    // ordered by name.
    std::sort(live.begin(), live.end(), [](const auto& left, const auto& right) {
        return std::pair(order_key(left.host), left.host) <
               std::pair(order_key(right.host), right.host);
    });
    std::set<std::string> domains;
    std::vector<std::string> order;
    std::vector<std::string> rest;
    for (const auto& keeper : live) {
        const bool first_of_domain = domains.insert(keeper.failure_domain).second;
        (first_of_domain ? order : rest).push_back(keeper.host);
    }
    order.insert(order.end(), rest.begin(), rest.end());
    return order;
}

usage_reporter::usage_reporter(usage_rules rules, std::string host, std::uint32_t incarnation,
                               time_point started)
    : m_rules(rules), m_host(std::move(host)), m_incarnation(incarnation), m_silent_since(started) {
}

usage_step usage_reporter::next_step(const usage_surroundings& around, const usage_ledger& ledger) {
    if (m_mine && m_known && around.heard_claim > m_position) {
        lose_claim(around.now, "another host holds a later claim");
    }
    if (around.now < m_not_before) {
        return {};
    }
    return m_mine ? hold(around, ledger) : follow(around, ledger);
}

usage_step usage_reporter::follow(const usage_surroundings& around, const usage_ledger& ledger) {
    // A claim that is older than the one that this host has read has been replaced since.
    const bool holder_heard =
        around.heard_claim != store_position{} && around.heard_claim >= m_position;
    if (holder_heard) {
        m_silent_since = around.now;
        m_known = false;
        m_absent = false;
        return {};
    }
    if (!around.rank || *around.rank >= keeper_count || !around.store_reachable) {
        return {};
    }
    // Later hosts leave time for the announcement of the first one.
    const duration stagger = m_rules.lease / 3 * *around.rank;
    if (around.now - m_silent_since < m_rules.lease + stagger) {
        return {};
    }
    if (!m_known && !m_absent) {
        usage_step step;
        step.next = usage_step::action::read_claim;
        return step;
    }
    // A host that hears only a few others may be the one that is cut off. It takes the claim only
    // from a holder that has not written for longer than a working one would.
    const duration unchanged = around.sees_majority
                                   ? m_rules.lease + lease_margin
                                   : 2 * m_rules.window + m_rules.due_after / 2 + lease_margin;
    if (around.now - m_seen_at < unchanged) {
        return {};
    }
    return write_step(around, claim_over(around, ledger));
}

// Windows for which nobody may have the counts are skipped: a count that is known to be incomplete
// must not be reported. After a start of the whole fleet these are all windows that began before
// it; at the first start of all, without a claim, nothing ran before.
usage_claim usage_reporter::claim_over(const usage_surroundings& around,
                                       const usage_ledger& ledger) const {
    usage_claim wanted = m_claim;
    if (m_absent) {
        wanted = {};
    }
    wanted.holder = m_host;
    wanted.incarnation = m_incarnation;
    wanted.reported = std::max(wanted.reported, m_reported);
    const bool restored = m_absent ? around.store_restored || around.heard_decided > 0
                                   : m_claim.era != m_position.era;
    wanted.era = m_position.era;
    const window_number oldest = m_rules.window_at(around.true_time) - kept_windows;
    wanted.next = std::max(
        {wanted.next, around.heard_decided + 1, oldest, first_known_window(around, ledger)});
    if (restored) {
        // Reports of the lost claims may have any counts. None is sent before its window ends.
        wanted.next = std::max(wanted.next, m_rules.window_at(around.true_time));
    }
    return wanted;
}

window_number usage_reporter::first_known_window(const usage_surroundings& around,
                                                 const usage_ledger& ledger) const {
    const auto own = ledger.counting_since(m_host);
    if (m_absent && own) {
        // No report of this window can have been lost with a claim: it had not ended yet.
        return m_rules.window_at(*own);
    }
    std::vector<utc_time> starts;
    for (const auto& host : around.live) {
        if (const auto since = ledger.counting_since(host)) {
            starts.push_back(*since);
        }
    }
    if (starts.empty()) {
        return m_rules.window_at(around.true_time) + 1;
    }
    std::sort(starts.begin(), starts.end());
    // What a few hosts counted before they were killed is known to those that ran on, so half of
    // the hosts suffice.
    utc_time known_since = starts[(starts.size() - 1) / 2];
    if (own) {
        known_since = std::min(known_since, *own);
    }
    return m_rules.window_at(known_since - duration(1)) + 1;
}

usage_step usage_reporter::hold(const usage_surroundings& around, const usage_ledger& ledger) {
    usage_step step;
    if (around.store_reachable && m_known) {
        m_store_failing_since.reset();
    } else if (!m_store_failing_since) {
        m_store_failing_since = around.now;
    }
    if (is_failing(around.now) && around.peers_reach_store) {
        // The other hosts come first for a while.
        lose_claim(around.now + 2 * m_rules.lease, "this host's calls fail");
        return step;
    }
    if (m_known && m_claim.intent && !m_settled) {
        const window_number oldest = m_rules.window_at(around.true_time) - kept_windows;
        if (m_claim.intent->window < oldest) {
            settle(usage_event::kind::missed, "no call succeeded in time");
        } else if (around.now < send_step().send_by) {
            return send_step();
        }
    }
    if (!around.store_reachable) {
        return step;
    }
    if (!m_known) {
        step.next = usage_step::action::read_claim;
        return step;
    }
    if (m_claim.intent && !m_settled) {
        return write_step(around, m_claim);
    }
    skip_to(m_rules.window_at(around.true_time) - kept_windows, "the counts are no longer kept");
    if (!is_ready(around, ledger)) {
        return step;
    }
    usage_claim wanted = m_claim;
    wanted.reported = m_reported;
    wanted.intent = usage_intent{m_claim.next, ledger.total(m_claim.next)};
    ++wanted.next;
    return write_step(around, std::move(wanted));
}

// Waits for the final counts of all live hosts, at most for half of the time until the report is
// due. The other half is enough for another host to take over and repeat the report.
bool usage_reporter::is_ready(const usage_surroundings& around, const usage_ledger& ledger) const {
    const window_number window = m_claim.next;
    const utc_time end = m_rules.end_of(window);
    if (around.true_time < end + settle_time) {
        return false;
    }
    const bool complete =
        std::all_of(around.live.begin(), around.live.end(),
                    [&](const std::string& host) { return ledger.is_closed(host, window); });
    // A new holder gives the other hosts time to send it what they have counted.
    const bool collected = around.now - m_holder_since >= m_rules.due_after * 3 / 20;
    return complete || (collected && around.true_time >= end + m_rules.due_after / 2);
}

usage_step usage_reporter::write_step(const usage_surroundings& around, usage_claim wanted) {
    wanted.lease_end = around.true_time + m_rules.lease / 2;
    m_wanted = std::move(wanted);
    usage_step step;
    step.next = usage_step::action::write_claim;
    step.expected = m_position;
    step.claim = m_wanted;
    return step;
}

// Nothing is sent in the second half of the lease, so that a call which takes long to arrive, or is
// given up, has ended before another host may act.
usage_step usage_reporter::send_step() const {
    usage_step step;
    step.next = usage_step::action::send_report;
    step.token = m_position.fencing_token();
    step.send_by = m_written_at + m_rules.lease / 2;
    step.report = *m_claim.intent;
    return step;
}

bool usage_reporter::is_own(const stored_usage_claim& read) const {
    // A claim that has come back with an older copy of the store isn't held.
    return read.result == stored_usage_claim::outcome::done && read.claim.holder == m_host &&
           read.claim.incarnation == m_incarnation && read.claim.era == read.position.era;
}

void usage_reporter::record_read(time_point now, const stored_usage_claim& read) {
    using outcome = stored_usage_claim::outcome;
    if (read.result != outcome::done && read.result != outcome::absent) {
        record_failure(now);
        return;
    }
    m_failures = 0;
    const bool own = is_own(read);
    if (m_mine && !own) {
        lose_claim(now, "another host has taken it");
    }
    const bool same = read.position == m_position;
    if (!same) {
        m_seen_at = now;
        m_written_at = time_point::min();
    }
    if (own && !m_mine) {
        // The write that took the claim over had no answer.
        m_holder_since = now;
        m_settled = false;
        m_events.push_back({usage_event::kind::became_holder, read.claim.next, read.claim.next,
                            read.position.fencing_token(), "the store has this host's claim"});
    } else if (own && !same && read.claim.intent != m_claim.intent) {
        m_settled = false;
        m_token_refused = false;
    }
    m_mine = own;
    m_position = read.position;
    m_claim = read.claim;
    m_absent = read.result == outcome::absent;
    m_known = !m_absent;
    m_reported = std::max(m_reported, m_claim.reported);
}

void usage_reporter::record_written(time_point sent_at, time_point now,
                                    const stored_usage_claim& written) {
    using outcome = stored_usage_claim::outcome;
    if (written.result == outcome::done) {
        m_failures = 0;
        if (!m_mine) {
            m_holder_since = now;
            m_settled = false;
            m_events.push_back({usage_event::kind::became_holder, m_wanted.next, m_wanted.next,
                                written.position.fencing_token(), ""});
            if (!m_absent && m_wanted.next > m_claim.next) {
                m_events.push_back({usage_event::kind::missed, m_claim.next, m_wanted.next - 1, 0,
                                    "no host may have all counts"});
            }
        } else if (m_wanted.intent != m_claim.intent) {
            m_settled = false;
            m_token_refused = false;
        }
        m_mine = true;
        m_known = true;
        m_absent = false;
        m_claim = m_wanted;
        m_position = written.position;
        m_written_at = sent_at;
        return;
    }
    m_known = false;
    m_absent = false;
    if (written.result == outcome::conflict) {
        m_silent_since = m_mine ? m_silent_since : now;
        return;
    }
    record_failure(now);
}

void usage_reporter::record_sent(time_point now, report_result result) {
    switch (result) {
    case report_result::accepted:
        m_failures = 0;
        m_reported = std::max(m_reported, m_claim.intent->window);
        settle(usage_event::kind::reported, "");
        break;
    case report_result::token_refused:
        if (m_token_refused) {
            settle(usage_event::kind::missed, "the platform refuses the token");
        }
        // Written again, the claim has a higher token if it is still this host's.
        m_token_refused = true;
        m_written_at = time_point::min();
        break;
    case report_result::rejected:
        settle(usage_event::kind::missed, "the platform rejects the report");
        break;
    case report_result::not_taken:
    case report_result::unanswered:
        m_call_failing_since = m_call_failing_since.value_or(now);
        record_failure(now);
        break;
    }
}

std::optional<store_position> usage_reporter::held_claim(time_point now) const {
    return m_mine && !is_failing(now) ? std::optional(m_position) : std::nullopt;
}

bool usage_reporter::is_failing(time_point now) const {
    const auto lasts = [&](const std::optional<time_point>& since) {
        return since && now - *since >= m_rules.lease;
    };
    return lasts(m_store_failing_since) || lasts(m_call_failing_since);
}

void usage_reporter::lose_claim(time_point silent_since, const std::string& reason) {
    m_events.push_back({usage_event::kind::lost_claim, m_claim.next, m_claim.next, 0, reason});
    m_mine = false;
    m_known = false;
    m_absent = false;
    m_silent_since = silent_since;
    m_store_failing_since.reset();
    m_call_failing_since.reset();
}

void usage_reporter::settle(usage_event::kind type, const std::string& reason) {
    m_settled = true;
    m_call_failing_since.reset();
    m_events.push_back(
        {type, m_claim.intent->window, m_claim.intent->window, m_position.fencing_token(), reason});
}

void usage_reporter::skip_to(window_number next, const std::string& reason) {
    if (next > m_claim.next) {
        m_events.push_back({usage_event::kind::missed, m_claim.next, next - 1, 0, reason});
        m_claim.next = next;
    }
}

void usage_reporter::record_failure(time_point now) {
    const int doublings = std::min(m_failures++, max_backoff_doublings);
    m_not_before = now + std::min<duration>(initial_backoff * (1 << doublings), max_backoff);
}

} // namespace bronzeplank
