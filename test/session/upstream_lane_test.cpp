#include "session/upstream_lane.hpp"

#include "model/scripted_link.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using bronzeplank::model::scripted_instance;
using bronzeplank::model::scripted_link;
using std::chrono::milliseconds;

namespace {

upstream_instance two_slots() {
    upstream_instance instance;
    instance.id = "i";
    instance.group = "g";
    instance.slots = 2;
    return instance;
}

upstream_work read_for(const std::string& workspace, const std::string& text) {
    upstream_work work;
    work.group = "g";
    work.instance = "i";
    work.workspace = workspace;
    work.what.kind = statement_kind::read;
    work.what.id = "id";
    work.what.text = text;
    work.read_only_work = true;
    work.objective_left = std::chrono::seconds(1);
    work.time_left = std::chrono::seconds(2);
    return work;
}

upstream_work write_for(const std::string& workspace, const std::string& text) {
    upstream_work work = read_for(workspace, text);
    work.what.kind = statement_kind::write;
    work.read_only_work = false;
    return work;
}

upstream_work in_transaction(upstream_work work, std::uint64_t number, bool opens) {
    work.transaction = transaction_key{"host", number};
    work.opens_transaction = opens;
    return work;
}

struct lane_in_test {
    scripted_instance& far = scripted_instance::fresh();
    event_loop loop;
    lane_limits limits;
    std::vector<std::function<void(bool)>> proofs;
    std::unique_ptr<upstream_lane<scripted_link>> lane;
    std::vector<statement_answer> answers;

    explicit lane_in_test(int connections = 4) {
        limits.connections = connections;
        lane = std::make_unique<upstream_lane<scripted_link>>(
            loop, two_slots(), limits,
            [this](const std::string&, const std::string&, std::function<void(bool)> proved) {
                proofs.push_back(std::move(proved));
            });
    }

    void run(upstream_work work) {
        lane->run(std::move(work),
                  [this](const statement_answer& answer) { answers.push_back(answer); });
    }

    upstream_result last() const { return answers.back().result; }
};

} // namespace

TEST_CASE("a lane runs statements") {
    lane_in_test test;

    SECTION("on a connection of their workspace, which later ones use again") {
        test.run(read_for("desk", "read a"));
        test.far.accept(0);
        REQUIRE(test.far.at(0).workspace == "desk");
        test.far.done(0);
        REQUIRE(test.last() == upstream_result::done);
        test.run(read_for("desk", "read b"));
        REQUIRE(test.far.connections.size() == 1);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"read a", "read b"});
    }
    SECTION("never on a connection of another workspace") {
        test.run(read_for("desk", "read a"));
        test.far.accept(0);
        test.far.done(0);
        test.run(read_for("portal", "read b"));
        REQUIRE(test.far.at(1).workspace == "portal");
    }
    SECTION("no more at a time than the slots and one") {
        for (int i = 0; i < 5; ++i) {
            test.run(read_for("w" + std::to_string(i), "read"));
        }
        REQUIRE(test.far.connections.size() == 3);
    }
    SECTION("for a new workspace by closing the least used connection when it may open no more") {
        lane_in_test small(3);
        for (const char* workspace : {"a", "b", "c"}) {
            small.run(read_for(workspace, "read"));
            const std::size_t newest = small.far.connections.size() - 1;
            small.far.accept(newest);
            small.far.done(newest);
        }
        REQUIRE(small.far.at(0).gone);
        REQUIRE_FALSE(small.far.at(1).gone);
        REQUIRE(small.answers.size() == 3);
    }
}

TEST_CASE("connections are scarce") {
    lane_in_test test(4);

    SECTION("so work that has one goes first, for a while") {
        for (const char* workspace : {"a", "b", "c"}) {
            test.run(read_for(workspace, "first"));
            const std::size_t newest = test.far.connections.size() - 1;
            test.far.accept(newest);
        }
        // All three slots and one are taken; "d" needs a connection and "a" does not.
        upstream_work urgent = read_for("d", "new");
        urgent.objective_left = milliseconds(500);
        test.run(urgent);
        test.run(read_for("a", "second"));
        test.far.done(0);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"first", "second"});
        REQUIRE(test.far.connections.size() == 3);
    }
    SECTION("and the one closed for another workspace is of the one that has most") {
        test.run(read_for("a", "1"));
        test.far.accept(0);
        test.run(read_for("b", "2"));
        test.far.accept(1);
        test.run(read_for("b", "3"));
        test.far.accept(2);
        for (std::size_t i = 0; i < 3; ++i) {
            test.far.done(i);
        }
        test.run(read_for("c", "4"));
        REQUIRE_FALSE(test.far.at(0).gone);
        REQUIRE(test.far.at(1).gone);
    }
}

TEST_CASE("a connection has exactly its session's values and shapes") {
    lane_in_test test;
    upstream_work work = read_for("desk", "read a");
    work.values = {{"lang", "pl"}};
    test.run(work);
    test.far.accept(0);
    test.far.done(0);

    SECTION("what it has already is not set again") {
        test.run(work);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"set lang=pl", "read a", "read a"});
    }
    SECTION("another session's values are cleared first") {
        work.values = {{"zone", "b"}};
        test.run(work);
        REQUIRE(test.far.at(0).log ==
                std::vector<std::string>{"set lang=pl", "read a", "clear", "set zone=b", "read a"});
    }
    SECTION("sessions share a prepared shape, until it is cleared") {
        work.what.kind = statement_kind::execute;
        work.what.text = "run";
        work.what.shape = {false, "READ q"};
        test.run(work);
        test.far.done(0);
        test.run(work);
        test.far.done(0);
        work.values = {};
        test.run(work);
        REQUIRE(test.far.at(0).log ==
                std::vector<std::string>{"set lang=pl", "read a", "prepare s1 READ q", "run as s1",
                                         "run as s1", "clear", "prepare s1 READ q", "run as s1"});
    }
}

TEST_CASE("a transaction") {
    lane_in_test test;
    test.run(in_transaction(write_for("desk", "write a"), 7, true));
    test.far.accept(0);

    SECTION("sends nothing before its begin is answered") {
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"begin"});
        test.far.done(0);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"begin", "write a"});
    }
    SECTION("runs nothing after a refused begin") {
        test.far.answer(0, {upstream_result::not_primary, {}, {}, {}});
        REQUIRE(test.last() == upstream_result::not_primary);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"begin", "rollback"});
    }
    SECTION("keeps its connection, which others don't get") {
        test.far.done(0);
        test.far.done(0);
        test.run(read_for("desk", "read b"));
        REQUIRE(test.far.connections.size() == 2);
        test.run(in_transaction(write_for("desk", "write c"), 7, false));
        REQUIRE(test.far.at(0).log.back() == "write c");
        SECTION("and gives it back with its commit") {
            test.far.done(0);
            upstream_work commit = in_transaction(write_for("desk", "commit"), 7, false);
            commit.what.kind = statement_kind::commit;
            test.run(commit);
            test.far.done(0);
            test.run(read_for("desk", "read d"));
            REQUIRE(test.far.at(0).log.back() == "read d");
        }
    }
    SECTION("is rolled back when its caller leaves") {
        test.far.done(0);
        test.far.done(0);
        test.lane->end_transaction({"host", 7});
        REQUIRE(test.far.at(0).log.back() == "rollback");
        SECTION("and answers nothing afterwards") {
            test.run(in_transaction(write_for("desk", "write b"), 7, false));
            REQUIRE(test.last() == upstream_result::unsent);
        }
    }
    SECTION("loses its connection when its caller leaves while a statement runs") {
        test.far.done(0);
        test.lane->end_transaction({"host", 7});
        REQUIRE(test.far.at(0).gone);
    }
    SECTION("of another host with the same number is another one") {
        test.far.done(0);
        test.far.done(0);
        upstream_work other = in_transaction(write_for("desk", "write b"), 7, false);
        other.transaction->host = "other";
        test.run(other);
        REQUIRE(test.last() == upstream_result::unsent);
    }
}

TEST_CASE("an instance that crashes") {
    lane_in_test test;
    test.run(write_for("desk", "write a"));

    SECTION("before the connection is open has run nothing") {
        test.far.at(0).opened(upstream_result::unsent);
        REQUIRE(guarantees_not_run(test.last()));
    }
    SECTION("after the statement was sent may have run it") {
        test.far.accept(0);
        test.far.crash(0);
        REQUIRE(test.last() == upstream_result::unanswered);
        SECTION("is asked at once whether it lives, and gets no work when it does not") {
            REQUIRE(test.far.connections.size() == 2);
            test.far.crash(1);
            REQUIRE_FALSE(test.lane->reachable());
            test.run(read_for("desk", "read"));
            REQUIRE(test.last() == upstream_result::unsent);
        }
    }
}

TEST_CASE("an instance that is full of other hosts' connections") {
    lane_in_test test;
    test.run(read_for("desk", "read a"));
    test.far.accept(0);

    SECTION("lets work wait for a connection that is there") {
        test.run(read_for("desk", "read b"));
        test.far.at(1).opened(upstream_result::no_connection);
        REQUIRE(test.answers.empty());
        test.far.done(0);
        REQUIRE(test.far.at(0).log == std::vector<std::string>{"read a", "read b"});
        test.far.done(0);
        REQUIRE(test.answers.size() == 2);
    }
}

TEST_CASE("a strict read") {
    lane_in_test test;
    upstream_work work = read_for("desk", "read a");
    work.strict = true;
    test.run(work);
    test.far.accept(0);
    REQUIRE(test.proofs.size() == 1);

    SECTION("is delivered with its proof, whichever comes last") {
        test.far.done(0);
        REQUIRE(test.answers.empty());
        test.proofs[0](true);
        REQUIRE(test.last() == upstream_result::done);
    }
    SECTION("is refused without it") {
        test.proofs[0](false);
        test.far.done(0);
        REQUIRE(test.last() == upstream_result::behind);
        REQUIRE(test.answers.back().rows.empty());
    }
    SECTION("fails at once when it fails, proof or not") {
        test.far.answer(0, {upstream_result::failed, {}, {}, {}});
        REQUIRE(test.last() == upstream_result::failed);
        test.proofs[0](true);
        REQUIRE(test.answers.size() == 1);
    }
}

TEST_CASE("an instance that answers its probes and does its work badly") {
    lane_in_test test;
    test.run(read_for("desk", "read a"));
    test.far.accept(0);
    REQUIRE(test.lane->failing() == 0);

    SECTION("shows by statements that fail") {
        test.far.answer(0, {upstream_result::failed, {}, {}, {}});
        REQUIRE(test.lane->failing() > 0.05);
    }
    SECTION("shows by a statement that hangs, long before its time limit, and once") {
        test.lane->tick(event_loop::now() + milliseconds(100), false);
        REQUIRE(test.lane->failing() == 0);
        test.lane->tick(event_loop::now() + milliseconds(400), false);
        const double after_one = test.lane->failing();
        REQUIRE(after_one > 0.05);
        test.lane->tick(event_loop::now() + milliseconds(600), false);
        REQUIRE(test.lane->failing() <= after_one);
    }
    SECTION("does not show by a refusal, which is its right") {
        test.far.answer(0, {upstream_result::behind, {}, {}, {}});
        REQUIRE(test.lane->failing() == 0);
    }
}

TEST_CASE("a primary whose writes do not end") {
    lane_in_test test;
    test.run(write_for("desk", "write a"));
    test.far.accept(0);
    test.lane->tick(event_loop::now() + milliseconds(700), false);
    REQUIRE(test.lane->stalled());

    SECTION("gets no more of them, which are refused at once") {
        test.run(write_for("desk", "write b"));
        REQUIRE(test.last() == upstream_result::overloaded);
    }
    SECTION("goes on with reads") {
        test.run(read_for("portal", "read b"));
        REQUIRE(test.answers.empty());
    }
    SECTION("takes writes again when one has ended") {
        test.far.done(0);
        REQUIRE_FALSE(test.lane->stalled());
        test.run(write_for("desk", "write b"));
        REQUIRE(test.far.at(0).log.back() == "write b");
    }
}

TEST_CASE("around a planned switch to another primary") {
    lane_in_test test;
    test.run(write_for("desk", "write a"));
    test.far.accept(0);
    bool reported = false;
    test.lane->hold_writes([&](const std::optional<replication_status>&) { reported = true; });

    SECTION("new writes wait and reads go on") {
        test.run(write_for("desk", "write b"));
        test.run(read_for("desk", "read c"));
        REQUIRE(test.far.connections.size() == 2);
        test.far.accept(1);
        REQUIRE(test.far.at(1).log == std::vector<std::string>{"read c"});
        SECTION("until another instance leads, when they are given back as not run") {
            test.lane->release_writes();
            REQUIRE(test.last() == upstream_result::not_primary);
        }
    }
    SECTION("the hold is reported when the last write has ended") {
        test.lane->tick(event_loop::now(), false);
        REQUIRE(test.far.connections.size() == 1);
        test.far.done(0);
        test.lane->tick(event_loop::now(), false);
        REQUIRE(test.far.at(1).requests.size() == 1);
        test.far.at(1).requests.front().reported(replication_status{});
        REQUIRE(reported);
    }
}
