#include "model/failover_walks.hpp"

using namespace bronzeplank;
using model::failover_model;
using model::host_behavior;
using model::omitted_rule;
using model::store_behavior;

TEST_CASE("whatever fails, and whenever hosts start again") {
    const model::walk_totals totals = model::walk_all(
        model::walk_count() / 10, store_behavior::keeps_all, host_behavior::start_again);

    SECTION("commits and reads keep their promises, and groups serve") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
        CHECK(totals.promotions > static_cast<int>(model::walk_count() / 20));
        CHECK(totals.acknowledged > model::walk_count());
    }
}

TEST_CASE("whatever fails, and hosts start again on a restored store") {
    const model::walk_totals totals = model::walk_all(
        model::walk_count() / 10, store_behavior::is_restored, host_behavior::start_again);

    SECTION("commits and reads keep their promises, and tokens never fall") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
        CHECK(totals.reversed_tokens == 0);
    }
}

TEST_CASE("the walks with hosts that start again notice") {
    const auto loses = [](const failover_model& walked) { return walked.lost() > 0; };

    SECTION("members that only the hosts know") {
        CHECK(model::any_walk_breaks({omitted_rule::store_members}, store_behavior::keeps_all,
                                     loses, host_behavior::start_again));
    }
}
