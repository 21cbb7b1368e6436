#include "session/caller_session.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::single_host;
using std::chrono::milliseconds;

namespace {

statement make(statement_kind kind, const std::string& text = "text") {
    statement made;
    made.kind = kind;
    made.id = "id";
    made.text = text;
    made.name = "name";
    return made;
}

struct session_fixture {
    single_host host;
    std::shared_ptr<caller_session> session;
    std::vector<session_answer> answers;

    explicit session_fixture(const std::string& database) {
        session = std::make_shared<caller_session>(*host.service, database, "key");
        session->authenticate();
    }
    ~session_fixture() { session->close(); }

    void submit(statement request) {
        session->submit(std::move(request),
                        [this](const session_answer& answer) { answers.push_back(answer); });
    }
    void begin_transaction(bool read_only = false) {
        statement request = make(statement_kind::begin);
        request.read_only = read_only;
        submit(request);
    }
    const session_answer& last() const {
        REQUIRE_FALSE(answers.empty());
        return answers.back();
    }
    const upstream_work& sent() const {
        REQUIRE_FALSE(host.sent.empty());
        return host.sent.front().work;
    }
    /// Completes a read, after which a verified position of the group is available.
    void prime_freshness_window() {
        submit(make(statement_kind::read));
        host.answer(upstream_result::done);
        REQUIRE(last().signature == "signature");
    }
};

} // namespace

TEST_CASE("authentication on a host that has not read a configuration yet") {
    single_host host;
    fleet_directory empty_directory;
    session_service service(host.loop, empty_directory, host.router, host.peers,
                            withdrawal_bounds{});
    const auto session = std::make_shared<caller_session>(service, "own", "key");

    SECTION("fails with a retryable error instead of an unknown database") {
        try {
            session->authenticate();
            FAIL("expected a request_error");
        } catch (const request_error& error) {
            REQUIRE(error.kind() == error_kind::platform_unavailable);
            REQUIRE(error.outcome() == run_outcome::not_run);
            REQUIRE(answer_for(error.kind()).retry_helps);
        }
    }
}

TEST_CASE("authentication of a session") {
    single_host host;
    const auto authenticate = [&](const char* database, const char* key) {
        caller_session(*host.service, database, key).authenticate();
    };
    SECTION("succeeds with a known key and a known database") {
        REQUIRE_NOTHROW(authenticate("strict", "key"));
    }
    SECTION("fails with an unknown key or an unknown database") {
        REQUIRE_THROWS_AS(authenticate("strict", "other"), request_error);
        REQUIRE_THROWS_AS(authenticate("other", "key"), request_error);
    }
}

TEST_CASE("statements that only change the session") {
    session_fixture test("strict");
    statement value = make(statement_kind::set_value);
    value.name = "lang";
    value.argument = "pl";
    test.submit(value);
    statement prepared = make(statement_kind::prepare);
    prepared.shape = {false, "READ q"};
    test.submit(prepared);

    SECTION("are completed without an instance") {
        REQUIRE(test.answers.size() == 2);
        REQUIRE_FALSE(test.last().error);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("are applied with the next statement") {
        test.submit(make(statement_kind::execute));
        REQUIRE(test.sent().values == session_values{{"lang", "pl"}});
        REQUIRE(test.sent().request.shape == statement_shape{false, "READ q"});
    }
    SECTION("can be reverted by deallocating the prepared statement") {
        test.submit(make(statement_kind::deallocate));
        test.submit(make(statement_kind::execute));
        REQUIRE(test.last().error == error_kind::unknown_statement);
    }
}

TEST_CASE("a read on a strict route") {
    session_fixture test("strict");
    test.submit(make(statement_kind::read));
    REQUIRE(test.sent().instance == "p");
    REQUIRE(test.sent().strict);

    SECTION("returns the instance's signature and rows") {
        test.host.answer(upstream_result::done);
        REQUIRE(test.last().signature == "signature");
        REQUIRE(test.last().rows == std::vector<std::string>{"row"});
    }
    SECTION("is retried when its answer was lost") {
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.answers.empty());
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
    }
    SECTION("fails immediately when the primary is overloaded") {
        test.host.answer(upstream_result::overloaded);
        REQUIRE(test.last().error == error_kind::overloaded);
    }
}

TEST_CASE("a read with bounded staleness") {
    session_fixture test("bounded");

    SECTION("goes to the primary with a leadership check while no verified position is known") {
        test.host.reports.clear();
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().instance == "p");
        REQUIRE(test.sent().strict);
    }
    SECTION("goes to a replica with the minimum position that it needs") {
        test.prime_freshness_window();
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().instance == "r");
        REQUIRE(test.sent().min_position == log_position{1, 27});
        REQUIRE_FALSE(test.sent().strict);
        SECTION("and is retried at the primary when the replica is behind") {
            test.host.answer(upstream_result::behind);
            REQUIRE(test.sent().instance == "p");
            REQUIRE(test.sent().min_position == log_position{1, 27});
        }
    }
}

TEST_CASE("a session reads its own writes") {
    session_fixture test("own");
    test.prime_freshness_window();
    test.submit(make(statement_kind::write));
    REQUIRE(test.sent().instance == "p");
    test.host.answer(upstream_result::done, {1, 99});
    test.submit(make(statement_kind::read));
    REQUIRE(test.sent().min_position == log_position{1, 99});
}

// Its reads were refused until the new primary committed something: no instance had the position.
TEST_CASE("a session whose write was answered with a position that a failover has discarded") {
    session_fixture test("own");
    test.prime_freshness_window();
    test.submit(make(statement_kind::write));
    test.host.answer(upstream_result::done, {1, 99});
    primary_tracker& tracker = test.host.directory.primary_tracker_for("g");
    tracker.record_primary("r", 2, primary_evidence::status);

    SECTION("reads from the log with which the new term began") {
        tracker.record_beginning({{"r", 2}, {1, 98}});
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().min_position == log_position{1, 98});
    }
    SECTION("needs its position if the new term began above it") {
        tracker.record_beginning({{"r", 2}, {1, 100}});
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().min_position == log_position{1, 99});
    }
    SECTION("needs its position while it isn't known how the new term began") {
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().min_position == log_position{1, 99});
    }
    SECTION("needs the position of what it writes in the new term") {
        tracker.record_beginning({{"r", 2}, {1, 98}});
        test.submit(make(statement_kind::write));
        test.host.answer(upstream_result::done, {2, 101});
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().min_position == log_position{2, 101});
    }
}

TEST_CASE("a write") {
    session_fixture test("own");
    test.submit(make(statement_kind::write));
    REQUIRE_FALSE(test.sent().strict);

    SECTION("is reported with its id, position and instance when it is acknowledged") {
        std::vector<acknowledged_write> reported;
        test.host.service->observer.commit_acknowledged = [&](const std::string& group,
                                                              const acknowledged_write& write) {
            REQUIRE(group == "g");
            reported.push_back(write);
        };
        SECTION("if the answer doesn't tell which position it has at least") {
            test.host.answer(upstream_result::done, {1, 31});
            REQUIRE(reported.front().position == log_position{1, 31});
        }
        SECTION("with the lowest position that it can have: later entries aren't acknowledged") {
            test.host.sent.front().on_answer(
                {upstream_result::done, {}, "signature", {1, 31}, {}, {}, {1, 29}});
            REQUIRE(reported.front().position == log_position{1, 29});
        }
        REQUIRE(reported.size() == 1);
        REQUIRE(reported.front().id == "id");
        REQUIRE(reported.front().instance == "p");
    }
    SECTION("has an unknown outcome and is not sent again when its answer was lost") {
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.last().error == error_kind::outcome_unknown);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("has an unknown outcome when its timeout expired") {
        test.host.answer(upstream_result::timed_out);
        REQUIRE(test.last().error == error_kind::outcome_unknown);
    }
    SECTION("reports that the statement failed") {
        test.host.answer(upstream_result::failed);
        REQUIRE(test.last().error == error_kind::statement_failed);
    }
    SECTION("is sent to the new primary when the old one rejected it after a failover") {
        test.host.directory.primary_tracker_for("g").record_primary("r", 2,
                                                                    primary_evidence::status);
        test.host.answer(upstream_result::not_primary);
        REQUIRE(test.sent().instance == "r");
    }
}

// Usage reports must have each operation once, however often its statement is sent.
TEST_CASE("an operation is counted when an upstream begins to run it") {
    session_fixture test("own");
    test.prime_freshness_window();
    int open = 0;
    std::vector<std::string> began;
    test.host.service->observer.operation_sent = [&](time_point) { ++open; };
    test.host.service->observer.operation_answered = [&](const std::string& workspace, time_point,
                                                         bool has_begun) {
        --open;
        if (has_begun) {
            began.push_back(workspace);
        }
    };
    const std::vector<std::string> once{"desk"};

    SECTION("a statement, also if it fails") {
        test.submit(make(statement_kind::write));
        REQUIRE(open == 1);
        test.host.answer(
            GENERATE(upstream_result::done, upstream_result::failed, upstream_result::timed_out));
        REQUIRE(began == once);
    }
    SECTION("a statement that its caller no longer waits for") {
        test.submit(make(statement_kind::write));
        test.session->close();
        test.host.answer(upstream_result::done);
        REQUIRE(began == once);
    }
    SECTION("a read that is refused first, or fails and is repeated") {
        const auto first = GENERATE(upstream_result::behind, upstream_result::failed);
        test.submit(make(statement_kind::read));
        test.host.answer(first);
        REQUIRE_FALSE(test.host.sent.empty());
        test.host.answer(upstream_result::done);
        REQUIRE(test.last().error == std::nullopt);
        REQUIRE(began == once);
    }
    SECTION("a transaction with several statements") {
        test.begin_transaction();
        REQUIRE(open == 0);
        test.submit(make(statement_kind::write));
        test.host.answer(upstream_result::done);
        test.submit(make(statement_kind::read));
        test.host.answer(upstream_result::done);
        test.submit(make(statement_kind::commit));
        test.host.answer(upstream_result::done);
        REQUIRE(began == once);
    }
    SECTION("but not one that upstreams refuse or don't answer") {
        test.submit(make(statement_kind::write));
        test.host.answer(GENERATE(upstream_result::overloaded, upstream_result::unanswered));
        REQUIRE(began.empty());
    }
    REQUIRE(open == 0);
}

TEST_CASE("a transaction") {
    session_fixture test("own");
    test.begin_transaction();
    REQUIRE(test.last().state == session_state::in_transaction);
    REQUIRE(test.host.sent.empty());

    SECTION("is opened at the instance with its first statement") {
        test.submit(make(statement_kind::write));
        REQUIRE(test.sent().opens_transaction);
        const auto key = test.sent().transaction;
        test.host.answer(upstream_result::done);
        test.submit(make(statement_kind::write));
        REQUIRE_FALSE(test.sent().opens_transaction);
        REQUIRE(test.sent().transaction == key);
        SECTION("and ends with its commit") {
            test.host.answer(upstream_result::done);
            test.submit(make(statement_kind::commit));
            test.host.answer(upstream_result::done);
            REQUIRE(test.last().state == session_state::idle);
        }
        SECTION("is aborted when a later statement is not answered") {
            test.host.answer(upstream_result::unanswered);
            REQUIRE(test.last().error == error_kind::transaction_aborted);
            REQUIRE(test.last().state == session_state::failed);
            REQUIRE(test.host.ended_transactions.size() == 1);
            SECTION("and then accepts only its end") {
                test.submit(make(statement_kind::read));
                REQUIRE(test.last().error == error_kind::malformed_request);
                test.submit(make(statement_kind::rollback));
                REQUIRE_FALSE(test.last().error);
                REQUIRE(test.last().state == session_state::idle);
            }
        }
        SECTION("has an unknown outcome when its commit is not answered") {
            test.host.answer(upstream_result::done);
            test.submit(make(statement_kind::commit));
            test.host.answer(upstream_result::unanswered);
            REQUIRE(test.last().error == error_kind::outcome_unknown);
            REQUIRE(test.last().state == session_state::idle);
        }
        SECTION("is aborted when its commit did not run") {
            test.host.answer(upstream_result::done);
            test.submit(make(statement_kind::commit));
            test.host.answer(upstream_result::overloaded);
            REQUIRE(test.last().error == error_kind::transaction_aborted);
            REQUIRE(test.host.ended_transactions.size() == 1);
        }
        SECTION("is rolled back when its session is closed") {
            test.session->close();
            REQUIRE(test.host.ended_transactions.size() == 1);
        }
    }
    SECTION("without writes is aborted when its commit is not answered") {
        test.submit(make(statement_kind::read));
        test.host.answer(upstream_result::done);
        test.submit(make(statement_kind::commit));
        test.host.answer(upstream_result::unanswered);
        REQUIRE(test.last().error == error_kind::transaction_aborted);
    }
    SECTION("is retried with a new key when its first statement did not run") {
        test.submit(make(statement_kind::read));
        const auto first = test.sent().transaction;
        test.host.answer(upstream_result::unsent);
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
        REQUIRE(test.sent().opens_transaction);
        REQUIRE(test.sent().transaction != first);
    }
    SECTION("without statements is rolled back locally") {
        test.submit(make(statement_kind::rollback));
        REQUIRE_FALSE(test.last().error);
        REQUIRE(test.host.sent.empty());
        REQUIRE(test.host.ended_transactions.empty());
    }
    SECTION("can't be begun twice") {
        test.begin_transaction();
        REQUIRE(test.last().error == error_kind::malformed_request);
    }
}

TEST_CASE("a new configuration applies from the next operation on") {
    session_fixture test("own");
    SECTION("a withdrawn key is rejected on an open session") {
        test.host.configure(2, "another");
        test.submit(make(statement_kind::read));
        REQUIRE(test.last().error == error_kind::unauthenticated);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("an open transaction continues") {
        test.begin_transaction();
        test.host.configure(2, "another");
        test.submit(make(statement_kind::write));
        REQUIRE(test.sent().workspace == "desk");
    }
}

TEST_CASE("a workspace over its rate limit is rejected before anything is sent") {
    session_fixture test("own");
    int refused = 0;
    for (int i = 0; i < 150; ++i) {
        test.begin_transaction();
        refused += test.last().error == error_kind::rate_limited ? 1 : 0;
        if (!test.last().error) {
            test.submit(make(statement_kind::rollback));
        }
    }
    INFO(refused << " of 150 refused; the burst is 100");
    REQUIRE(refused >= 40);
    REQUIRE(test.host.sent.empty());
}

TEST_CASE("a host that has just started spends the whole burst though others run") {
    session_fixture test("own");
    std::map<std::string, registered_host> hosts;
    for (const char* name : {"host", "h2", "h3", "h4", "h5"}) {
        hosts[name] = {name, "a", {"127.0.0.1", 7591}};
    }
    test.host.directory.set_registered_hosts(hosts);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        test.begin_transaction();
        if (!test.last().error) {
            ++admitted;
            test.submit(make(statement_kind::rollback));
        }
    }
    INFO(admitted << " admitted; a fifth of the burst is 20");
    REQUIRE(admitted <= 25);
}

// Thousands of reads were refused because they waited at a replica that lagged, while the primary
// had the position.
TEST_CASE("a read in a fleet of more than 12 hosts") {
    session_fixture test("bounded");
    fleet_callbacks callbacks = model::idle_callbacks();
    callbacks.known_directory = [] { return directory_versions(); };
    std::vector<std::unique_ptr<fleet>> others;
    const auto add_host = [&](int number) {
        const auto port = static_cast<std::uint16_t>(7620 + number);
        others.push_back(std::make_unique<fleet>(test.host.loop,
                                                 fleet::identity{"other-" + std::to_string(number),
                                                                 "b",
                                                                 {"127.0.0.1", port},
                                                                 {endpoint{"127.0.0.1", 7590}}},
                                                 test.host.directory, callbacks));
        others.back()->start();
    };
    const auto has_hosts = [&](std::size_t count) {
        return test.host.run_until(
            [&] { return test.host.peers.live_host_count(event_loop::now()) == count; });
    };
    const auto read_with_lagging_replica = [&] {
        test.prime_freshness_window();
        test.submit(make(statement_kind::read));
        REQUIRE(test.sent().instance == "r");
        const auto on_answer = test.host.sent.front().on_answer;
        test.host.sent.pop_front();
        on_answer({upstream_result::done,
                   {"row"},
                   "signature",
                   {1, 10},
                   std::chrono::milliseconds(5),
                   load_report{0, 1, std::chrono::milliseconds(5), log_position{1, 10}, {}}});
        test.submit(make(statement_kind::read));
        return test.sent().instance;
    };
    for (int i = 0; i < 11; ++i) {
        add_host(i);
    }
    REQUIRE(has_hosts(12));

    SECTION("goes around a replica that lacks the position") {
        add_host(11);
        REQUIRE(has_hosts(13));
        REQUIRE(read_with_lagging_replica() == "p");
        REQUIRE(test.host.service->placed_reads().at_primaries == 1);
        REQUIRE(test.host.service->placed_reads().with_lagging_left_out == 1);
    }
    SECTION("is placed by waits alone in a smaller one") {
        REQUIRE(read_with_lagging_replica() == "r");
    }
}

// On a heavy day, 4,600 reads were refused after one try, 125 to 195 ms after they had been queued
// at a replica whose log lacked the required position.
TEST_CASE("in a large fleet, a read that a replica refuses as behind") {
    session_fixture test("bounded");
    test.prime_freshness_window();
    test.host.directory.apply_instance_list({{"p", model::listed_instance("p", true)},
                                             {"r", model::listed_instance("r", false)},
                                             {"r2", model::listed_instance("r2", false)}},
                                            event_loop::now());
    test.host.service->share_slots_fairly(true);
    test.submit(make(statement_kind::read));
    const std::string first = test.sent().instance;
    REQUIRE(first != "p");
    const auto wait = [&](milliseconds time) {
        const time_point until = event_loop::now() + time;
        test.host.run_until([&] { return event_loop::now() >= until; });
    };

    SECTION("after half of its objective goes to the other replica, and then to the primary") {
        wait(milliseconds(200));
        test.host.answer(upstream_result::behind);
        REQUIRE(test.sent().instance != first);
        REQUIRE(test.sent().instance != "p");
        test.host.answer(upstream_result::behind);
        REQUIRE(test.sent().instance == "p");
        test.host.answer(upstream_result::done);
        REQUIRE(test.last().signature == "signature");
        REQUIRE(test.host.service->retries().spent_count() == 2);
    }
    SECTION("because it is overloaded goes elsewhere as well, and fails after the last one") {
        for (int i = 0; i < 3; ++i) {
            test.host.answer(upstream_result::overloaded);
        }
        REQUIRE(test.last().error == error_kind::overloaded);
        REQUIRE(test.host.sent.empty());
    }
    SECTION("fails when its objective has passed") {
        wait(milliseconds(410));
        test.host.answer(upstream_result::behind);
        REQUIRE(test.last().error == error_kind::not_fresh);
    }
    SECTION("fails at once when the retry budget is spent") {
        while (test.host.service->retries().spend(event_loop::now())) {
        }
        test.host.answer(upstream_result::behind);
        REQUIRE(test.last().error == error_kind::not_fresh);
    }
}

TEST_CASE("a write that its host's own gateway has queued when the host stops has not run") {
    session_fixture test("own");
    test.submit(make(statement_kind::write));
    SECTION("if the gateway drops it") {
        test.host.drops_queued_work = true;
        test.session->interrupt();
        REQUIRE(test.last().error == error_kind::stopping);
    }
    SECTION("but is in doubt if the gateway has started it") {
        test.session->interrupt();
        REQUIRE(test.last().error == error_kind::outcome_unknown);
    }
}

TEST_CASE("a write that its host refuses while it waits for a primary has not run") {
    session_fixture test("own");
    test.submit(make(statement_kind::write));
    test.host.answer(upstream_result::unsent);
    REQUIRE(test.answers.empty());
    test.session->interrupt();
    REQUIRE(test.last().error == error_kind::stopping);
}
