/// \file
/// A shared ledger, stored on the platform, of the hosts' leased shares of workspaces' rates.
#pragma once

#include "bronzeplank/leased_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// The share of one workspace that a host leases in one account, and the demand measured there.
struct share_grant {
    share_ppm share = 0;
    /// The host's demand, in requests per second.
    double demand = 0;
    bool operator==(const share_grant&) const = default;
};

/// One host's entry for one account. The host increases the sequence number with every write, so
/// that other hosts detect that it is alive without comparing clocks.
struct share_entry {
    std::string host;
    share_account account = share_account::floor;
    std::uint64_t sequence = 0;
    duration lease{};
    std::map<std::string, share_grant> grants;
    bool operator==(const share_entry&) const = default;
};

/// The entries of all hosts. Invariant of every ledger that share_holder writes: the shares of each
/// workspace add up to at most whole_share.
struct share_ledger {
    std::vector<share_entry> entries;
    bool operator==(const share_ledger&) const = default;

    /// The sum of all shares of the workspace.
    share_ppm total(const std::string& workspace) const;
    /// The host's entry; null when there is none.
    const share_entry* find(std::string_view host, share_account account) const;
};

/// Serializes the ledger as JSON.
std::string write_share_ledger(const share_ledger& ledger);
/// \throws input_error when the text is not a ledger.
share_ledger read_share_ledger(std::string_view text);

/// Parameters for dividing a rate among hosts.
struct share_policy {
    /// The share of each rate that is divided equally and kept during an outage of the platform.
    share_ppm floor_share = 250'000;
    /// The number of hosts among which the floor share is divided.
    int host_seats = 1;
    duration floor_lease = std::chrono::minutes(30);
    duration extra_lease = std::chrono::seconds(30);
    /// Added to a lease before another host takes over its share.
    duration margin = std::chrono::seconds(2);
    /// Added to the demand of every host when shares are weighed, as a fraction of the rate.
    double idle_weight = 0.02;
    bool operator==(const share_policy&) const = default;
};

/// A ledger to write by conditional update, and the version that it replaces.
struct share_proposal {
    std::uint64_t version = 0;
    share_ledger ledger;
    bool operator==(const share_proposal&) const = default;
};

/// One host's state machine for the shared ledger: decides which ledger to write and which shares
/// the host may spend. A lease runs from the time at which its write was sent. While a write is
/// unanswered, the host spends the smaller of its previous share and the proposed one.
/// Usage: `holder.observe(ledger, version, now); auto next = holder.propose(demand, limits, now);`
/// then `holder.record_sent(*next, now)` before the write and record_accepted() after it. If the
/// write was refused or got no answer, the next observe() determines whether it took effect.
class share_holder {
public:
    share_holder(std::string host, share_policy policy);

    void set_policy(const share_policy& policy) { m_policy = policy; }

    /// Updates the holder with the stored ledger; version 0 and no entries when none is stored yet.
    void observe(const share_ledger& ledger, std::uint64_t version, time_point now);

    /// The next ledger to write, from each workspace's demand (requests per second) and limit;
    /// nothing before the first observe(). While a write is unanswered, returns the same proposal
    /// again: the conditional update makes it idempotent.
    std::optional<share_proposal> propose(const std::map<std::string, double>& demand,
                                          const std::map<std::string, rate_limit>& limits,
                                          time_point now);

    /// To be called when the proposal is about to be sent.
    void record_sent(const share_proposal& proposal, time_point now);
    /// To be called when the platform has accepted the proposal as `version`.
    void record_accepted(std::uint64_t version, time_point now);
    /// A proposal that removes this host, for a graceful shutdown. Nothing before the first
    /// observe() or while a write is unanswered.
    std::optional<share_proposal> release();

    /// The shares that this host may spend in one account, by workspace, and the end of the lease.
    struct held_shares {
        std::map<std::string, share_ppm> shares;
        time_point until = time_point::min();
        bool operator==(const held_shares&) const = default;
    };
    held_shares held(share_account account) const;

private:
    struct sequence_observation {
        std::uint64_t sequence = 0;
        time_point first_seen;
    };
    struct pending_write {
        share_proposal proposal;
        time_point sent_at;
    };

    bool is_expired(const share_entry& entry, time_point now) const;
    share_ledger others(time_point now) const;
    share_entry make_floor_entry(const share_ledger& others,
                                 const std::map<std::string, rate_limit>& limits) const;
    share_entry make_extra_entry(const share_ledger& others,
                                 const std::map<std::string, double>& demand,
                                 const std::map<std::string, rate_limit>& limits) const;
    void apply_grants(const share_ledger& ledger, time_point sent_at);

    std::string m_host;
    share_policy m_policy;
    bool m_observed = false;
    std::uint64_t m_version = 0;
    share_ledger m_ledger;
    std::map<std::string, sequence_observation> m_observations;
    std::uint64_t m_sequence = 0;
    std::optional<pending_write> m_pending;
    std::map<share_account, held_shares> m_held;
};

} // namespace bronzeplank
