/// \file
/// Callers' API keys: digests, assignments to workspaces, and final withdrawals.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bronzeplank {

/// A key's digest; the key itself is never stored.
struct key_digest {
    /// BLAKE2b-256 in hexadecimal.
    std::string hex;
    auto operator<=>(const key_digest&) const = default;
};

/// Computes a key's digest.
key_digest digest_of(std::string_view key);

/// The keys that a host knows. A withdrawal is final and overrides an earlier or later assignment,
/// so that withdrawals are idempotent and hosts can exchange them in any order, uncoordinated.
/// Usage: `ring.assign(digest_of(key), "desk"); ring.workspace_of(key);`
class key_ring {
public:
    /// Assigns the key to the workspace.
    void assign(const key_digest& digest, const std::string& workspace);

    /// Withdraws the key permanently; returns false if it was already withdrawn.
    bool withdraw(const key_digest& digest);

    /// Returns the workspace of a key that is assigned and not withdrawn.
    std::optional<std::string> workspace_of(std::string_view key) const;

    /// Equal for equal sets of assigned and withdrawn keys, whatever the order in which they came.
    std::uint64_t fingerprint() const { return m_fingerprint; }

    const std::set<key_digest>& withdrawn() const { return m_withdrawn; }
    /// The workspace of each assigned key, withdrawn or not.
    const std::map<key_digest, std::string>& assigned() const { return m_assigned; }

private:
    std::map<key_digest, std::string> m_assigned;
    std::set<key_digest> m_withdrawn;
    std::uint64_t m_fingerprint = 0;
};

} // namespace bronzeplank
