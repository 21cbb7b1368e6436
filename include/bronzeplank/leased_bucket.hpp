/// \file
/// A token bucket whose rate and capacity are leased shares of a fleet-wide limit.
#pragma once

#include "bronzeplank/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace bronzeplank {

/// Parts per million of a workspace's rate and burst.
using share_ppm = std::uint32_t;
/// The whole rate and burst.
constexpr share_ppm whole_share = 1'000'000;

/// The two leases that a host can hold at the same time: `floor`, a small share with a long lease
/// that outlasts an outage of the platform, and `extra`, a share with a short lease that follows
/// the demand.
enum class share_account : std::uint8_t { floor, extra };

/// A workspace's limit over all hosts together.
struct rate_limit {
    /// Tokens added per second.
    double rate = 0;
    /// The capacity of the bucket, in tokens.
    double burst = 0;
    bool operator==(const rate_limit&) const = default;
};

/// This host's share of one workspace's token bucket. The rate and the capacity follow from the
/// shares whose leases are valid at that moment. A new share adds capacity without tokens, and a
/// share that expires or is released loses its tokens. So in any period all hosts together spend at
/// most the burst plus the rate times the length of the period, as long as the shares that are
/// leased at the same time add up to at most `whole_share`.
/// Usage: `bucket.set_share(share_account::floor, 50'000, until, now); bucket.try_take(now);`
class leased_bucket {
public:
    leased_bucket() = default;
    leased_bucket(rate_limit limit, time_point now) : m_limit(limit), m_updated(now) {}

    void set_limit(rate_limit limit, time_point now);
    /// Sets the account's share, valid until the given time; replaces its previous lease.
    void set_share(share_account account, share_ppm share, time_point until, time_point now);

    /// Spends one token; false when the valid leases have none left.
    bool try_take(time_point now);

    /// The time until a token is available; nothing when the capacity of the valid leases is less
    /// than one token.
    std::optional<duration> time_to_token(time_point now);

    /// The sum of the shares whose leases are valid.
    share_ppm share(time_point now) const;
    /// Tokens in the bucket at the last update.
    double level() const { return m_level; }

private:
    struct lease {
        share_ppm share = 0;
        time_point until = time_point::min();
    };

    void advance(time_point now);
    void accrue(time_point until);
    share_ppm share_at(time_point at) const;

    rate_limit m_limit;
    double m_level = 0;
    time_point m_updated = time_point::min();
    std::array<lease, 2> m_leases;
};

} // namespace bronzeplank
