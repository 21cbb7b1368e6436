#include "model/failover_fixture.hpp"
#include "model/plain_listener.hpp"
#include "platform/promotion_command.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/wait.h>
#include <thread>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::connection_end;
using model::failover_fixture;
using std::chrono::milliseconds;

namespace {

void run_for(event_loop& loop, duration time) {
    const timer stop = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

task<void> request_promotion(event_loop& loop, std::optional<promotion_result>& result) {
    result = co_await send_promotion_command(loop, model::plain_listener::address(), "host", "g",
                                             "r", 5, event_loop::now() + std::chrono::seconds(2));
}

void wait_until(const std::function<bool()>& holds) {
    for (int tries = 0; tries < 1000 && !holds(); ++tries) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

} // namespace

// A request that a partition held up was delivered after its sender had closed the connection
// (ONE).
TEST_CASE("a promotion request that the platform doesn't answer") {
    model::plain_listener cloud;

    SECTION("is reset when its sender gives it up") {
        event_loop loop;
        std::optional<promotion_result> result;
        spawn(request_promotion(loop, result));
        run_for(loop, milliseconds(200));
        REQUIRE(cloud.received().starts_with("POST /failover"));
        REQUIRE(cloud.end() == connection_end::none);
        run_for(loop, milliseconds(600));
        REQUIRE(result == promotion_result::unanswered);
        REQUIRE(cloud.end() == connection_end::reset);
    }
    SECTION("is reset when its sender is killed") {
        const pid_t sender = fork();
        if (sender == 0) {
            event_loop loop;
            std::optional<promotion_result> result;
            spawn(request_promotion(loop, result));
            run_for(loop, std::chrono::seconds(10));
            _exit(0);
        }
        wait_until([&] { return !cloud.received().empty(); });
        kill(sender, SIGKILL);
        waitpid(sender, nullptr, 0);
        wait_until([&] { return cloud.end() != connection_end::none; });
        REQUIRE(cloud.received().starts_with("POST /failover"));
        REQUIRE(cloud.end() == connection_end::reset);
    }
}

// A host that couldn't reach the platform kept the claim for its lease, and commits waited ten
// seconds for a promotion that the platform could not have received.
TEST_CASE("a promotion request that never leaves its host") {
    failover_fixture test;
    test.promotion_result_to_give = promotion_result::unsent;
    test.service->start();
    run_for(test, claim_lease - milliseconds(400));
    const std::size_t tries = test.promoted.size();
    REQUIRE(tries > 1);

    SECTION("releases the claim for other hosts within the lease") {
        REQUIRE(test.written.back().finished);
        REQUIRE(test.written.back().successor.empty());
        REQUIRE(test.written.back().promoted_term == 0);
    }
    SECTION("leaves no instance in doubt") {
        REQUIRE(test.written.back().in_doubt.empty());
    }
    SECTION("leaves the replica running") {
        REQUIRE(test.host.reports["r"].paused_by == 0);
    }
    SECTION("is not sent again before other hosts have had their turn") {
        run_for(test, claim_timeout - milliseconds(1000));
        REQUIRE(test.promoted.size() == tries);
        test.promotion_result_to_give = promotion_result::done;
        run_for(test, milliseconds(2500));
        REQUIRE(test.promoted.size() == tries + 1);
        REQUIRE(test.finished());
    }
}

// Another host promoted within a lease of the last one of several requests (ONE).
TEST_CASE("a promotion request that is sent again after one without an answer") {
    failover_fixture test;
    test.promotion_result_to_give = promotion_result::unanswered;
    std::vector<std::size_t> writes_before;
    test.on_promotion = [&](const std::string&) {
        writes_before.push_back(test.written.size());
        if (test.promoted.size() > 2) {
            test.promotion_result_to_give = promotion_result::unsent;
        }
    };
    test.service->start();
    run_for(test, claim_lease - milliseconds(400));
    REQUIRE(test.promoted.size() > 3);

    SECTION("follows a change of the claim, from which others wait") {
        REQUIRE(writes_before[1] > writes_before[0]);
        REQUIRE(writes_before[2] > writes_before[1]);
    }
    SECTION("keeps the claim, also if a later one can't be sent") {
        REQUIRE_FALSE(test.written.back().finished);
        REQUIRE(test.written.back().successor == "r");
    }
}
