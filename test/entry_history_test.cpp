#include "bronzeplank/entry_history.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

constexpr time_point now{std::chrono::hours(1)};

upstream_instance entry(std::int64_t born_ms, std::uint64_t sequence) {
    return {"i", "g", "a", {}, 1, false, false, born_ms, sequence};
}

} // namespace

TEST_CASE("the entries of an instance") {
    entry_history history;
    REQUIRE_FALSE(history.is_outdated(entry(1000, 1)));
    history.record(entry(1000, 5));

    SECTION("are outdated if the same process has written a later one") {
        CHECK(history.is_outdated(entry(1000, 4)));
        CHECK_FALSE(history.is_outdated(entry(1000, 5)));
        CHECK_FALSE(history.is_outdated(entry(1000, 6)));
    }
    SECTION("of a new process are not outdated, although it numbers them anew") {
        CHECK_FALSE(history.is_outdated(entry(2000, 1)));
        SECTION("but those of the process before it are") {
            history.record(entry(2000, 1));
            CHECK(history.is_outdated(entry(1000, 6)));
        }
    }
    SECTION("of a process that started after its clock was set back are not outdated") {
        CHECK_FALSE(history.is_outdated(entry(500, 1)));
    }
    SECTION("without a start time or a number can't be told") {
        CHECK_FALSE(history.is_outdated(entry(0, 1)));
        CHECK_FALSE(history.is_outdated(entry(1000, 0)));
    }
    SECTION("are recognized for a while after it was last listed") {
        history.record_unlisted("i", now);
        history.prune(now + entry_history::retention);
        CHECK(history.is_outdated(entry(1000, 4)));
        history.prune(now + entry_history::retention + std::chrono::seconds(1));
        CHECK_FALSE(history.is_outdated(entry(1000, 4)));
    }
    SECTION("are kept while it is listed again") {
        history.record_unlisted("i", now);
        history.record(entry(1000, 6));
        history.prune(now + 2 * entry_history::retention);
        CHECK(history.is_outdated(entry(1000, 5)));
    }
}
