#include "bronzeplank/confirmation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

namespace {

const time_point start{std::chrono::hours(1)};

/// Reference implementation: counts the instances that have each offset.
std::uint64_t reference_confirmed_offset(const replication_view& view, std::size_t instances) {
    for (std::uint64_t offset = view.offset; offset > 0; --offset) {
        std::size_t count = 1;
        for (const auto& replica : view.replicas) {
            count += replica.fencing_term == view.term && replica.flushed >= offset ? 1 : 0;
        }
        if (count * 2 > instances) {
            return offset;
        }
    }
    return 0;
}

replication_view view_of(std::uint64_t term, std::uint64_t offset,
                         std::vector<replica_progress> replicas) {
    return {term, term, offset, {{1, 0}, {term, 10}}, std::move(replicas)};
}

} // namespace

TEST_CASE("the confirmed offset") {
    SECTION("matches the reference implementation") {
        rc::prop("for any replicas", [] {
            const auto instances = *rc::gen::element<std::size_t>(1, 3, 5);
            replication_view view{4, 4, *rc::gen::inRange<std::uint64_t>(1, 40), {}, {}};
            for (std::size_t i = 1; i < instances; ++i) {
                view.replicas.push_back({"r", *rc::gen::inRange<std::uint64_t>(3, 5),
                                         *rc::gen::inRange<std::uint64_t>(0, 50)});
            }
            RC_ASSERT(confirmed_offset(view, instances) ==
                      reference_confirmed_offset(view, instances));
        });
    }
    SECTION("is 0 when the primary has a fencing token of a later term") {
        replication_view view = view_of(4, 100, {{"b", 4, 100}, {"c", 4, 100}});
        view.fencing_term = 5;
        REQUIRE(confirmed_offset(view, 3) == 0);
    }
}

TEST_CASE("a write that waits for confirmation") {
    confirmation_tracker tracker(3);
    const auto ticket = tracker.add({4, 100}, start);

    SECTION("is confirmed by one replica of three instances") {
        const auto decided = tracker.apply(view_of(4, 120, {{"b", 4, 100}}));
        REQUIRE(decided == std::vector<confirmation>{{ticket, confirmation_verdict::confirmed}});
        REQUIRE(tracker.empty());
    }
    SECTION("stays undecided") {
        SECTION("when the replica is one byte short") {
            REQUIRE(tracker.apply(view_of(4, 120, {{"b", 4, 99}})).empty());
        }
        SECTION("when the replica was attached in another term") {
            REQUIRE(tracker.apply(view_of(4, 120, {{"b", 3, 100}})).empty());
        }
        SECTION("when a majority does not have the later term's record yet") {
            replication_view view{5, 5, 300, {{4, 0}, {5, 90}}, {{"b", 5, 280}}};
            REQUIRE(tracker.apply(view).empty());
        }
    }
    SECTION("after a promotion") {
        replication_view view{5, 5, 300, {{4, 0}, {5, 90}}, {{"b", 5, 300}}};
        SECTION("is superseded when the later term began before it") {
            REQUIRE(tracker.apply(view) ==
                    std::vector<confirmation>{{ticket, confirmation_verdict::superseded}});
        }
        SECTION("is confirmed when the later term began after it") {
            view.terms[1].offset = 100;
            REQUIRE(tracker.apply(view) ==
                    std::vector<confirmation>{{ticket, confirmation_verdict::confirmed}});
        }
        SECTION("is not decided by a late answer of the old primary") {
            view.terms[1].offset = 50;
            tracker.add({5, 400}, start);
            tracker.apply(view);
            REQUIRE(tracker.apply(view_of(4, 500, {{"b", 4, 500}})).empty());
        }
    }
    SECTION("stalls after the limit") {
        REQUIRE_FALSE(tracker.stalled(start + std::chrono::seconds(1), std::chrono::seconds(1)));
        REQUIRE(tracker.stalled(start + std::chrono::seconds(2), std::chrono::seconds(1)));
    }
}
