#include "bronzeplank/primary_tracker.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;

namespace {

upstream_instance listed(const char* id, bool says_primary) {
    upstream_instance instance;
    instance.id = id;
    instance.group = "g";
    instance.says_primary = says_primary;
    return instance;
}

} // namespace

TEST_CASE("a group's primary is") {
    upstream_list list{{"a", listed("a", true)}, {"b", listed("b", false)}};
    primary_tracker tracker;

    SECTION("the one that the list names") {
        REQUIRE(tracker.current(list, "g") == known_primary{"a", 0});
    }
    SECTION("nothing in a group without a primary") {
        list["a"].says_primary = false;
        REQUIRE_FALSE(tracker.current(list, "g"));
    }
    SECTION("the one with the highest term, before the list names it") {
        tracker.record_primary("a", 3, primary_evidence::status);
        tracker.record_primary("b", 4, primary_evidence::status);
        REQUIRE(tracker.current(list, "g") == known_primary{"b", 4});
        SECTION("even when an old primary repeats its term") {
            tracker.record_primary("a", 3, primary_evidence::status);
            REQUIRE(tracker.current(list, "g") == known_primary{"b", 4});
        }
        SECTION("until it reports to be a replica of a newer term") {
            tracker.record_replica("b", 5);
            REQUIRE(tracker.current(list, "g") == known_primary{"a", 3});
            REQUIRE(tracker.newest_term() == 5);
        }
        SECTION("whatever hosts say that have not heard that it is a replica now") {
            tracker.record_replica("b", 4);
            tracker.record_hearsay("b", 4);
            REQUIRE(tracker.current(list, "g") == known_primary{"a", 3});
            SECTION("unless they name a newer term, or it reports to lead again itself") {
                tracker.record_hearsay("b", 5);
                REQUIRE(tracker.current(list, "g") == known_primary{"b", 5});
                tracker.record_replica("b", 5);
                tracker.record_primary("b", 5, primary_evidence::status);
                REQUIRE(tracker.current(list, "g") == known_primary{"b", 5});
            }
        }
        SECTION("whatever other hosts say of its term") {
            tracker.record_hearsay("a", 4);
            REQUIRE(tracker.current(list, "g") == known_primary{"b", 4});
        }
        SECTION("but not when it has left the list") {
            list.erase("b");
            REQUIRE(tracker.current(list, "g") == known_primary{"a", 3});
        }
    }
}

// A former primary with the lower id was preferred to its successor as long as any host took it for
// the primary of the successor's term (review/12).
TEST_CASE("a term has one primary") {
    const upstream_list list{{"a", listed("a", true)}, {"b", listed("b", false)}};
    primary_tracker tracker;
    const auto primary = [&] { return tracker.current(list, "g").value_or(known_primary{}); };

    SECTION("which another host names") {
        tracker.record_hearsay("a", 4);
        SECTION("until the platform accepts another promotion for that term") {
            tracker.record_primary("b", 4, primary_evidence::promotion);
            REQUIRE(primary() == known_primary{"b", 4});
            SECTION("and an instance reports that it leads it") {
                tracker.record_primary("a", 4, primary_evidence::status);
                tracker.record_primary("b", 4, primary_evidence::promotion);
                REQUIRE(primary() == known_primary{"a", 4});
                REQUIRE(tracker.evidence_for("a") == primary_evidence::status);
            }
        }
        SECTION("even if a third one names another") {
            tracker.record_hearsay("b", 4);
            REQUIRE(primary() == known_primary{"a", 4});
        }
    }
    REQUIRE(tracker.newest_term() == 4);
}
