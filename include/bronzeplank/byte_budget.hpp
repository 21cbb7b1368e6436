/// \file
/// A process's budget of bytes for what callers and upstreams make it hold.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bronzeplank {

/// What the budget's bytes are held for.
enum class memory_use {
    /// Received and not handled.
    input,
    /// Statements that are queued or running.
    statements,
    /// Answers that are not sent completely.
    output,
    /// Session values and prepared statements.
    sessions
};

/// Divides a process's budget between its uses, and decides which connections are not read and
/// which one is closed first. An owner that holds nothing takes no memory here.
///
/// Usage: `budget.set(id, memory_use::input, bytes); if (!budget.may_read(id)) stop_reading();`
class byte_budget {
public:
    using owner_id = std::uint64_t;

    /// An owner that holds less input than this is read while input is short, so that short
    /// requests are served beside long ones.
    static constexpr std::size_t always_read_bytes = 4096;

    explicit byte_budget(std::size_t total_bytes) : m_total(total_bytes) {}

    /// Replaces what the owner holds for the use.
    void set(owner_id owner, memory_use use, std::size_t bytes);
    void remove(owner_id owner);

    std::size_t share(memory_use use) const;
    std::size_t used(memory_use use) const { return m_used[index(use)]; }
    std::size_t used_by(owner_id owner, memory_use use) const;
    bool exceeded(memory_use use) const { return used(use) > share(use); }

    /// Whether the owner's connection is to be read. While input is short, one owner that holds
    /// much input is read on until its message is complete: if all were stopped half-way, none
    /// could be handled.
    bool may_read(owner_id owner);
    /// The owner that is read on while input is short.
    std::optional<owner_id> preferred_reader() const { return m_preferred; }

    /// Whether a statement of this cost may start. One always may, whatever its cost.
    bool may_start(std::size_t cost) const;

    /// The owner that holds the most; nothing if nobody holds anything.
    std::optional<owner_id> largest(memory_use use) const;

private:
    static constexpr std::size_t uses = 4;
    static std::size_t index(memory_use use) { return static_cast<std::size_t>(use); }

    std::size_t m_total;
    std::array<std::size_t, uses> m_used{};
    std::unordered_map<owner_id, std::array<std::size_t, uses>> m_owners;
    std::optional<owner_id> m_preferred;
};

} // namespace bronzeplank
