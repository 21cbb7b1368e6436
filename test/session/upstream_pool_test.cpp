#include "session/upstream_pool.hpp"

#include "model/scripted_connection.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using bronzeplank::model::scripted_connection;
using bronzeplank::model::scripted_instance;
using std::chrono::milliseconds;

namespace {

upstream_instance instance_with_two_slots() {
    upstream_instance instance;
    instance.id = "i";
    instance.group = "g";
    instance.slots = 2;
    return instance;
}

upstream_work make_read(const std::string& workspace, const std::string& text) {
    upstream_work work;
    work.group = "g";
    work.instance = "i";
    work.workspace = workspace;
    work.request.kind = statement_kind::read;
    work.request.id = "id";
    work.request.text = text;
    work.read_only_work = true;
    work.objective_left = std::chrono::seconds(1);
    work.time_left = std::chrono::seconds(2);
    return work;
}

upstream_work make_write(const std::string& workspace, const std::string& text) {
    upstream_work work = make_read(workspace, text);
    work.request.kind = statement_kind::write;
    work.read_only_work = false;
    return work;
}

upstream_work in_transaction(upstream_work work, std::uint64_t number, bool opens) {
    work.transaction = transaction_key{"host", number};
    work.opens_transaction = opens;
    return work;
}

struct pool_fixture {
    scripted_instance& instance = scripted_instance::reset();
    event_loop loop;
    pool_limits limits;
    std::vector<std::function<void(bool)>> leadership_checks;
    std::unique_ptr<upstream_pool<scripted_connection>> pool;
    std::vector<statement_answer> answers;

    explicit pool_fixture(int connections = 4, bool fair = false) {
        limits.max_connections = connections;
        limits.share_slots_fairly = fair;
        pool = std::make_unique<upstream_pool<scripted_connection>>(
            loop, instance_with_two_slots(), limits,
            [this](const std::string&, const std::string&, std::function<void(bool)> on_checked) {
                leadership_checks.push_back(std::move(on_checked));
            });
    }

    void run(upstream_work work) {
        pool->run(std::move(work),
                  [this](const statement_answer& answer) { answers.push_back(answer); });
    }

    /// Occupies all connections, so that further work is queued.
    void occupy() {
        for (int i = 0; i + 1 < limits.max_connections; ++i) {
            run(make_write("busy" + std::to_string(i), "write"));
            instance.accept(instance.connections.size() - 1);
        }
    }

    upstream_result last() const { return answers.back().result; }
};

} // namespace

TEST_CASE("a pool runs statements") {
    pool_fixture test;

    SECTION("on a connection of their workspace, which later statements reuse") {
        test.run(make_read("desk", "read a"));
        test.instance.accept(0);
        REQUIRE(test.instance.at(0).workspace == "desk");
        test.instance.complete(0);
        REQUIRE(test.last() == upstream_result::done);
        test.run(make_read("desk", "read b"));
        REQUIRE(test.instance.connections.size() == 1);
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"read a", "read b"});
    }
    SECTION("never on a connection of another workspace") {
        test.run(make_read("desk", "read a"));
        test.instance.accept(0);
        test.instance.complete(0);
        test.run(make_read("portal", "read b"));
        REQUIRE(test.instance.at(1).workspace == "portal");
    }
    SECTION("at most one more at a time than the instance has slots") {
        for (int i = 0; i < 5; ++i) {
            test.run(make_read("w" + std::to_string(i), "read"));
        }
        REQUIRE(test.instance.connections.size() == 3);
    }
    SECTION("for a new workspace by closing the least recently used connection at the limit") {
        pool_fixture small(3);
        for (const char* workspace : {"a", "b", "c"}) {
            small.run(make_read(workspace, "read"));
            const std::size_t newest = small.instance.connections.size() - 1;
            small.instance.accept(newest);
            small.instance.complete(newest);
        }
        REQUIRE(small.instance.at(0).is_closed);
        REQUIRE_FALSE(small.instance.at(1).is_closed);
        REQUIRE(small.answers.size() == 3);
    }
}

// A successor had to have the position that a commit was answered with. It may name a later entry,
// which no replica has received: then a group whose primary had crashed got no other one.
TEST_CASE("a commit's answer tells which position the commit has at least") {
    pool_fixture test;
    test.run(make_write("desk", "write"));
    test.instance.accept(0);

    SECTION("any, if the instance has reported none before") {
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 18}});
        REQUIRE(test.answers.back().lowest_commit == log_position{0, 1});
    }
    SECTION("one that is above all positions that it had reported") {
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 18}});
        SECTION("in answers") {}
        SECTION("also if a newer answer names a lower one") {
            test.run(make_read("desk", "read"));
            test.instance.answer(0, {upstream_result::done, {}, "sig", {2, 40}});
        }
        test.run(make_write("desk", "write"));
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 25}});
        REQUIRE(test.answers.back().lowest_commit == log_position{3, 19});
        REQUIRE(test.answers.back().position == log_position{3, 25});
    }
    SECTION("as of the time when it was sent") {
        test.run(make_write("portal", "write"));
        test.instance.accept(1);
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 18}});
        test.instance.answer(1, {upstream_result::done, {}, "sig", {3, 18}});
        REQUIRE(test.answers.back().lowest_commit == log_position{0, 1});
    }
    SECTION("but none, if it is a read") {
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 18}});
        test.run(make_read("desk", "read"));
        test.instance.answer(0, {upstream_result::done, {}, "sig", {3, 18}});
        REQUIRE(test.answers.back().lowest_commit == log_position{});
    }
}

TEST_CASE("a pool reports its load") {
    pool_fixture test;
    for (int i = 0; i < 5; ++i) {
        test.run(make_read("w" + std::to_string(i), "read"));
    }
    REQUIRE(test.pool->load().queued == 2);
    REQUIRE(test.pool->load().running == 3);
    REQUIRE_FALSE(test.pool->load().position);

    SECTION("with the position of the instance's newest answer, refusals included") {
        test.instance.accept(0);
        test.instance.answer(0, {upstream_result::behind, {}, {}, {3, 18}});
        REQUIRE(test.pool->load().position == log_position{3, 18});
        test.instance.accept(1);
        test.instance.answer(1, {upstream_result::failed, {}, {}, {}});
        REQUIRE(test.pool->load().position == log_position{3, 18});
        REQUIRE(test.pool->load().position_age < std::chrono::seconds(1));
    }
}

TEST_CASE("a pool at its connection limit") {
    pool_fixture test(4);

    SECTION("first runs work that can reuse a connection, for a limited time") {
        for (const char* workspace : {"a", "b", "c"}) {
            test.run(make_read(workspace, "first"));
            const std::size_t newest = test.instance.connections.size() - 1;
            test.instance.accept(newest);
        }
        // Three statements run, one more than the instance has slots. "d" needs a new connection,
        // while "a" can reuse one.
        upstream_work urgent = make_read("d", "new");
        urgent.objective_left = milliseconds(500);
        test.run(urgent);
        test.run(make_read("a", "second"));
        test.instance.complete(0);
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"first", "second"});
        REQUIRE(test.instance.connections.size() == 3);
    }
    SECTION("closes a connection of the workspace that has the most") {
        test.run(make_read("a", "1"));
        test.instance.accept(0);
        test.run(make_read("b", "2"));
        test.instance.accept(1);
        test.run(make_read("b", "3"));
        test.instance.accept(2);
        for (std::size_t i = 0; i < 3; ++i) {
            test.instance.complete(i);
        }
        test.run(make_read("c", "4"));
        REQUIRE_FALSE(test.instance.at(0).is_closed);
        REQUIRE(test.instance.at(1).is_closed);
    }
}

TEST_CASE("a connection has exactly the values and prepared shapes of its current session") {
    pool_fixture test;
    upstream_work work = make_read("desk", "read a");
    work.values = {{"lang", "pl"}};
    test.run(work);
    test.instance.accept(0);
    test.instance.complete(0);

    SECTION("values that are already set are not sent again") {
        test.run(work);
        REQUIRE(test.instance.at(0).log ==
                std::vector<std::string>{"set lang=pl", "read a", "read a"});
    }
    SECTION("values of another session are cleared first") {
        work.values = {{"zone", "b"}};
        test.run(work);
        REQUIRE(test.instance.at(0).log ==
                std::vector<std::string>{"set lang=pl", "read a", "clear", "set zone=b", "read a"});
    }
    SECTION("sessions share a prepared shape until the connection is cleared") {
        work.request.kind = statement_kind::execute;
        work.request.text = "run";
        work.request.shape = {false, "READ q"};
        test.run(work);
        test.instance.complete(0);
        test.run(work);
        test.instance.complete(0);
        work.values = {};
        test.run(work);
        REQUIRE(test.instance.at(0).log ==
                std::vector<std::string>{"set lang=pl", "read a", "prepare s1 READ q", "run as s1",
                                         "run as s1", "clear", "prepare s1 READ q", "run as s1"});
    }
}

TEST_CASE("a transaction") {
    pool_fixture test;
    test.run(in_transaction(make_write("desk", "write a"), 7, true));
    test.instance.accept(0);

    SECTION("sends no statement before BEGIN is answered") {
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"begin"});
        test.instance.complete(0);
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"begin", "write a"});
    }
    SECTION("runs no statement after a refused BEGIN") {
        test.instance.answer(0, {upstream_result::not_primary, {}, {}, {}});
        REQUIRE(test.last() == upstream_result::not_primary);
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"begin", "rollback"});
    }
    SECTION("has exclusive use of its connection") {
        test.instance.complete(0);
        test.instance.complete(0);
        test.run(make_read("desk", "read b"));
        REQUIRE(test.instance.connections.size() == 2);
        test.run(in_transaction(make_write("desk", "write c"), 7, false));
        REQUIRE(test.instance.at(0).log.back() == "write c");
        SECTION("until it commits") {
            test.instance.complete(0);
            upstream_work commit = in_transaction(make_write("desk", "commit"), 7, false);
            commit.request.kind = statement_kind::commit;
            test.run(commit);
            test.instance.complete(0);
            test.run(make_read("desk", "read d"));
            REQUIRE(test.instance.at(0).log.back() == "read d");
        }
    }
    SECTION("is rolled back when its caller disconnects") {
        test.instance.complete(0);
        test.instance.complete(0);
        test.pool->end_transaction({"host", 7});
        REQUIRE(test.instance.at(0).log.back() == "rollback");
        SECTION("and accepts no statement afterwards") {
            test.run(in_transaction(make_write("desk", "write b"), 7, false));
            REQUIRE(test.last() == upstream_result::unsent);
        }
    }
    SECTION("closes its connection when its caller disconnects while a statement runs") {
        test.instance.complete(0);
        test.pool->end_transaction({"host", 7});
        REQUIRE(test.instance.at(0).is_closed);
    }
    SECTION("is distinct from one of another host with the same number") {
        test.instance.complete(0);
        test.instance.complete(0);
        upstream_work other = in_transaction(make_write("desk", "write b"), 7, false);
        other.transaction->host = "other";
        test.run(other);
        REQUIRE(test.last() == upstream_result::unsent);
    }
}

TEST_CASE("an instance that crashes") {
    pool_fixture test;
    test.run(make_write("desk", "write a"));

    SECTION("before the connection is open has not run the statement") {
        test.instance.at(0).on_opened(upstream_result::unsent);
        REQUIRE(guarantees_not_run(test.last()));
    }
    SECTION("after the statement was sent may have run it") {
        test.instance.accept(0);
        test.instance.crash(0);
        REQUIRE(test.last() == upstream_result::unanswered);
        SECTION("is probed immediately, and gets no work if it is unreachable") {
            REQUIRE(test.instance.connections.size() == 2);
            test.instance.crash(1);
            REQUIRE_FALSE(test.pool->reachable());
            test.run(make_read("desk", "read"));
            REQUIRE(test.last() == upstream_result::unsent);
        }
    }
}

TEST_CASE("an instance whose connections are used up by other hosts") {
    pool_fixture test;
    test.run(make_read("desk", "read a"));
    test.instance.accept(0);

    SECTION("leaves work in the queue until an open connection is idle") {
        test.run(make_read("desk", "read b"));
        test.instance.at(1).on_opened(upstream_result::no_connection);
        REQUIRE(test.answers.empty());
        test.instance.complete(0);
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"read a", "read b"});
        test.instance.complete(0);
        REQUIRE(test.answers.size() == 2);
    }
}

TEST_CASE("a strict read") {
    pool_fixture test;
    upstream_work work = make_read("desk", "read a");
    work.strict = true;
    test.run(work);
    test.instance.accept(0);
    REQUIRE(test.leadership_checks.size() == 1);

    SECTION("is delivered when both the answer and the leadership check have succeeded") {
        test.instance.complete(0);
        REQUIRE(test.answers.empty());
        test.leadership_checks[0](true);
        REQUIRE(test.last() == upstream_result::done);
    }
    SECTION("is refused if the leadership check fails") {
        test.leadership_checks[0](false);
        test.instance.complete(0);
        REQUIRE(test.last() == upstream_result::behind);
        REQUIRE(test.answers.back().rows.empty());
    }
    SECTION("that fails is reported without waiting for the leadership check") {
        test.instance.answer(0, {upstream_result::failed, {}, {}, {}});
        REQUIRE(test.last() == upstream_result::failed);
        test.leadership_checks[0](true);
        REQUIRE(test.answers.size() == 1);
    }
}

TEST_CASE("an instance that answers probes but fails its statements") {
    pool_fixture test;
    test.run(make_read("desk", "read a"));
    test.instance.accept(0);
    REQUIRE(test.pool->failure_rate() == 0);

    SECTION("is detected by statements that fail") {
        test.instance.answer(0, {upstream_result::failed, {}, {}, {}});
        REQUIRE(test.pool->failure_rate() > 0.05);
    }
    SECTION("is detected by a hanging statement before its timeout, which counts once") {
        test.pool->tick(event_loop::now() + milliseconds(100), false);
        REQUIRE(test.pool->failure_rate() == 0);
        test.pool->tick(event_loop::now() + milliseconds(400), false);
        const double after_one = test.pool->failure_rate();
        REQUIRE(after_one > 0.05);
        test.pool->tick(event_loop::now() + milliseconds(600), false);
        REQUIRE(test.pool->failure_rate() <= after_one);
    }
    SECTION("is not inferred from refused statements") {
        test.instance.answer(0, {upstream_result::behind, {}, {}, {}});
        REQUIRE(test.pool->failure_rate() == 0);
    }
}

TEST_CASE("a primary whose writes are stalled") {
    pool_fixture test;
    test.run(make_write("desk", "write a"));
    test.instance.accept(0);
    test.pool->tick(event_loop::now() + milliseconds(700), false);
    REQUIRE(test.pool->stalled());

    SECTION("gets no more writes; they are refused immediately") {
        test.run(make_write("desk", "write b"));
        REQUIRE(test.last() == upstream_result::overloaded);
    }
    SECTION("still gets reads") {
        test.run(make_read("portal", "read b"));
        REQUIRE(test.answers.empty());
    }
    SECTION("gets writes again after one has completed") {
        test.instance.complete(0);
        REQUIRE_FALSE(test.pool->stalled());
        test.run(make_write("desk", "write b"));
        REQUIRE(test.instance.at(0).log.back() == "write b");
    }
}

TEST_CASE("during a planned switch to another primary") {
    pool_fixture test;
    test.run(make_write("desk", "write a"));
    test.instance.accept(0);
    bool hold_reported = false;
    test.pool->hold_writes([&](const std::optional<replication_status>&) { hold_reported = true; });

    SECTION("new writes wait while reads continue") {
        test.run(make_write("desk", "write b"));
        test.run(make_read("desk", "read c"));
        REQUIRE(test.instance.connections.size() == 2);
        test.instance.accept(1);
        REQUIRE(test.instance.at(1).log == std::vector<std::string>{"read c"});
        SECTION("until another instance becomes the primary, when they are rejected as not run") {
            test.pool->refuse_queued_writes();
            REQUIRE(test.last() == upstream_result::not_primary);
        }
    }
    SECTION("the hold is reported after the last write has completed") {
        test.pool->tick(event_loop::now(), false);
        REQUIRE(test.instance.connections.size() == 1);
        test.instance.complete(0);
        test.pool->tick(event_loop::now(), false);
        REQUIRE(test.instance.at(1).requests.size() == 1);
        test.instance.at(1).requests.front().on_status(replication_status{});
        REQUIRE(hold_reported);
    }
}

// It stayed on the open connection, and was delivered after the commands of a later claim.
TEST_CASE("a replication command without an answer") {
    pool_fixture test;
    const auto command = GENERATE(replication_command::pause, replication_command::resume,
                                  replication_command::demote);
    int failed = 0;
    const auto count_failures = [&](const std::optional<replication_status>& status) {
        failed += status ? 0 : 1;
    };
    test.pool->send_command(command, 3, count_failures);
    const time_point sent_at = event_loop::now();
    const time_point given_up_at = sent_at + command_send_limit;

    SECTION("is given up with its connection") {
        test.pool->tick(sent_at + command_send_limit / 2, false);
        REQUIRE_FALSE(test.instance.at(0).is_closed);
        test.pool->tick(given_up_at, false);
        REQUIRE(test.instance.at(0).is_closed);
        REQUIRE(failed == 1);
        test.pool->send_command(command, 3, count_failures);
        REQUIRE(test.instance.connections.size() == 2);
        REQUIRE_FALSE(test.instance.at(1).is_closed);
    }
    SECTION("takes those with it that were sent later") {
        test.pool->send_command(command, 4, count_failures);
        test.pool->tick(given_up_at, false);
        REQUIRE(failed == 2);
        test.pool->tick(given_up_at + milliseconds(25), false);
        REQUIRE(test.instance.connections.size() == 1);
    }
    SECTION("is not confused with an earlier one that was answered") {
        test.instance.at(0).requests.front().on_status(replication_status{});
        test.instance.at(0).requests.clear();
        test.pool->tick(given_up_at, false);
        REQUIRE_FALSE(test.instance.at(0).is_closed);
        REQUIRE(failed == 0);
    }
    SECTION("leaves a probe that waits behind it the rest of its time") {
        pool_limits limits;
        limits.probe_timeout = milliseconds(900);
        test.pool->update(instance_with_two_slots(), limits);
        test.pool->tick(sent_at, true);
        REQUIRE(test.instance.at(0).requests.size() == 2);
        test.pool->tick(given_up_at, true);
        REQUIRE(test.instance.at(0).is_closed);
        REQUIRE(test.instance.at(1).requests.size() == 1);
        REQUIRE(test.pool->reachable());
        test.pool->tick(event_loop::now() + limits.probe_timeout, true);
        REQUIRE_FALSE(test.pool->reachable());
        REQUIRE(failed == 1);
    }
}

TEST_CASE("a status request without an answer leaves the connection open for its answer") {
    pool_fixture test;
    test.pool->send_command(replication_command::report, 0,
                            [](const std::optional<replication_status>&) {});
    test.pool->tick(event_loop::now() + command_send_limit * 2, false);
    REQUIRE_FALSE(test.instance.at(0).is_closed);
}

TEST_CASE("a queued statement that its sender drops is refused as not run") {
    pool_fixture test;
    test.occupy();
    upstream_work work = make_write("desk", "write a");
    work.key = {"host", 5};

    SECTION("in the queue") {
        test.run(work);
        test.pool->drop({"other", 5});
        REQUIRE(test.answers.empty());
        test.pool->drop({"host", 5});
        REQUIRE(test.last() == upstream_result::unsent);
        test.instance.complete(0);
        REQUIRE(test.answers.size() == 2);
    }
    SECTION("when its transaction is ended before it has begun") {
        test.run(in_transaction(work, 7, true));
        test.pool->end_transaction({"host", 7});
        REQUIRE(test.last() == upstream_result::unsent);
    }
    SECTION("but not once it runs") {
        test.instance.complete(0);
        test.run(work);
        test.instance.accept(test.instance.connections.size() - 1);
        test.pool->drop({"host", 5});
        REQUIRE(test.answers.size() == 1);
    }
}

TEST_CASE("a statement whose connection is being opened") {
    pool_fixture test;
    upstream_work work = make_write("desk", "write a");
    work.key = {"host", 5};

    SECTION("is refused when it is dropped, and leaves its connection to others") {
        test.run(work);
        test.pool->drop({"host", 5});
        REQUIRE(test.last() == upstream_result::unsent);
        test.instance.accept(0);
        REQUIRE(test.instance.at(0).log.empty());
        test.run(make_read("desk", "read b"));
        REQUIRE(test.instance.at(0).log == std::vector<std::string>{"read b"});
    }
    SECTION("is not sent when it has expired meanwhile") {
        work.objective_left = milliseconds(1);
        work.time_left = milliseconds(2);
        test.run(work);
        const timer stop = test.loop.after(milliseconds(5), [&] { test.loop.stop(); });
        test.loop.run();
        test.instance.accept(0);
        REQUIRE(test.last() == upstream_result::unsent);
        REQUIRE(test.instance.at(0).log.empty());
    }
}

// 1,134 operations that had reached no upstream were answered as in doubt or timed out.
TEST_CASE("a queued statement is refused before its calling host stops waiting") {
    pool_fixture test;
    test.occupy();
    upstream_work work = make_write("desk", "write a");
    work.time_left = milliseconds(800);
    work.refusal_margin = milliseconds(100);
    const time_point queued_at = event_loop::now();
    test.run(work);
    test.pool->tick(queued_at + milliseconds(690), false);
    REQUIRE(test.answers.empty());
    test.pool->tick(queued_at + milliseconds(710), false);
    REQUIRE(test.last() == upstream_result::overloaded);
}

TEST_CASE("a pool that shares its slots fairly") {
    pool_fixture test(4, true);
    test.occupy();
    upstream_work urgent = make_read("desk", "urgent");
    urgent.objective_left = milliseconds(100);
    test.run(urgent);

    SECTION("evicts work that can't meet its objective while other work waits") {
        test.run(make_read("portal", "later"));
        const auto after = event_loop::now() + milliseconds(100);
        const timer stop = test.loop.after(milliseconds(110), [&] { test.loop.stop(); });
        test.loop.run();
        test.pool->tick(after, false);
        REQUIRE(test.answers.size() == 1);
        REQUIRE(test.last() == upstream_result::overloaded);
        REQUIRE(test.pool->evicted_count() == 1);
        REQUIRE(test.pool->queued_count() == 1);
    }
    SECTION("still runs such work when no other waits") {
        const timer stop = test.loop.after(milliseconds(110), [&] { test.loop.stop(); });
        test.loop.run();
        test.instance.complete(0);
        test.instance.accept(test.instance.connections.size() - 1);
        test.instance.complete(test.instance.connections.size() - 1);
        REQUIRE(test.answers.back().rows.size() == 1);
    }
    SECTION("refuses at once what can't be served in time") {
        for (int i = 0; i < 20; ++i) {
            upstream_work work = make_read("desk", "read");
            work.objective_left = milliseconds(100);
            test.run(work);
        }
        REQUIRE(test.pool->refused_count() > 5);
        REQUIRE(test.pool->queued_count() > 5);
        SECTION("but not the work of a workspace that has sent less") {
            const auto refused = test.pool->refused_count();
            upstream_work work = make_read("portal", "read");
            work.objective_left = milliseconds(100);
            test.run(work);
            REQUIRE(test.pool->refused_count() == refused);
        }
    }
}

TEST_CASE("a pool of a large fleet whose connections are all refused") {
    pool_fixture test(4, true);
    test.run(make_read("desk", "read a"));
    test.instance.at(0).on_opened(upstream_result::no_connection);
    REQUIRE(test.last() == upstream_result::no_connection);

    SECTION("tries no new one for a while, and says so at once") {
        test.run(make_read("desk", "read b"));
        REQUIRE(test.answers.size() == 2);
        REQUIRE(test.last() == upstream_result::no_connection);
        REQUIRE(test.instance.connections.size() == 1);
    }
}
