/// \file
/// Runs many walks of the failover model.
#pragma once

#include "model/failover_model.hpp"
#include "model/run_size.hpp"

#include <catch2/catch.hpp>
#include <cstdint>

namespace bronzeplank::model {

/// Twenty seconds in steps of 50 ms.
constexpr int steps_per_walk = 400;

/// The sums over all walks.
struct walk_totals {
    int lost = 0;
    int losing_walks = 0;
    int stale = 0;
    int promotions = 0;
    int reversed_tokens = 0;
    std::size_t acknowledged = 0;
};

/// Runs the walks of consecutive seeds, and names those that break a promise.
inline walk_totals walk_all(std::uint64_t walks, store_behavior store,
                            host_behavior hosts = host_behavior::keep_running,
                            const wire_behavior& wire = {}) {
    walk_totals totals;
    for (std::uint64_t i = 0; i < walks; ++i) {
        failover_model walked(first_seed() + i, {}, store, hosts, wire);
        walked.run(steps_per_walk);
        totals.reversed_tokens += walked.reversed_tokens();
        if (walked.lost() + walked.stale() + walked.reversed_tokens() > 0) {
            UNSCOPED_INFO("seed " << first_seed() + i << ": lost " << walked.lost() << ", stale "
                                  << walked.stale());
        }
        totals.lost += walked.lost();
        totals.losing_walks += walked.lost() > 0 ? 1 : 0;
        totals.stale += walked.stale();
        totals.promotions += walked.promotions();
        totals.acknowledged += walked.acknowledged();
    }
    return totals;
}

/// How many of 2,000 walks without the rules lose commits.
inline int count_losing(const omitted_rules& omitted) {
    constexpr std::uint64_t walks = 2'000;
    int losing = 0;
    for (std::uint64_t i = 0; i < walks; ++i) {
        failover_model walked(first_seed() + i, omitted);
        walked.run(steps_per_walk);
        losing += walked.lost() > 0 ? 1 : 0;
    }
    return losing;
}

/// Whether one of many walks without the rules breaks a promise.
template <class Broken>
bool any_walk_breaks(const omitted_rules& omitted, store_behavior store, Broken broken,
                     host_behavior hosts = host_behavior::keep_running) {
    constexpr std::uint64_t max_walks = 20'000;
    for (std::uint64_t i = 0; i < max_walks; ++i) {
        failover_model walked(first_seed() + i, omitted, store, hosts);
        walked.run(steps_per_walk);
        if (broken(walked)) {
            return true;
        }
    }
    return false;
}

} // namespace bronzeplank::model
