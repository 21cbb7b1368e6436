#include "bronzeplank/key_ring.hpp"

#include "bronzeplank/gateway_order.hpp"

#include <array>
#include <sodium.h>

namespace bronzeplank {

namespace {

// No workspace has an empty name.
constexpr std::string_view withdrawn_mark;

} // namespace

key_digest digest_of(std::string_view key) {
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return {hex};
}

void key_ring::assign(const key_digest& digest, const std::string& workspace) {
    const auto [entry, added] = m_assigned.try_emplace(digest, workspace);
    if (!added) {
        m_fingerprint ^= stable_hash(digest.hex, entry->second);
        entry->second = workspace;
    }
    m_fingerprint ^= stable_hash(digest.hex, workspace);
}

bool key_ring::withdraw(const key_digest& digest) {
    const bool added = m_withdrawn.insert(digest).second;
    m_fingerprint ^= added ? stable_hash(digest.hex, withdrawn_mark) : 0;
    return added;
}

std::optional<std::string> key_ring::workspace_of(std::string_view key) const {
    const key_digest digest = digest_of(key);
    const auto found = m_assigned.find(digest);
    // A withdrawn key stays withdrawn when it is assigned again.
    if (found == m_assigned.end() || m_withdrawn.contains(digest)) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace bronzeplank
