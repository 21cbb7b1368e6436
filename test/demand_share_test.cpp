#include "bronzeplank/demand_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <vector>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

/// Hosts that exchange their demand every 200 ms, as heartbeats do.
class heartbeating_hosts {
public:
    explicit heartbeating_hosts(std::size_t count) : m_shares(count) {}

    void exchange_demand(time_point now) {
        std::vector<double> demands;
        double sum = 0;
        for (const auto& share : m_shares) {
            demands.push_back(share.demand(now));
            sum += demands.back();
        }
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            m_shares[i].set_peer_demand(sum - demands[i], m_shares.size(), m_shares.size());
        }
    }

    demand_share& operator[](std::size_t index) { return m_shares[index]; }
    std::size_t size() const { return m_shares.size(); }

private:
    std::vector<demand_share> m_shares;
};

} // namespace

TEST_CASE("a host's share of a rate") {
    SECTION("is equal to the others' without demand") {
        demand_share share;
        share.set_peer_demand(0, 4, 4);
        REQUIRE(share.current_share(start) == Approx(0.25));
    }
    SECTION("follows the demand") {
        demand_share share;
        share.set_peer_demand(0, 9, 9);
        for (int i = 0; i < 300; ++i) {
            share.admit(start + milliseconds(10 * i), 1000, 1000);
        }
        REQUIRE(share.current_share(start + milliseconds(3000)) > 0.9);
        SECTION("and falls when the demand at other hosts grows") {
            share.set_peer_demand(900, 9, 9);
            REQUIRE(share.current_share(start + milliseconds(3000)) < 0.2);
        }
    }
}

TEST_CASE("a host that reaches no other host admits only its equal share") {
    // The host has just started or is partitioned: the other hosts go on spending their shares.
    demand_share share;
    share.set_peer_demand(0, 1, 9);
    int admitted = 0;
    for (int i = 0; i < 500; ++i) {
        admitted += share.admit(start + milliseconds(10 * i), 90, 90) ? 1 : 0;
    }
    INFO(admitted << " admitted of 500 in 5 s; a ninth of the rate and the burst is 60");
    REQUIRE(admitted <= 60);
}

TEST_CASE("no five-second window admits more than the rate, the burst and the tolerance") {
    // The platform's tolerance: ten percent of the total and twenty operations.
    static constexpr double rate = 60;
    static constexpr double burst = 60;
    static constexpr double allowed = (rate * 5 + burst) * 1.1 + 20;
    rc::prop("for any distribution of a demand far above the rate, also one that shifts", [] {
        heartbeating_hosts hosts(6);
        const auto weights = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 10));
        std::vector<time_point> admitted;
        for (int step = 0; step < 1200; ++step) {
            const time_point now = start + milliseconds(10 * step);
            if (step % 20 == 0) {
                hosts.exchange_demand(now);
            }
            // The demand shifts to other hosts after half of the time.
            const std::size_t offset = step < 600 ? 0 : 6;
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                const int operations = weights[i + offset];
                for (int k = 0; k < operations && (step + k) % 3 == 0; ++k) {
                    if (hosts[i].admit(now, rate, burst)) {
                        admitted.push_back(now);
                    }
                }
            }
        }
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            std::size_t inside = 0;
            while (first + inside < admitted.size() &&
                   admitted[first + inside] < admitted[first] + std::chrono::seconds(5)) {
                ++inside;
            }
            RC_ASSERT(static_cast<double>(inside) <= allowed);
        }
    });
}
