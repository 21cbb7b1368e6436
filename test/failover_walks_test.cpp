#include "model/failover_walks.hpp"

using namespace bronzeplank;
using model::store_behavior;

TEST_CASE("whatever is cut, replaced or stands still, in whatever order") {
    const model::walk_totals totals =
        model::walk_all(model::walk_count() / 10, store_behavior::keeps_all);

    SECTION("no acknowledged commit is lost, and no confirmed read misses one") {
        CHECK(totals.lost == 0);
        CHECK(totals.stale == 0);
    }
    SECTION("groups are failed over and serve") {
        CHECK(totals.promotions > static_cast<int>(model::walk_count() / 20));
        CHECK(totals.acknowledged > model::walk_count());
    }
}
