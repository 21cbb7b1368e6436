#include "model/failover_model.hpp"
#include "model/run_size.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_model;
using model::omitted_rule;

namespace {

// Twenty seconds in steps of 50 ms.
constexpr int steps_per_walk = 400;

struct walk_totals {
    int lost = 0;
    int stale = 0;
    int promotions = 0;
    std::size_t acknowledged = 0;
};

walk_totals walk_all(std::uint64_t walks) {
    walk_totals totals;
    for (std::uint64_t i = 0; i < walks; ++i) {
        failover_model walked(model::first_seed() + i);
        walked.run(steps_per_walk);
        if (walked.lost() + walked.stale() > 0) {
            UNSCOPED_INFO("seed " << model::first_seed() + i << ": lost " << walked.lost()
                                  << ", stale " << walked.stale());
        }
        totals.lost += walked.lost();
        totals.stale += walked.stale();
        totals.promotions += walked.promotions();
        totals.acknowledged += walked.acknowledged();
    }
    return totals;
}

} // namespace

TEST_CASE("whatever is cut, replaced or stands still, in whatever order") {
    const walk_totals totals = walk_all(model::walk_count() / 10);

    SECTION("no acknowledged commit is lost, and no confirmed read misses one") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
    }
    SECTION("groups are failed over and serve") {
        CHECK(totals.promotions > static_cast<int>(model::walk_count() / 20));
        CHECK(totals.acknowledged > model::walk_count());
    }
}

TEST_CASE("the walks notice") {
    constexpr std::uint64_t max_walks = 20'000;
    const auto found = [](omitted_rule omitted, auto broken) {
        for (std::uint64_t i = 0; i < max_walks; ++i) {
            failover_model walked(model::first_seed() + i, {omitted});
            walked.run(steps_per_walk);
            if (broken(walked)) {
                return true;
            }
        }
        return false;
    };
    const auto loses = [](const failover_model& walked) { return walked.lost() > 0; };
    const auto misses = [](const failover_model& walked) { return walked.stale() > 0; };

    SECTION("a coordinator that gives up members which it can't reach") {
        CHECK(found(omitted_rule::account_for_unreachable, loses));
    }
    SECTION("new replicas that suffice for commits") {
        CHECK(found(omitted_rule::establish_replicas, loses));
    }
    SECTION("new replicas that confirm the primary") {
        CHECK(found(omitted_rule::establish_replicas, misses));
    }
    SECTION("a coordinator that goes on after its lease") {
        CHECK(found(omitted_rule::claim_lease, loses));
    }
    SECTION("commands of an abandoned attempt that arrive after its claim is released") {
        CHECK(found(omitted_rule::resume_answered, loses));
    }
    SECTION("commits that hung and are acknowledged like any other") {
        CHECK(found(omitted_rule::confirm_delayed_commits, loses));
    }
    SECTION("commits that are acknowledged after a gap in contact") {
        CHECK(found(omitted_rule::unbroken_contact, loses));
    }
    SECTION("reads that are served after a gap in contact") {
        CHECK(found(omitted_rule::unbroken_contact, misses));
    }
    SECTION("answers to PAUSE of instances that ignored it") {
        CHECK(found(omitted_rule::confirm_pauses, loses));
    }
}
