#include "bronzeplank/byte_budget.hpp"

#include <algorithm>

namespace bronzeplank {

// Statements get the largest share, since a long one is copied on its way to an instance. Session
// state gets the smallest one: it is held for as long as the session is open.
std::size_t byte_budget::share(memory_use use) const {
    constexpr std::array<std::size_t, uses> eighths{2, 3, 2, 1};
    return m_total / 8 * eighths[index(use)];
}

void byte_budget::set(owner_id owner, memory_use use, std::size_t bytes) {
    const auto found = m_owners.find(owner);
    if (found == m_owners.end() && bytes == 0) {
        return;
    }
    auto& held = found == m_owners.end() ? m_owners[owner] : found->second;
    std::size_t& current = held[index(use)];
    m_used[index(use)] += bytes - current;
    current = bytes;
    if (use == memory_use::input && m_preferred == owner && bytes < always_read_bytes) {
        m_preferred.reset();
    }
    if (std::all_of(held.begin(), held.end(), [](std::size_t each) { return each == 0; })) {
        m_owners.erase(owner);
    }
}

void byte_budget::remove(owner_id owner) {
    const auto found = m_owners.find(owner);
    if (found == m_owners.end()) {
        return;
    }
    for (std::size_t use = 0; use < uses; ++use) {
        m_used[use] -= found->second[use];
    }
    m_owners.erase(found);
    if (m_preferred == owner) {
        m_preferred.reset();
    }
}

std::size_t byte_budget::used_by(owner_id owner, memory_use use) const {
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? 0 : found->second[index(use)];
}

bool byte_budget::may_read(owner_id owner) {
    if (!exceeded(memory_use::input) || used_by(owner, memory_use::input) < always_read_bytes) {
        return true;
    }
    if (!m_preferred) {
        m_preferred = largest(memory_use::input);
    }
    return m_preferred == owner;
}

bool byte_budget::may_start(std::size_t cost) const {
    const std::size_t held = used(memory_use::statements);
    return held == 0 || held + cost <= share(memory_use::statements);
}

std::optional<byte_budget::owner_id> byte_budget::largest(memory_use use) const {
    const auto found =
        std::max_element(m_owners.begin(), m_owners.end(), [use](const auto& a, const auto& b) {
            return a.second[index(use)] < b.second[index(use)];
        });
    const bool holds = found != m_owners.end() && found->second[index(use)] > 0;
    return holds ? std::optional(found->first) : std::nullopt;
}

} // namespace bronzeplank
