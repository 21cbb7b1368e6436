// Simulates how many requests are refused although the workspace stays within its rate, for three
// ways to divide the rate: equal shares, the library's leased shares, and one central bucket that
// all hosts use. Time is simulated, without processes or a network; demand shifts between hosts.
//   rate_shares [seconds] [seed]
#include "bronzeplank/share_ledger.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <random>

using namespace bronzeplank;

namespace {

constexpr int host_count = 6;
constexpr rate_limit limit{300, 300};
// The mean demand of all hosts together, as a fraction of the rate.
constexpr double demand_fraction = 0.8;
constexpr std::chrono::milliseconds tick{5};
// The mean time between two renewals of a rate_service: its interval of 700 ms plus half its jitter
// of 300 ms.
constexpr std::chrono::milliseconds renew_interval{850};
constexpr std::chrono::seconds shift_interval{15};

struct simulated_host {
    simulated_host(int number, time_point now)
        : holder(fmt::format("host-{}", number), policy()), leased(limit, now), equal(limit, now) {}

    static share_policy policy() {
        share_policy result;
        result.host_seats = host_count;
        return result;
    }

    share_holder holder;
    leased_bucket leased;
    leased_bucket equal;
    double demand = 0;
    std::uint64_t arrivals = 0;
    time_point next_renewal;
};

struct refusals {
    std::uint64_t requests = 0;
    std::uint64_t equal = 0;
    std::uint64_t leased = 0;
    std::uint64_t central = 0;
};

// `skew` 0 divides the demand equally among the hosts; 1 sends all of it to one host at a time.
refusals simulate(double skew, int seconds, unsigned seed) {
    std::mt19937 random(seed);
    time_point now{std::chrono::hours(1)};
    const time_point started = now;
    const time_point end = now + std::chrono::seconds(seconds);
    std::vector<simulated_host> hosts;
    for (int i = 0; i < host_count; ++i) {
        hosts.emplace_back(i, now);
        hosts.back().next_renewal = now + renew_interval * i / host_count;
        hosts.back().equal.set_share(share_account::floor, whole_share / host_count,
                                     time_point::max(), now);
    }
    leased_bucket central(limit, now);
    central.set_share(share_account::floor, whole_share, time_point::max(), now);
    share_ledger ledger;
    std::uint64_t version = 0;
    refusals result;
    for (; now < end; now += tick) {
        const auto hot_host =
            static_cast<std::size_t>((now - started) / shift_interval) % hosts.size();
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            simulated_host& host = hosts[i];
            if (now >= host.next_renewal) {
                const double latest = static_cast<double>(host.arrivals) /
                                      std::chrono::duration<double>(renew_interval).count();
                host.demand = 0.5 * latest + 0.5 * host.demand;
                host.arrivals = 0;
                host.next_renewal = now + renew_interval;
                host.holder.observe(ledger, version, now);
                const auto proposal =
                    host.holder.propose({{"w", host.demand}}, {{"w", limit}}, now);
                host.holder.record_sent(*proposal, now);
                ledger = proposal->ledger;
                host.holder.record_accepted(++version, now);
                for (const share_account account : {share_account::floor, share_account::extra}) {
                    const auto held = host.holder.held(account);
                    host.leased.set_share(account, held.shares.at("w"), held.until, now);
                }
            }
            const double fraction = (1 - skew) / host_count + (i == hot_host ? skew : 0);
            std::poisson_distribution<int> arrivals(limit.rate * demand_fraction * fraction *
                                                    std::chrono::duration<double>(tick).count());
            // The first seconds, in which the buckets fill up, are not counted.
            const bool counted = now - started > std::chrono::seconds(5);
            for (int n = arrivals(random); n > 0; --n) {
                ++host.arrivals;
                const bool equal = host.equal.try_take(now);
                const bool leased = host.leased.try_take(now);
                const bool shared = central.try_take(now);
                if (counted) {
                    ++result.requests;
                    result.equal += equal ? 0 : 1;
                    result.leased += leased ? 0 : 1;
                    result.central += shared ? 0 : 1;
                }
            }
        }
    }
    return result;
}

} // namespace

int main(int argc, char** argv) {
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 300;
    const unsigned seed = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : 1;
    fmt::print("{:>5} {:>9} {:>12} {:>14} {:>16}\n", "skew", "requests", "equal split",
               "leased shares", "central bucket");
    for (const double skew : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        const refusals found = simulate(skew, seconds, seed);
        const auto percent = [&](std::uint64_t count) {
            return 100.0 * static_cast<double>(count) / static_cast<double>(found.requests);
        };
        fmt::print("{:>5} {:>9} {:>10.2f} % {:>12.2f} % {:>14.2f} %\n", skew, found.requests,
                   percent(found.equal), percent(found.leased), percent(found.central));
    }
}
