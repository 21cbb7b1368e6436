/// \file
/// The links between three failure domains and the platform, and the random source of a walk.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace bronzeplank::model {

constexpr int domain_count = 3;
/// The time of one step of a walk.
constexpr std::chrono::milliseconds step{50};

class walk_random {
public:
    explicit walk_random(std::uint64_t seed) : m_engine(seed) {}
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(m_engine) < probability;
    }
    /// A number from 0 to count - 1.
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_engine); }

private:
    std::mt19937_64 m_engine;
};

/// Each link has two directions, which are cut and restored one by one.
class domain_links {
public:
    domain_links() { heal(); }

    bool linked(int from, int to) const { return m_links.at(index(from)).at(index(to)); }
    bool answers(int from, int to) const { return linked(from, to) && linked(to, from); }
    bool reaches_store(int domain) const { return m_store.at(index(domain)); }

    void heal() {
        for (auto& row : m_links) {
            row.fill(true);
        }
        m_store.fill(true);
    }

    /// One domain loses one or both others, in one direction or both, and perhaps the store.
    void cut_off_domain(walk_random& random) {
        const int domain = random.pick(domain_count);
        const bool inwards = random.chance(0.7);
        const bool outwards = !inwards || random.chance(0.6);
        const bool one_link = random.chance(0.3);
        const int other = (domain + 1 + random.pick(2)) % domain_count;
        for (int peer = 0; peer < domain_count; ++peer) {
            if (peer == domain || (one_link && peer != other)) {
                continue;
            }
            bool& in = m_links.at(index(peer)).at(index(domain));
            bool& out = m_links.at(index(domain)).at(index(peer));
            in = in && !inwards;
            out = out && !outwards;
        }
        m_store.at(index(domain)) = random.chance(0.5);
    }

    /// One direction between two domains, or the way of one domain to the store, is cut or
    /// restored.
    void change_one(walk_random& random) {
        const int domain = random.pick(domain_count);
        const int other = (domain + 1 + random.pick(2)) % domain_count;
        bool& changed = random.chance(0.2) ? m_store.at(index(domain))
                                           : m_links.at(index(domain)).at(index(other));
        changed = !changed;
    }

private:
    static std::size_t index(int domain) { return static_cast<std::size_t>(domain); }

    std::array<std::array<bool, domain_count>, domain_count> m_links{};
    std::array<bool, domain_count> m_store{};
};

} // namespace bronzeplank::model
