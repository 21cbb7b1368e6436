#include "session/caller_session.hpp"

#include "model/lone_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::lone_host;

namespace {

statement make(statement_kind kind, const std::string& text = "text") {
    statement made;
    made.kind = kind;
    made.id = "id";
    made.text = text;
    made.name = "name";
    return made;
}

struct session_in_test {
    lone_host host;
    std::shared_ptr<caller_session> session;
    std::vector<session_answer> answers;

    explicit session_in_test(const std::string& database) {
        session = std::make_shared<caller_session>(*host.service, database, "key");
        session->open();
    }
    ~session_in_test() { session->end(); }

    void ask(statement asked) {
        session->ask(std::move(asked),
                     [this](const session_answer& answer) { answers.push_back(answer); });
    }
    void begin(bool read_only = false) {
        statement asked = make(statement_kind::begin);
        asked.read_only = read_only;
        ask(asked);
    }
    const session_answer& last() const {
        REQUIRE_FALSE(answers.empty());
        return answers.back();
    }
    const upstream_work& sent() const {
        REQUIRE_FALSE(host.sent.empty());
        return host.sent.front().work;
    }
    /// Makes the group's log known, as traffic does.
    void know_positions() {
        ask(make(statement_kind::read));
        host.answer(upstream_result::done);
        REQUIRE(last().signature == "signature");
    }
};

} // namespace

TEST_CASE("a session is opened at a host that has no configuration yet") {
    lone_host host;
    fleet_directory unaware;
    session_service service(host.loop, unaware, host.router, host.peers, withdrawal_bounds{});
    const auto session = std::make_shared<caller_session>(service, "own", "key");

    SECTION("and is told to come again, not that its database is unknown") {
        try {
            session->open();
            FAIL("expected a refusal");
        } catch (const request_error& error) {
            REQUIRE(error.kind() == error_kind::platform_unavailable);
            REQUIRE(error.outcome() == run_outcome::not_run);
            REQUIRE(answer_for(error.kind()).retry_helps);
        }
    }
}

TEST_CASE("a session is opened") {
    lone_host host;
    const auto open = [&](const char* database, const char* key) {
        caller_session(*host.service, database, key).open();
    };
    SECTION("with a known key for a known database") {
        REQUIRE_NOTHROW(open("strict", "key"));
    }
    SECTION("not with another key, nor for another database") {
        REQUIRE_THROWS_AS(open("strict", "other"), request_error);
        REQUIRE_THROWS_AS(open("other", "key"), request_error);
    }
}

TEST_CASE("statements that only change the session") {
    session_in_test test("strict");
    statement value = make(statement_kind::set_value);
    value.name = "lang";
    value.argument = "pl";
    test.ask(value);
    statement prepared = make(statement_kind::prepare);
    prepared.shape = {false, "READ q"};
    test.ask(prepared);

    SECTION("are answered without an instance") {
        REQUIRE(test.answers.size() == 2);
        REQUIRE_FALSE(test.last().error);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("take effect with the next statement") {
        test.ask(make(statement_kind::execute));
        REQUIRE(test.sent().values == session_values{{"lang", "pl"}});
        REQUIRE(test.sent().what.shape == statement_shape{false, "READ q"});
    }
    SECTION("can be taken back") {
        test.ask(make(statement_kind::deallocate));
        test.ask(make(statement_kind::execute));
        REQUIRE(test.last().error == error_kind::unknown_statement);
    }
}

TEST_CASE("a read on a strict route") {
    session_in_test test("strict");
    test.ask(make(statement_kind::read));
    REQUIRE(test.sent().instance == "p");
    REQUIRE(test.sent().strict);

    SECTION("is answered with the instance's signature and rows") {
        test.host.answer(upstream_result::done);
        REQUIRE(test.last().signature == "signature");
        REQUIRE(test.last().rows == std::vector<std::string>{"row"});
    }
    SECTION("runs again when its answer was lost") {
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.answers.empty());
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
    }
    SECTION("is refused at once by a full primary") {
        test.host.answer(upstream_result::overloaded);
        REQUIRE(test.last().error == error_kind::overloaded);
    }
}

TEST_CASE("a read that may be old") {
    session_in_test test("bounded");

    SECTION("goes to the primary with a proof while nothing is known of the log") {
        test.host.reports.clear();
        test.ask(make(statement_kind::read));
        REQUIRE(test.sent().instance == "p");
        REQUIRE(test.sent().strict);
    }
    SECTION("goes to a replica with the least position that it needs") {
        test.know_positions();
        test.ask(make(statement_kind::read));
        REQUIRE(test.sent().instance == "r");
        REQUIRE(test.sent().at_least == log_position{1, 27});
        REQUIRE_FALSE(test.sent().strict);
        SECTION("and to the primary when the replica is behind") {
            test.host.answer(upstream_result::behind);
            REQUIRE(test.sent().instance == "p");
            REQUIRE(test.sent().at_least == log_position{1, 27});
        }
    }
}

TEST_CASE("a session reads what it has written") {
    session_in_test test("own");
    test.know_positions();
    test.ask(make(statement_kind::write));
    REQUIRE(test.sent().instance == "p");
    test.host.answer(upstream_result::done, {1, 99});
    test.ask(make(statement_kind::read));
    REQUIRE(test.sent().at_least == log_position{1, 99});
}

TEST_CASE("a write") {
    session_in_test test("own");
    test.ask(make(statement_kind::write));
    REQUIRE_FALSE(test.sent().strict);

    SECTION("whose answer was lost is in doubt, and is never sent again") {
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.last().error == error_kind::outcome_unknown);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("that its time limit stopped is in doubt") {
        test.host.answer(upstream_result::timed_out);
        REQUIRE(test.last().error == error_kind::outcome_unknown);
    }
    SECTION("that failed is said to have failed") {
        test.host.answer(upstream_result::failed);
        REQUIRE(test.last().error == error_kind::statement_failed);
    }
    SECTION("that did not run because the lead has changed goes on to the new primary") {
        test.host.directory.primary_tracker_for("g").record_primary("r", 2);
        test.host.answer(upstream_result::not_primary);
        REQUIRE(test.sent().instance == "r");
    }
}

TEST_CASE("a transaction") {
    session_in_test test("own");
    test.begin();
    REQUIRE(test.last().state == session_state::in_transaction);
    REQUIRE(test.host.sent.empty());

    SECTION("begins at the instance with its first statement") {
        test.ask(make(statement_kind::write));
        REQUIRE(test.sent().opens_transaction);
        const auto key = test.sent().transaction;
        test.host.answer(upstream_result::done);
        test.ask(make(statement_kind::write));
        REQUIRE_FALSE(test.sent().opens_transaction);
        REQUIRE(test.sent().transaction == key);
        SECTION("and ends with its commit") {
            test.host.answer(upstream_result::done);
            test.ask(make(statement_kind::commit));
            test.host.answer(upstream_result::done);
            REQUIRE(test.last().state == session_state::idle);
        }
        SECTION("keeps nothing when a later statement fails, and says so") {
            test.host.answer(upstream_result::unanswered);
            REQUIRE(test.last().error == error_kind::transaction_aborted);
            REQUIRE(test.last().state == session_state::failed);
            REQUIRE(test.host.ended.size() == 1);
            SECTION("and answers only its end") {
                test.ask(make(statement_kind::read));
                REQUIRE(test.last().error == error_kind::malformed_request);
                test.ask(make(statement_kind::rollback));
                REQUIRE_FALSE(test.last().error);
                REQUIRE(test.last().state == session_state::idle);
            }
        }
        SECTION("is in doubt when its commit is not answered") {
            test.host.answer(upstream_result::done);
            test.ask(make(statement_kind::commit));
            test.host.answer(upstream_result::unanswered);
            REQUIRE(test.last().error == error_kind::outcome_unknown);
            REQUIRE(test.last().state == session_state::idle);
        }
        SECTION("keeps nothing when its commit did not run") {
            test.host.answer(upstream_result::done);
            test.ask(make(statement_kind::commit));
            test.host.answer(upstream_result::overloaded);
            REQUIRE(test.last().error == error_kind::transaction_aborted);
            REQUIRE(test.host.ended.size() == 1);
        }
        SECTION("is rolled back when its caller leaves") {
            test.session->end();
            REQUIRE(test.host.ended.size() == 1);
        }
    }
    SECTION("that wrote nothing keeps nothing, also when its commit is not answered") {
        test.ask(make(statement_kind::read));
        test.host.answer(upstream_result::done);
        test.ask(make(statement_kind::commit));
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.last().error == error_kind::transaction_aborted);
    }
    SECTION("whose first statement did not run is tried again as a new one") {
        test.ask(make(statement_kind::read));
        const auto first = test.sent().transaction;
        test.host.answer(upstream_result::unsent);
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
        REQUIRE(test.sent().opens_transaction);
        REQUIRE(test.sent().transaction != first);
    }
    SECTION("without statements costs nothing when it is rolled back") {
        test.ask(make(statement_kind::rollback));
        REQUIRE_FALSE(test.last().error);
        REQUIRE(test.host.sent.empty());
        REQUIRE(test.host.ended.empty());
    }
    SECTION("can't be begun twice") {
        test.begin();
        REQUIRE(test.last().error == error_kind::malformed_request);
    }
}

TEST_CASE("a new configuration counts from the next operation on") {
    session_in_test test("own");
    SECTION("a withdrawn key is refused on an open session") {
        test.host.configure(2, "another");
        test.ask(make(statement_kind::read));
        REQUIRE(test.last().error == error_kind::unauthenticated);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("an open transaction goes on") {
        test.begin();
        test.host.configure(2, "another");
        test.ask(make(statement_kind::write));
        REQUIRE(test.sent().workspace == "desk");
    }
}

TEST_CASE("a workspace over its rate is refused before anything is sent") {
    session_in_test test("own");
    int refused = 0;
    for (int i = 0; i < 150; ++i) {
        test.begin();
        refused += test.last().error == error_kind::rate_limited ? 1 : 0;
        if (!test.last().error) {
            test.ask(make(statement_kind::rollback));
        }
    }
    INFO(refused << " of 150 refused; the burst is 100");
    REQUIRE(refused >= 40);
    REQUIRE(test.host.sent.empty());
}
