#include "session/gateway.hpp"

#include "model/scripted_connection.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using bronzeplank::model::scripted_connection;
using bronzeplank::model::scripted_instance;

namespace {

struct gateway_fixture {
    scripted_instance& instance = scripted_instance::reset();
    event_loop loop;
    upstream_instance listed;
    bool can_acknowledge = true;
    std::vector<std::function<void(bool)>> checks;
    std::vector<upstream_result> results;
    std::unique_ptr<gateway<scripted_connection>> tested;

    gateway_fixture() {
        listed.id = "p";
        listed.group = "g";
        listed.slots = 2;
        gateway<scripted_connection>::environment environment;
        environment.find = [this](const std::string&) { return &listed; };
        environment.limits = [](const upstream_instance&) { return pool_limits(); };
        environment.watched = [](const std::string&) { return true; };
        environment.is_primary = [](const std::string&) { return true; };
        environment.can_acknowledge = [this](const std::string&, const std::string&) {
            return can_acknowledge;
        };
        environment.check_leadership = [this](const std::string&, const std::string&,
                                              std::function<void(bool)> on_checked) {
            checks.push_back(std::move(on_checked));
        };
        environment.confirm_commit = [](const std::string&, const std::string&, const log_position&,
                                        duration, const std::function<void(bool)>& on_confirmed) {
            on_confirmed(true);
        };
        environment.reachability_changed = [] {};
        tested = std::make_unique<gateway<scripted_connection>>(loop, std::move(environment));
    }

    void run(bool reads, std::optional<transaction_key> transaction = {}, bool opens = false) {
        upstream_work work;
        work.group = "g";
        work.instance = "p";
        work.workspace = "desk";
        work.request.kind = reads ? statement_kind::read : statement_kind::write;
        work.request.text = "text";
        work.read_only_work = reads;
        work.transaction = std::move(transaction);
        work.opens_transaction = opens;
        work.objective_left = std::chrono::seconds(1);
        work.time_left = std::chrono::seconds(2);
        tested->run(std::move(work),
                    [this](const statement_answer& answer) { results.push_back(answer.result); });
    }
};

} // namespace

// Beside a primary that was cut off, writes ran, and their callers were told that the outcome is
// unknown, although the host knew that it couldn't acknowledge them.
TEST_CASE("a gateway that may be unable to acknowledge a commit") {
    gateway_fixture test;
    test.can_acknowledge = false;

    SECTION("checks the primary before it runs a write") {
        test.run(false);
        REQUIRE(test.instance.connections.empty());
        REQUIRE(test.checks.size() == 1);
        SECTION("and refuses it if the check fails: it has not run") {
            test.checks.front()(false);
            REQUIRE(test.results == std::vector{upstream_result::not_primary});
            REQUIRE(test.instance.connections.empty());
        }
        SECTION("and runs it otherwise") {
            test.checks.front()(true);
            REQUIRE(test.instance.connections.size() == 1);
            test.instance.accept(0);
            test.instance.complete(0);
            REQUIRE(test.results == std::vector{upstream_result::done});
        }
    }
    SECTION("does the same for the first statement of a transaction that may write") {
        test.run(false, transaction_key{"host", 1}, true);
        REQUIRE(test.instance.connections.empty());
        REQUIRE(test.checks.size() == 1);
    }
    SECTION("runs reads") {
        test.run(true);
        REQUIRE(test.instance.connections.size() == 1);
        REQUIRE(test.checks.empty());
    }
}

TEST_CASE("a gateway that can acknowledge a commit runs a write at once") {
    gateway_fixture test;
    test.run(false);
    REQUIRE(test.instance.connections.size() == 1);
    REQUIRE(test.checks.empty());
}
