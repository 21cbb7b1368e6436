#include "session/usage_service.hpp"

#include "runtime/log.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

// Counts that were not sent yet are lost when their host is killed. At one message in a fifth of a
// window, the sudden loss of a third of the hosts costs a window about 3 % of its operations.
constexpr int messages_per_window = 5;
constexpr int ticks_per_window = 50;
constexpr std::chrono::milliseconds max_tick{100};
// A window isn't closed for the sake of slow statements after this fraction of the time until its
// report is due.
constexpr int max_open_divisor = 5;

} // namespace

usage_service::usage_service(event_loop& loop, fleet& peers, usage_rules rules, std::string host,
                             std::string failure_domain, usage_platform platform)
    : m_loop(loop), m_fleet(peers), m_rules(rules), m_host(std::move(host)),
      m_failure_domain(std::move(failure_domain)), m_platform(std::move(platform)),
      m_started(event_loop::now()), m_clock(m_started, m_platform.time_of_day()),
      m_reporter(rules, m_host, peers.incarnation(), m_started) {}

void usage_service::stop() {
    m_stopping = true;
}

void usage_service::record_answered(const std::string& workspace, time_point sent_at, bool began) {
    const auto open = m_open.find(sent_at);
    if (open != m_open.end()) {
        m_open.erase(open);
    }
    if (began) {
        m_counter.add(m_rules.window_at(m_clock.at(sent_at)), workspace);
    }
}

usage_announcement usage_service::announcement() const {
    const auto held = m_reporter.held_claim(event_loop::now());
    return {held && !m_stopping ? *held : store_position{},
            std::max(m_heard_decided, m_reporter.decided())};
}

void usage_service::record_time_of_day(const std::string& host, utc_time reading) {
    m_clock.record_peer(host, event_loop::now(), reading);
}

duration usage_service::clock_deviation() const {
    return m_platform.time_of_day() - m_clock.at(event_loop::now());
}

void usage_service::tick() {
    const time_point now = event_loop::now();
    m_clock.record_own(now, m_platform.time_of_day());
    const window_number closed_before = m_closed_through;
    close_windows(now);
    const bool due = now - m_published_at >= m_rules.window / messages_per_window;
    if (due || m_closed_through != closed_before) {
        publish(now);
    }
    if (!m_busy && !m_stopping) {
        const usage_step step = m_reporter.next_step(surroundings(now), m_ledger);
        log_events();
        if (step.next != usage_step::action::wait) {
            spawn(carry_out(step));
        }
    }
    const duration interval = std::min<duration>(m_rules.window / ticks_per_window, max_tick);
    m_tick = m_loop.after(interval, [this] { tick(); });
}

void usage_service::close_windows(time_point now) {
    const utc_time true_time = m_clock.at(now);
    const window_number ended = m_rules.window_at(true_time - usage_reporter::settle_time) - 1;
    window_number closed = ended;
    if (!m_open.empty()) {
        const window_number waited_for = m_rules.window_at(m_clock.at(*m_open.begin())) - 1;
        const window_number latest =
            m_rules.window_at(true_time - m_rules.due_after / max_open_divisor) - 1;
        closed = std::min(ended, std::max(waited_for, latest));
    }
    m_closed_through = std::max(m_closed_through, closed);
    const window_number oldest = ended - usage_reporter::kept_windows;
    m_counter.remove_before(oldest);
    m_ledger.remove_before(oldest);
}

std::vector<std::string> usage_service::keepers(time_point now) const {
    std::vector<usage_keeper> live;
    for (const fleet_peer* peer : m_fleet.live_peers(now)) {
        if (peer->platform_reachable && !peer->leaving) {
            live.push_back({peer->host, peer->failure_domain});
        }
    }
    if (m_platform.reachable() && !m_stopping) {
        live.push_back({m_host, m_failure_domain});
    }
    return order_usage_keepers(std::move(live));
}

// Sends the changed counts to the hosts that keep counts and to the holder, which may be another
// one; a host that has become one of them gets all.
void usage_service::publish(time_point now) {
    m_published_at = now;
    usage_update update{m_clock.at(m_started), m_closed_through,
                        m_counter.take_changes(m_closed_through)};
    m_ledger.record(m_host, m_fleet.incarnation(), update);
    auto kept_by = keepers(now);
    kept_by.resize(std::min(kept_by.size(), usage_reporter::keeper_count));
    const std::set<std::string> kept(kept_by.begin(), kept_by.end());
    std::map<std::string, std::uint32_t> receivers;
    for (const fleet_peer* peer : m_fleet.live_peers(now)) {
        if (peer->reporting.claim != store_position{} || kept.contains(peer->host)) {
            receivers[peer->host] = peer->incarnation;
        }
    }
    for (const auto& [host, incarnation] : receivers) {
        const auto known = m_receivers.find(host);
        const bool has_all = known != m_receivers.end() && known->second == incarnation;
        if (has_all) {
            m_fleet.send_usage(host, update);
        } else {
            m_fleet.send_usage(host,
                               {update.counting_since, update.closed_through, m_counter.windows()});
        }
    }
    m_receivers = std::move(receivers);
}

usage_surroundings usage_service::surroundings(time_point now) {
    usage_surroundings around;
    around.now = now;
    around.true_time = m_clock.at(now);
    around.store_reachable = m_platform.reachable();
    if (around.store_reachable && !m_first_era) {
        m_first_era = m_platform.era();
    }
    around.store_restored = m_first_era && m_platform.era() != *m_first_era;
    around.peers_reach_store = false;
    around.live.push_back(m_host);
    for (const fleet_peer* peer : m_fleet.live_peers(now)) {
        around.live.push_back(peer->host);
        around.peers_reach_store |= peer->platform_reachable && !peer->leaving;
        around.heard_claim = std::max(around.heard_claim, peer->reporting.claim);
        m_heard_decided = std::max(m_heard_decided, peer->reporting.decided);
    }
    around.heard_decided = m_heard_decided;
    around.sees_majority = around.live.size() * 2 > m_fleet.presumed_host_count(now);
    const auto order = keepers(now);
    const auto own = std::find(order.begin(), order.end(), m_host);
    if (own != order.end()) {
        around.rank = static_cast<std::size_t>(own - order.begin());
    }
    return around;
}

task<void> usage_service::carry_out(usage_step step) {
    m_busy = true;
    switch (step.next) {
    case usage_step::action::read_claim: {
        const stored_usage_claim read = co_await m_platform.read();
        m_reporter.record_read(event_loop::now(), read);
        break;
    }
    case usage_step::action::write_claim: {
        const time_point sent_at = event_loop::now();
        const stored_usage_claim written =
            co_await m_platform.write(step.expected, std::move(step.claim));
        m_reporter.record_written(sent_at, event_loop::now(), written);
        break;
    }
    case usage_step::action::send_report: {
        const report_result result =
            co_await m_platform.report(std::move(step.report), step.token, step.send_by);
        m_reporter.record_sent(event_loop::now(), result);
        break;
    }
    case usage_step::action::wait:
        break;
    }
    m_busy = false;
    log_events();
}

void usage_service::log_events() {
    for (const usage_event& event : m_reporter.take_events()) {
        switch (event.type) {
        case usage_event::kind::became_holder:
            log(log_event::usage_holder_changed, {{"host", m_host},
                                                  {"token", std::to_string(event.token)},
                                                  {"next", std::to_string(event.first)},
                                                  {"reason", event.reason}});
            m_fleet.send_heartbeat();
            break;
        case usage_event::kind::lost_claim:
            log(log_event::usage_claim_lost, {{"host", m_host}, {"reason", event.reason}});
            break;
        case usage_event::kind::reported: {
            ++m_reported_count;
            const duration late = m_clock.at(event_loop::now()) - m_rules.end_of(event.last);
            log(log_event::usage_window_reported,
                {{"window", std::to_string(event.last)},
                 {"token", std::to_string(event.token)},
                 {"late_ms", std::to_string(to_milliseconds(late))}});
            break;
        }
        case usage_event::kind::missed:
            m_missed_count += static_cast<std::uint64_t>(event.last - event.first + 1);
            log(log_event::usage_window_missed, {{"first", std::to_string(event.first)},
                                                 {"last", std::to_string(event.last)},
                                                 {"reason", event.reason}});
            break;
        }
    }
}

} // namespace bronzeplank
