/// \file
/// A model of several hosts that share a ledger on a platform that loses and delays writes.
#pragma once

#include "bronzeplank/share_ledger.hpp"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace bronzeplank::model {

struct rate_exceeded : std::logic_error {
    using std::logic_error::logic_error;
};

/// One workspace's rate, divided among hosts by the library's share holders and leased buckets.
/// Each step is determined by one random value. After every spending, the model checks that all
/// hosts together have stayed within the limit.
/// Usage: `model::share_model fleet(4, limit); fleet.step(random());` throws rate_exceeded.
class share_model {
public:
    explicit share_model(int hosts, rate_limit limit) : m_limit(limit) {
        for (int i = 0; i < hosts; ++i) {
            m_hosts.push_back(new_host());
        }
    }

    void step(std::uint32_t choice) {
        const std::uint32_t operand = choice >> 8U;
        host& chosen = *m_hosts[operand % m_hosts.size()];
        switch (choice % 8) {
        case 0:
        case 1:
            m_now += std::chrono::milliseconds(operand % 400);
            break;
        case 2:
            read(chosen, operand);
            break;
        case 3:
            send(chosen, operand);
            break;
        case 4:
            deliver_write(operand);
            break;
        case 5:
        case 6:
            spend(chosen, operand % 40);
            break;
        default:
            inject_fault(operand);
        }
    }

    double spent() const { return static_cast<double>(m_spent.size()); }

    share_ppm total_share() const {
        share_ppm total = 0;
        for (const auto& item : m_hosts) {
            total += item->bucket.share(m_now);
        }
        for (const auto& item : m_paused) {
            total += item->bucket.share(m_now);
        }
        return total;
    }

private:
    struct host {
        host(std::string name, rate_limit limit, share_policy policy, time_point now)
            : holder(std::move(name), policy), bucket(limit, now) {}
        share_holder holder;
        leased_bucket bucket;
        double demand = 0;
        std::optional<share_proposal> pending;
    };
    struct pending_write {
        std::shared_ptr<host> sender;
        share_proposal proposal;
        bool answer_lost = false;
    };

    std::shared_ptr<host> new_host() {
        share_policy policy;
        policy.host_seats = 3;
        policy.floor_lease = std::chrono::seconds(60);
        return std::make_shared<host>(fmt::format("host-{}", m_next_host++), m_limit, policy,
                                      m_now);
    }

    void apply(host& target) {
        for (const share_account account : {share_account::floor, share_account::extra}) {
            const auto held = target.holder.held(account);
            const auto share = held.shares.find("w");
            target.bucket.set_share(account, share == held.shares.end() ? 0 : share->second,
                                    held.until, m_now);
        }
    }

    void read(host& target, std::uint32_t operand) {
        // A read may return a slightly outdated version.
        const std::size_t age = (operand >> 8U) % 4 == 0 ? (operand >> 10U) % 3 : 0;
        const std::size_t at = m_versions.size() - 1 - std::min(age, m_versions.size() - 1);
        target.holder.observe(m_versions[at], at, m_now);
        apply(target);
    }

    void send(host& target, std::uint32_t operand) {
        target.demand = (operand >> 12U) % 50;
        const auto proposal =
            target.holder.propose({{"w", target.demand}}, {{"w", m_limit}}, m_now);
        if (!proposal) {
            return;
        }
        target.holder.record_sent(*proposal, m_now);
        apply(target);
        for (const auto& item : m_hosts) {
            if (item.get() == &target) {
                m_pending_writes.push_back({item, *proposal, (operand >> 8U) % 4 == 0});
            }
        }
    }

    // Delivers a write to the platform, possibly long after it was sent.
    void deliver_write(std::uint32_t operand) {
        if (m_pending_writes.empty()) {
            return;
        }
        const std::size_t at = operand % m_pending_writes.size();
        const pending_write delivered = m_pending_writes[at];
        m_pending_writes.erase(m_pending_writes.begin() + static_cast<std::ptrdiff_t>(at));
        if (delivered.proposal.version != m_versions.size() - 1) {
            return;
        }
        m_versions.push_back(delivered.proposal.ledger);
        if (!delivered.answer_lost && awaits_answer(delivered)) {
            delivered.sender->holder.record_accepted(m_versions.size() - 1, m_now);
            apply(*delivered.sender);
        }
    }

    // Whether the sender still waits for this answer, and for no later write.
    static bool awaits_answer(const pending_write& delivered) {
        const auto again = delivered.sender->holder.propose({}, {}, time_point());
        return again && *again == delivered.proposal;
    }

    void spend(host& target, std::uint32_t wanted) {
        for (std::uint32_t i = 0; i < wanted; ++i) {
            if (target.bucket.try_take(m_now)) {
                m_spent.push_back(m_now);
            }
        }
        check();
    }

    void inject_fault(std::uint32_t operand) {
        switch (operand % 8) {
        case 0:
            // A host is replaced; the old process may resume later and go on spending.
            m_paused.push_back(m_hosts[(operand >> 4U) % m_hosts.size()]);
            m_hosts[(operand >> 4U) % m_hosts.size()] = new_host();
            break;
        case 1:
            if (!m_paused.empty()) {
                m_hosts[(operand >> 4U) % m_hosts.size()] = m_paused.front();
                m_paused.pop_front();
            }
            break;
        case 2:
            m_now += std::chrono::seconds((operand >> 4U) % 30);
            break;
        default:
            break;
        }
    }

    /// Checks every window up to now: at most the burst plus the rate times its length is spent.
    void check() const {
        for (std::size_t first = 0; first < m_spent.size(); ++first) {
            const double count = static_cast<double>(m_spent.size() - first);
            const double window =
                std::chrono::duration<double>(m_spent.back() - m_spent[first]).count();
            const double allowed = m_limit.burst + m_limit.rate * window;
            if (count > allowed + 1e-6) {
                throw rate_exceeded(
                    fmt::format("expected at most {:.2f} tokens in {:.3f} s, found {} spent",
                                allowed, window, count));
            }
        }
    }

    rate_limit m_limit;
    time_point m_now{std::chrono::hours(1)};
    int m_next_host = 1;
    std::vector<std::shared_ptr<host>> m_hosts;
    std::deque<std::shared_ptr<host>> m_paused;
    std::vector<share_ledger> m_versions{share_ledger{}};
    std::vector<pending_write> m_pending_writes;
    std::vector<time_point> m_spent;
};

} // namespace bronzeplank::model
