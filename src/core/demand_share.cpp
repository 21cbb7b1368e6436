#include "bronzeplank/demand_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bronzeplank {

namespace {

// The fraction of the tokens that is divided equally, whatever the demand.
constexpr double even_fraction = 0.02;
// The time constant of the exponential moving average of the demand.
constexpr double averaging_seconds = 1.0;
// The bucket is far from empty if it can serve all hosts' demand for this long, about the time
// until their operations are reported.
constexpr double reserve_seconds = 0.4;
// What a host admits without regard to its share may exceed what its last report announced by this
// many times the square root of its part of the burst: chance alone rarely exceeds it.
constexpr double free_deviations = 4.0;
// Hosts report at least this often.
constexpr double max_exchange_seconds = 1.0;
// A host with little demand uses its tokens at random times; it keeps up to this many.
constexpr double max_carried_over = 2.0;
// How far a host's demand may rise since the last exchange, and since the one before, for its share
// to follow at once: as a factor, and in operations a second on a host without demand before.
constexpr double max_demand_rise = 1.5;
constexpr double new_demand = 0.5;
constexpr double max_demand_rise_of_two = 2.0;
constexpr double new_demand_of_two = 1.0;
// A host that has been unreachable for this long counts as a new one.
constexpr std::chrono::minutes peer_retention{1};

double seconds_between(time_point from, time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

double demand_share::host_part() const {
    return 1.0 / static_cast<double>(m_presumed_hosts);
}

double demand_share::reachable_part() const {
    return static_cast<double>(m_reachable_hosts) * host_part();
}

double demand_share::tokens_of_all(time_point now) const {
    const double refilled =
        m_rate_per_second * reachable_part() * seconds_between(m_exchanged_at, now);
    return std::min(m_burst * reachable_part(), m_tokens + refilled);
}

void demand_share::remove_unreachable(time_point now, const std::vector<peer_usage>& peers) {
    const double tokens_of_a_host = m_tokens / static_cast<double>(m_reachable_hosts);
    std::erase_if(m_peers, [now](const auto& entry) {
        return !entry.second.reachable && now - entry.second.unreachable_since > peer_retention;
    });
    for (auto& [host, peer] : m_peers) {
        const bool remains = std::ranges::find(peers, host, &peer_usage::host) != peers.end();
        if (peer.reachable && !remains) {
            peer.reachable = false;
            peer.unreachable_since = now;
            peer.tokens = tokens_of_a_host;
            m_tokens -= tokens_of_a_host;
        }
    }
}

// Negative for what the peer has spent. A host that was unreachable has spent its own part of the
// refill meanwhile, not that of the hosts here.
double demand_share::tokens_brought_by(time_point now, const peer_usage& peer) {
    const auto [entry, is_new] = m_peers.try_emplace(peer.host);
    known_peer& known = entry->second;
    const bool was_reachable = std::exchange(known.reachable, true);
    // What a host had admitted before this host heard of it is not counted. A host that has started
    // again counts from zero.
    const std::uint64_t admitted = peer.admitted.value_or(known.counted.value_or(0));
    const std::uint64_t counted = known.counted.value_or(admitted);
    const auto spent = static_cast<double>(admitted >= counted ? admitted - counted : admitted);
    if (peer.admitted) {
        known.counted = peer.admitted;
    }
    if (is_new) {
        return 0;
    }
    if (was_reachable) {
        return -spent;
    }
    const double part = host_part();
    const double refilled =
        m_rate_per_second * part * seconds_between(known.unreachable_since, now);
    return std::clamp(known.tokens + refilled - spent, 0.0, m_burst * part);
}

void demand_share::exchange(time_point now, const std::vector<peer_usage>& peers,
                            std::size_t presumed_hosts) {
    const double tokens = tokens_of_all(now);
    m_carried_over =
        std::clamp(current_share(now) * tokens + m_carried_over - m_admitted_since_exchange, 0.0,
                   max_carried_over);
    m_tokens = tokens - m_admitted_since_exchange;
    remove_unreachable(now, peers);
    m_reachable_hosts = peers.size() + 1;
    m_presumed_hosts = std::max(m_reachable_hosts, presumed_hosts);
    m_peer_demand = 0;
    for (const peer_usage& peer : peers) {
        m_tokens += tokens_brought_by(now, peer);
        m_peer_demand += peer.demand;
    }
    m_tokens = std::max(m_tokens, -m_burst);
    m_exchange_seconds = std::min(max_exchange_seconds, seconds_between(m_exchanged_at, now));
    m_exchanged_at = now;
    m_demand_at_previous_exchange = std::exchange(m_demand_at_exchange, demand(now));
    m_admitted_since_exchange = 0;
}

double demand_share::demand(time_point now) const {
    return m_demand * std::exp(-seconds_between(m_demand_updated_at, now) / averaging_seconds);
}

double demand_share::current_share(time_point now) const {
    // The other hosts' demand is as old as the exchange, and some of it a report interval older. A
    // sudden rise that all hosts see must not let each of them take it for its own.
    const double own =
        std::min({demand(now), max_demand_rise * m_demand_at_exchange + new_demand,
                  max_demand_rise_of_two * m_demand_at_previous_exchange + new_demand_of_two});
    const double total = own + m_peer_demand;
    const auto hosts = static_cast<double>(m_reachable_hosts);
    // Below one operation a second there is no demand to follow: the shares are equal.
    const double demand_fraction = total < 1.0 ? 1.0 / hosts : own / total;
    return even_fraction / hosts + (1.0 - even_fraction) * demand_fraction;
}

// What the other hosts admit before they report it is not known. Each of them sees a sudden rise
// only in its own demand and takes the tokens for unspent, so that together they would admit many
// times what there is.
bool demand_share::is_as_announced() const {
    const double announced = m_demand_at_exchange * m_exchange_seconds;
    return m_admitted_since_exchange + 1.0 <=
           announced + free_deviations * std::sqrt(m_burst * host_part());
}

bool demand_share::admit(time_point now, double rate_per_second, double burst) {
    m_demand = demand(now) + 1.0 / averaging_seconds;
    m_demand_updated_at = now;
    if (m_rate_per_second == 0) {
        m_tokens = burst * reachable_part();
        m_exchanged_at = now;
    }
    m_rate_per_second = rate_per_second;
    m_burst = burst;
    const double tokens = std::max(0.0, tokens_of_all(now));
    const double since_exchange = seconds_between(m_exchanged_at, now);
    const double left_by_all = tokens - m_admitted_since_exchange - m_peer_demand * since_exchange;
    const double total_demand = demand(now) + m_peer_demand;
    const bool far_from_empty =
        left_by_all >= 1.0 + total_demand * reserve_seconds && is_as_announced();
    const double own_part = current_share(now) * tokens + m_carried_over;
    if (!far_from_empty && m_admitted_since_exchange + 1.0 > own_part) {
        return false;
    }
    m_admitted_since_exchange += 1.0;
    ++m_admitted;
    return true;
}

} // namespace bronzeplank
