/// \file
/// The platform's store as far as a group's failover needs it: the claim, the list of instances
/// and the stored members. It can be restored from an older copy.
#pragma once

#include "bronzeplank/failover.hpp"
#include "bronzeplank/group_roster.hpp"
#include "bronzeplank/store_position.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// Usage: `store.run(now, listed); store.write(store.position(), claim); store.restore(now, lost);`
class restorable_store {
public:
    using instance_list = std::map<std::string, std::int64_t>;

    /// The instances have written their entries again by then.
    static constexpr std::chrono::seconds rewrite_time{2};
    /// The oldest copy that the store is restored from.
    static constexpr std::chrono::seconds max_loss{12};

    /// \param keeps_copies whether it can be restored
    restorable_store(const failover_claim& first, bool keeps_copies)
        : m_claim(first), m_keeps_copies(keeps_copies) {}

    /// Executes the late writes that are due, and copies the contents.
    /// \param present the running instances that would be listed
    void run(time_point now, const instance_list& present) {
        m_now = now;
        m_present = present;
        for (const auto& late : m_late_writes) {
            if (late.due <= now) {
                write(late.expected, late.claim);
            }
        }
        std::erase_if(m_late_writes, [&](const auto& late) { return late.due <= now; });
        if (!m_keeps_copies) {
            return;
        }
        const bool changed = m_copies.empty() || m_copies.back().position != m_position ||
                             m_copies.back().listed != present ||
                             m_copies.back().members != m_members;
        if (changed) {
            m_copies.push_back({now, m_claim, m_position, present, m_members});
        }
        while (m_copies.size() > 1 && now - m_copies[1].taken_at > max_loss) {
            m_copies.pop_front();
        }
    }

    /// Loses what was written since, and begins the next era.
    void restore(duration lost) {
        const copy* restored = &m_copies.front();
        for (const copy& candidate : m_copies) {
            if (candidate.taken_at <= m_now - lost) {
                restored = &candidate;
            }
        }
        m_claim = restored->claim;
        m_position = {m_position.era + 1, restored->position.revision};
        m_restored_list = restored->listed;
        m_members = restored->members;
        m_rewritten_at = m_now + rewrite_time;
    }

    const failover_claim& claim() const { return m_claim; }
    const store_position& position() const { return m_position; }
    const instance_list& listed() const {
        return m_now < m_rewritten_at ? m_restored_list : m_present;
    }

    /// The members of the last write; none at first.
    const group_members& members() const { return m_members; }
    void write_members(const group_members& members) { m_members = members; }

    /// The claim's new position. Nothing if its revision is another one, or if it was expected in
    /// an earlier era: then the write may have been executed, since a call carries no era.
    std::optional<store_position> write(const store_position& expected,
                                        const failover_claim& claim) {
        if (expected.revision != m_position.revision) {
            return std::nullopt;
        }
        m_claim = claim;
        ++m_position.revision;
        return expected.era == m_position.era ? std::optional(m_position) : std::nullopt;
    }
    /// A write whose answer is lost and which is executed later, if its condition still holds.
    void write_late(const store_position& expected, const failover_claim& claim, duration delay) {
        m_late_writes.push_back({m_now + delay, expected, claim});
    }

private:
    struct copy {
        time_point taken_at;
        failover_claim claim;
        store_position position;
        instance_list listed;
        group_members members;
    };
    struct late_write {
        time_point due;
        store_position expected;
        failover_claim claim;
    };

    time_point m_now{};
    failover_claim m_claim;
    group_members m_members;
    bool m_keeps_copies = false;
    store_position m_position{1, 1};
    instance_list m_present;
    instance_list m_restored_list;
    time_point m_rewritten_at{};
    std::deque<copy> m_copies;
    std::vector<late_write> m_late_writes;
};

} // namespace bronzeplank::model
