#include "bronzeplank/demand_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <vector>

using namespace bronzeplank;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::hours(1)};

/// Hosts that tell each other their demand every 200 ms, as beats do.
class hosts_with_beats {
public:
    explicit hosts_with_beats(std::size_t count) : m_shares(count) {}

    void tell(time_point now) {
        std::vector<double> demands;
        double sum = 0;
        for (const auto& share : m_shares) {
            demands.push_back(share.demand(now));
            sum += demands.back();
        }
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            m_shares[i].set_view(sum - demands[i], m_shares.size(), m_shares.size());
        }
    }

    demand_share& operator[](std::size_t index) { return m_shares[index]; }
    std::size_t size() const { return m_shares.size(); }

private:
    std::vector<demand_share> m_shares;
};

} // namespace

TEST_CASE("a host's part of a rate") {
    SECTION("is an even one while nobody asks") {
        demand_share share;
        share.set_view(0, 4, 4);
        REQUIRE(share.part(start) == Approx(0.25));
    }
    SECTION("follows the demand") {
        demand_share share;
        share.set_view(0, 9, 9);
        for (int i = 0; i < 300; ++i) {
            share.admit(start + milliseconds(10 * i), 1000, 1000);
        }
        REQUIRE(share.part(start + milliseconds(3000)) > 0.9);
        SECTION("and falls when others ask for more") {
            share.set_view(900, 9, 9);
            REQUIRE(share.part(start + milliseconds(3000)) < 0.2);
        }
    }
}

TEST_CASE("a host that hears nobody admits its even part only") {
    // As after its start, or while it is cut off: the others go on spending theirs.
    demand_share share;
    share.set_view(0, 1, 9);
    int admitted = 0;
    for (int i = 0; i < 500; ++i) {
        admitted += share.admit(start + milliseconds(10 * i), 90, 90) ? 1 : 0;
    }
    INFO(admitted << " admitted of 500 in 5 s; a ninth of the rate and the burst is 60");
    REQUIRE(admitted <= 60);
}

TEST_CASE("no window of five seconds gets more than the rate, the burst and the tolerance") {
    // The platform's tolerance: a tenth of the whole, and twenty operations.
    static constexpr double rate = 60;
    static constexpr double burst = 60;
    static constexpr double allowed = (rate * 5 + burst) * 1.1 + 20;
    rc::prop("for any spread of a demand far over the rate, also one that moves", [] {
        hosts_with_beats hosts(6);
        const auto weights = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 10));
        std::vector<time_point> admitted;
        for (int step = 0; step < 1200; ++step) {
            const time_point now = start + milliseconds(10 * step);
            if (step % 20 == 0) {
                hosts.tell(now);
            }
            // The demand moves to other hosts after half of the time.
            const std::size_t offset = step < 600 ? 0 : 6;
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                const int asked = weights[i + offset];
                for (int k = 0; k < asked && (step + k) % 3 == 0; ++k) {
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
