#include "model/failover_walks.hpp"

using namespace bronzeplank;
using model::failover_model;
using model::omitted_rule;
using model::store_behavior;

TEST_CASE("whatever fails, and whenever the platform's store is restored from an older copy") {
    const model::walk_totals totals =
        model::walk_all(model::walk_count() / 10, store_behavior::is_restored);

    SECTION("commits and reads keep their promises, tokens never fall, and groups serve") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
        CHECK(totals.reversed_tokens == 0);
        CHECK(totals.promotions > static_cast<int>(model::walk_count() / 20));
        CHECK(totals.acknowledged > model::walk_count());
    }
}

TEST_CASE("the walks with restorations notice") {
    const auto found = [](const model::omitted_rules& omitted, auto broken) {
        return model::any_walk_breaks(omitted, store_behavior::is_restored, broken);
    };
    const auto loses = [](const failover_model& walked) { return walked.lost() > 0; };

    // The connections to new replicas are new as well, so that either rule holds them off.
    SECTION("new replicas that confirm the primary") {
        CHECK(found({omitted_rule::establish_replicas, omitted_rule::cover_processes},
                    [](const failover_model& walked) { return walked.stale() > 0; }));
    }
    SECTION("claims of an earlier era that are taken for all promotions") {
        CHECK(found({omitted_rule::cover_earlier_eras}, loses));
    }
    SECTION("a coordinator that claims while one of an earlier era may act") {
        CHECK(found({omitted_rule::wait_for_earlier_leases}, loses));
    }
    SECTION("fencing tokens that are revisions") {
        CHECK(found({omitted_rule::order_tokens_by_era},
                    [](const failover_model& walked) { return walked.reversed_tokens() > 0; }));
    }
}
