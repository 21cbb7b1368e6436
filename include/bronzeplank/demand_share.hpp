/// \file
/// A host's share of a workspace's rate, in proportion to the demand that the host sees.
#pragma once

#include "bronzeplank/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeplank {

/// What another reachable host has reported about one workspace.
struct peer_usage {
    std::string host;
    /// Operations a second, admitted or refused.
    double demand = 0;
    /// Operations that the host has admitted since it started; nothing without a report of it.
    std::optional<std::uint64_t> admitted;
    bool operator==(const peer_usage&) const = default;
};

/// Measures the demand of one workspace on one host, and limits it to the host's share of the
/// workspace's rate and burst. All hosts estimate the same token bucket from what each of them
/// reports to have admitted, and divide its tokens by demand anew at every exchange, so that a
/// token that one host doesn't use serves another. While the bucket is far from empty, a host
/// admits without regard to its share, as long as its demand is about what it last reported: what
/// the others admit before they report it does not exhaust it. Hosts that can't be reached may
/// still be spending tokens, so the reachable hosts divide only what remains for their part of all
/// hosts. A host that becomes unreachable takes its part of the tokens with it, and brings back
/// what it hasn't spent of them.
///
/// It answers a steady or sudden overload of one workspace, spread over hosts that exchange reports
/// less often than operations arrive.
///
/// Usage: `share.exchange(now, peers, presumed_hosts)` once per report interval;
/// `if (share.admit(now, rate, burst)) ...`
class demand_share {
public:
    /// Takes the other reachable hosts' reports into account and divides the tokens anew.
    /// \param presumed_hosts the number of all hosts that may be spending a share of the rate
    void exchange(time_point now, const std::vector<peer_usage>& peers, std::size_t presumed_hosts);

    /// Records one operation of demand and takes a token for it; false when there is none left.
    bool admit(time_point now, double rate_per_second, double burst);

    /// This host's demand, admitted or refused, in operations a second.
    double demand(time_point now) const;

    /// Operations that this host has admitted since it started.
    std::uint64_t admitted() const { return m_admitted; }

    /// This host's share of the tokens, from 0 to 1.
    double current_share(time_point now) const;

private:
    /// What is known of another host that has been reachable.
    struct known_peer {
        /// Its count of admitted operations that has been taken into account.
        std::optional<std::uint64_t> counted;
        bool reachable = true;
        /// While it is unreachable: its part of the tokens, and when it left with them.
        double tokens = 0;
        time_point unreachable_since{};
    };

    double host_part() const;
    double reachable_part() const;
    double tokens_of_all(time_point now) const;
    bool is_as_announced() const;
    void remove_unreachable(time_point now, const std::vector<peer_usage>& peers);
    double tokens_brought_by(time_point now, const peer_usage& peer);

    std::size_t m_reachable_hosts = 1;
    std::size_t m_presumed_hosts = 1;
    /// The other reachable hosts' demand.
    double m_peer_demand = 0;
    std::map<std::string, known_peer> m_peers;
    double m_demand = 0;
    time_point m_demand_updated_at{};
    double m_demand_at_exchange = 0;
    double m_demand_at_previous_exchange = 0;
    /// The time between the last two exchanges.
    double m_exchange_seconds = 0;
    /// 0 until the first operation, which finds a full bucket.
    double m_rate_per_second = 0;
    double m_burst = 0;
    /// The tokens of all reachable hosts at the previous exchange.
    double m_tokens = 0;
    time_point m_exchanged_at{};
    /// Tokens that this host has left over from earlier exchanges.
    double m_carried_over = 0;
    double m_admitted_since_exchange = 0;
    std::uint64_t m_admitted = 0;
};

} // namespace bronzeplank
