/// \file
/// The work that a host has sent to an upstream and that is not answered yet.
#pragma once

#include "bronzeplank/time.hpp"

#include <cstdint>
#include <map>

namespace bronzeplank {

/// Usage: `const auto id = work.add(now, expected_work_time); ... work.remove(id);`
class unanswered_work {
public:
    std::uint64_t add(time_point sent_at, duration work_time) {
        m_entries.emplace(++m_last_id, entry{sent_at, work_time});
        return m_last_id;
    }

    void remove(std::uint64_t id) { m_entries.erase(id); }

    int count() const { return static_cast<int>(m_entries.size()); }

    /// The expected work time of the statements that were sent at that time or later.
    duration sent_since(time_point since) const {
        duration sum{};
        for (const auto& [id, sent] : m_entries) {
            sum += sent.sent_at >= since ? sent.work_time : duration(0);
        }
        return sum;
    }

private:
    struct entry {
        time_point sent_at;
        duration work_time;
    };
    std::map<std::uint64_t, entry> m_entries;
    std::uint64_t m_last_id = 0;
};

} // namespace bronzeplank
