#include "bronzeplank/share_ledger.hpp"

#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace bronzeplank {

namespace {

const std::vector<std::string> account_names = {"floor", "extra"};

std::string observation_key(const share_entry& entry) {
    return entry.host + "/" + account_names[static_cast<std::size_t>(entry.account)];
}

share_ppm free_share(const share_ledger& ledger, const std::string& workspace) {
    return whole_share - std::min(whole_share, ledger.total(workspace));
}

share_entry read_entry(const internal::json_node& node) {
    auto object = node.object();
    share_entry entry;
    entry.host = object.required("host").text();
    entry.account = static_cast<share_account>(object.required("account").one_of(account_names));
    entry.sequence = static_cast<std::uint64_t>(object.required("sequence").integer(0, INT64_MAX));
    entry.lease = duration(object.required("lease_us").integer(0, INT64_MAX));
    for (const auto& item : object.required("grants").array()) {
        auto grant = item.object();
        entry.grants[grant.required("workspace").text()] = {
            static_cast<share_ppm>(grant.required("share").integer(0, whole_share)),
            grant.required("demand").number(0, 1e12)};
    }
    return entry;
}

} // namespace

share_ppm share_ledger::total(const std::string& workspace) const {
    share_ppm sum = 0;
    for (const auto& entry : entries) {
        const auto found = entry.grants.find(workspace);
        sum += found == entry.grants.end() ? 0 : found->second.share;
    }
    return sum;
}

const share_entry* share_ledger::find(std::string_view host, share_account account) const {
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.host == host && entry.account == account;
    });
    return found == entries.end() ? nullptr : &*found;
}

std::string write_share_ledger(const share_ledger& ledger) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartArray();
    for (const auto& entry : ledger.entries) {
        writer.StartObject();
        writer.Key("host");
        writer.String(entry.host.c_str());
        writer.Key("account");
        writer.String(account_names[static_cast<std::size_t>(entry.account)].c_str());
        writer.Key("sequence");
        writer.Uint64(entry.sequence);
        writer.Key("lease_us");
        writer.Int64(entry.lease.count());
        writer.Key("grants");
        writer.StartArray();
        for (const auto& [workspace, grant] : entry.grants) {
            writer.StartObject();
            writer.Key("workspace");
            writer.String(workspace.c_str());
            writer.Key("share");
            writer.Uint(grant.share);
            writer.Key("demand");
            writer.Double(grant.demand);
            writer.EndObject();
        }
        writer.EndArray();
        writer.EndObject();
    }
    writer.EndArray();
    return {buffer.GetString(), buffer.GetSize()};
}

share_ledger read_share_ledger(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    share_ledger ledger;
    for (const auto& node : internal::json_node(document, "").array()) {
        ledger.entries.push_back(read_entry(node));
    }
    return ledger;
}

share_holder::share_holder(std::string host, share_policy policy)
    : m_host(std::move(host)), m_policy(policy) {}

void share_holder::observe(const share_ledger& ledger, std::uint64_t version, time_point now) {
    if (m_observed && version < m_version) {
        // A delayed answer, such as one from before an outage: a newer version was observed since.
        return;
    }
    m_observed = true;
    m_version = version;
    m_ledger = ledger;
    for (const auto& entry : ledger.entries) {
        sequence_observation& observed = m_observations[observation_key(entry)];
        if (observed.sequence != entry.sequence || observed.first_seen == time_point()) {
            observed = {entry.sequence, now};
        }
        if (entry.host == m_host) {
            m_sequence = std::max(m_sequence, entry.sequence);
        }
    }
    if (!m_pending) {
        return;
    }
    // The answer to the last write is missing: the ledger shows whether the write was accepted.
    const share_entry* own = ledger.find(m_host, share_account::extra);
    const share_entry* proposed = m_pending->proposal.ledger.find(m_host, share_account::extra);
    const bool was_accepted = own != nullptr && own->sequence >= proposed->sequence;
    if (was_accepted) {
        apply_grants(m_pending->proposal.ledger, m_pending->sent_at);
        m_pending.reset();
    } else if (version > m_pending->proposal.version) {
        // Another write replaced the version that it was based on, so it can no longer be accepted.
        m_pending.reset();
    }
}

bool share_holder::is_expired(const share_entry& entry, time_point now) const {
    const auto observed = m_observations.find(observation_key(entry));
    // The lease began before this host first saw the entry, so it has ended when the whole lease
    // has passed on this host's clock.
    return observed != m_observations.end() &&
           now - observed->second.first_seen > entry.lease + m_policy.margin;
}

std::optional<share_proposal> share_holder::propose(const std::map<std::string, double>& demand,
                                                    const std::map<std::string, rate_limit>& limits,
                                                    time_point now) {
    if (!m_observed) {
        return std::nullopt;
    }
    if (m_pending) {
        return m_pending->proposal;
    }
    share_ledger next = others(now);
    next.entries.push_back(make_floor_entry(next, limits));
    next.entries.push_back(make_extra_entry(next, demand, limits));
    return share_proposal{m_version, std::move(next)};
}

share_ledger share_holder::others(time_point now) const {
    share_ledger remaining;
    for (const auto& entry : m_ledger.entries) {
        if (entry.host != m_host && !is_expired(entry, now)) {
            remaining.entries.push_back(entry);
        }
    }
    return remaining;
}

std::optional<share_proposal> share_holder::release() {
    if (!m_observed || m_pending) {
        return std::nullopt;
    }
    m_held.clear();
    share_proposal proposal{m_version, m_ledger};
    std::erase_if(proposal.ledger.entries,
                  [this](const auto& entry) { return entry.host == m_host; });
    return proposal;
}

share_entry share_holder::make_floor_entry(const share_ledger& others,
                                           const std::map<std::string, rate_limit>& limits) const {
    const auto wanted = m_policy.floor_share / static_cast<share_ppm>(m_policy.host_seats);
    share_entry entry{m_host, share_account::floor, m_sequence + 1, m_policy.floor_lease, {}};
    for (const auto& [workspace, limit] : limits) {
        entry.grants[workspace] = {std::min(wanted, free_share(others, workspace)), 0};
    }
    return entry;
}

share_entry share_holder::make_extra_entry(const share_ledger& others,
                                           const std::map<std::string, double>& demand,
                                           const std::map<std::string, rate_limit>& limits) const {
    share_entry entry{m_host, share_account::extra, m_sequence + 1, m_policy.extra_lease, {}};
    for (const auto& [workspace, limit] : limits) {
        const auto measured = demand.find(workspace);
        const double own_demand = measured == demand.end() ? 0 : measured->second;
        const double idle = m_policy.idle_weight * limit.rate;
        double weights = own_demand + idle;
        for (const auto& other : others.entries) {
            const auto grant = other.grants.find(workspace);
            if (other.account == share_account::extra && grant != other.grants.end()) {
                weights += grant->second.demand + idle;
            }
        }
        const double divisible = whole_share - m_policy.floor_share;
        const double fraction = weights > 0 ? (own_demand + idle) / weights : 1.0;
        const auto wanted = static_cast<share_ppm>(divisible * fraction);
        entry.grants[workspace] = {std::min(wanted, free_share(others, workspace)), own_demand};
    }
    return entry;
}

void share_holder::record_sent(const share_proposal& proposal, time_point now) {
    if (!m_pending || m_pending->proposal != proposal) {
        m_pending = pending_write{proposal, now};
    }
    // Whether the write is accepted or not, this host spends at most the smaller share.
    for (auto& [account, current] : m_held) {
        const share_entry* proposed = proposal.ledger.find(m_host, account);
        for (auto& [workspace, share] : current.shares) {
            const auto grant = proposed->grants.find(workspace);
            share = std::min(share, grant == proposed->grants.end() ? 0 : grant->second.share);
        }
    }
}

void share_holder::record_accepted(std::uint64_t version, time_point now) {
    const pending_write completed = *m_pending;
    m_pending.reset();
    apply_grants(completed.proposal.ledger, completed.sent_at);
    observe(completed.proposal.ledger, version, now);
}

void share_holder::apply_grants(const share_ledger& ledger, time_point sent_at) {
    for (const share_account account : {share_account::floor, share_account::extra}) {
        const share_entry* own = ledger.find(m_host, account);
        held_shares updated;
        // The lease runs from the time of sending. The platform stored the entry later, and the
        // other hosts measure the lease from a later time still, so this host is the first to stop.
        updated.until = sent_at + own->lease;
        for (const auto& [workspace, grant] : own->grants) {
            updated.shares[workspace] = grant.share;
        }
        m_held[account] = std::move(updated);
    }
}

share_holder::held_shares share_holder::held(share_account account) const {
    const auto found = m_held.find(account);
    return found == m_held.end() ? held_shares{} : found->second;
}

} // namespace bronzeplank
