#include "model/failover_walks.hpp"

using namespace bronzeplank;
using model::failover_model;
using model::omitted_rule;
using model::store_behavior;

TEST_CASE("whatever is cut, replaced or stands still, in whatever order") {
    const model::walk_totals totals =
        model::walk_all(model::walk_count() / 10, store_behavior::keeps_all);

    SECTION("no acknowledged commit is lost, and no confirmed read misses one") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
        CHECK(totals.reversed_tokens == 0);
    }
    SECTION("groups are failed over and serve") {
        CHECK(totals.promotions > static_cast<int>(model::walk_count() / 20));
        CHECK(totals.acknowledged > model::walk_count());
    }
}

// A replica crashed after its pause had been verified, started again without it, and commits of the
// old primary were acknowledged with it.
TEST_CASE("a paused replica starts again while another one is promoted") {
    const std::uint64_t seed = GENERATE(20'023'785, 20'026'329);
    const auto lost_without = [&](const model::omitted_rules& omitted) {
        failover_model walked(seed, omitted);
        walked.run(model::steps_per_walk);
        return walked.lost();
    };
    SECTION("commits are lost if its answers count on its new connection") {
        CHECK(lost_without({omitted_rule::cover_processes}) > 0);
    }
    SECTION("none is lost otherwise") {
        CHECK(lost_without({}) == 0);
    }
}

TEST_CASE("the walks notice") {
    const auto found = [](const model::omitted_rules& omitted, auto broken) {
        return model::any_walk_breaks(omitted, store_behavior::keeps_all, broken);
    };
    const auto loses = [](const failover_model& walked) { return walked.lost() > 0; };
    const auto misses = [](const failover_model& walked) { return walked.stale() > 0; };

    SECTION("a coordinator that gives up members which it can't reach") {
        CHECK(found({omitted_rule::account_for_unreachable}, loses));
    }
    SECTION("new replicas that suffice for commits") {
        CHECK(found({omitted_rule::establish_replicas}, loses));
    }
    SECTION("a coordinator that goes on after its lease") {
        CHECK(found({omitted_rule::claim_lease},
                    [](const failover_model& walked) { return walked.reversed_tokens() > 0; }));
    }
    SECTION("commands of an abandoned attempt that arrive after its claim is released") {
        CHECK(found({omitted_rule::resume_answered}, loses));
    }
    SECTION("commits that hung and are acknowledged like any other") {
        CHECK(found({omitted_rule::confirm_delayed_commits}, loses));
    }
    SECTION("commits that are acknowledged after a gap in contact") {
        CHECK(found({omitted_rule::unbroken_contact}, loses));
    }
    SECTION("reads that are served after a gap in contact") {
        CHECK(found({omitted_rule::unbroken_contact}, misses));
    }
    SECTION("answers to PAUSE of instances that ignored it, if none is asked again") {
        CHECK(model::count_losing({omitted_rule::confirm_pauses, omitted_rule::verify_pauses}) >
              model::count_losing({omitted_rule::verify_pauses}));
    }
    SECTION("pauses that have ended before the promotion") {
        CHECK(found({omitted_rule::verify_pauses}, loses));
    }
}
