// What a host logs when a newer primary lacks a write that the host has acknowledged.
#include "model/captured_log.hpp"
#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::lines_logged_by;
using model::make_status;

namespace {

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

void acknowledge(failover_fixture& test, const std::string& id, const log_position& position) {
    test.service->record_acknowledged("g", {id, "p", position, event_loop::now()});
}

std::string lines_of(failover_fixture& test) {
    return lines_logged_by([&] {
        test.service->start();
        model::run_for(test, std::chrono::milliseconds(300));
    });
}

const std::string warning = R"("name":"acknowledged_write_missing")";
const std::string promoter_line = R"("name":"lossy_promotion")";

} // namespace

TEST_CASE("a host that has acknowledged writes") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.stored = {true, {0, 5}, {2, "other", "r", true, 2, 0, true, {}, {1, 27}, "r 1.27 term 1"}};
    acknowledge(test, "id-27", {1, 27});
    primary_tracker& tracker = test.host.directory.primary_tracker_for("g");

    SECTION("warns when it hears of a newer primary whose term began below one") {
        acknowledge(test, "id-28", {1, 28});
        tracker.record_hearsay("r", 2);
        tracker.record_beginning({{"r", 2}, {1, 27}});
        const std::string lines = lines_of(test);
        REQUIRE(count_of(lines, warning) == 1);
        REQUIRE_THAT(
            lines,
            Catch::Contains(
                R"("id":"id-28","group":"g","position":"1.28","first_position":"1.27","primary":"r","term":"2","instance":"p")"));
        REQUIRE_THAT(lines, Catch::Contains(R"("count":"1"})"));
        SECTION("and then tells what the promoter chose from") {
            REQUIRE(count_of(lines, promoter_line) == 1);
            REQUIRE_THAT(lines, Catch::Contains(
                                    R"("choice":"r 1.27 term 1","group":"g","promoter":"other")"));
        }
        REQUIRE(test.service->lossy_changes() == 1);
        REQUIRE(test.reads == 1);
    }
    SECTION("warns without the claim if it can't be read") {
        acknowledge(test, "id-28", {1, 28});
        test.stored.succeeded = false;
        tracker.record_beginning({{"r", 2}, {1, 27}});
        const std::string lines = lines_of(test);
        REQUIRE(count_of(lines, warning) == 1);
        REQUIRE(count_of(lines, promoter_line) == 0);
    }
    SECTION("warns when the former primary confirms one after the newer term has begun") {
        tracker.record_beginning({{"r", 2}, {1, 27}});
        REQUIRE(count_of(lines_of(test), warning) == 0);
        acknowledge(test, "id-28", {1, 28});
        REQUIRE(
            count_of(lines_logged_by([&] { model::run_for(test, std::chrono::milliseconds(200)); }),
                     warning) == 1);
    }
    SECTION("warns when an instance itself shows that it began below one") {
        acknowledge(test, "id-28", {1, 28});
        test.host.reports["r"] = {replication_role::primary, 2, {1, 27}, 0};
        test.host.router.send_command("r", replication_command::report, 0,
                                      [](const std::optional<replication_status>&) {});
        REQUIRE(count_of(lines_of(test), warning) == 1);
    }
    SECTION("doesn't warn of a newer primary that began at or above all") {
        tracker.record_hearsay("r", 2);
        tracker.record_beginning({{"r", 2}, {1, 27}});
        REQUIRE(count_of(lines_of(test), warning) == 0);
        REQUIRE(test.service->lossy_changes() == 0);
        REQUIRE(test.reads == 0);
    }
    SECTION("doesn't warn while it doesn't know how the newer term began") {
        acknowledge(test, "id-28", {1, 28});
        tracker.record_hearsay("r", 2);
        REQUIRE(count_of(lines_of(test), warning) == 0);
    }
}

TEST_CASE("a host that promotes a replica records how its term began") {
    failover_fixture test;
    test.service->start();
    REQUIRE(test.host.run_until([&] { return test.finished(); }));
    REQUIRE(test.host.directory.primary_tracker_for("g").first_position({"r", 2}) ==
            log_position{1, 27});
    REQUIRE(test.service->lossy_changes() == 0);
}
