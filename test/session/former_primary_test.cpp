// Commits that are answered by an instance that has lost the lead, or has just begun to lead.
#include "session/caller_session.hpp"
#include "session/checked_answer.hpp"

#include "model/single_host.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::make_status;

namespace {

statement make(statement_kind kind) {
    statement made;
    made.kind = kind;
    made.id = "id";
    made.text = "text";
    return made;
}

/// A host that is the gateway of the primary "p" and has learned that "r" replaced it. The former
/// primary has the lower id.
struct replaced_primary {
    model::single_host host;
    std::shared_ptr<caller_session> session =
        std::make_shared<caller_session>(*host.service, "own", "key");
    std::optional<session_answer> answer;
    std::vector<acknowledged_write> acknowledged;

    replaced_primary() {
        host.service->observer.commit_acknowledged = [this](const std::string&,
                                                            const acknowledged_write& write) {
            acknowledged.push_back(write);
        };
        session->authenticate();
        learn_status("p");
    }
    ~replaced_primary() { session->close(); }

    void learn_status(const std::string& instance) {
        host.router.send_command(instance, replication_command::report, 0,
                                 [](const std::optional<replication_status>&) {});
    }

    void replace() {
        host.reports["p"] = make_status(replication_role::replica, 2);
        host.reports["r"] = make_status(replication_role::primary, 2);
        learn_status("r");
        REQUIRE(primary() == known_primary{"r", 2});
    }

    void submit(statement_kind kind) {
        answer.reset();
        session->submit(make(kind), [this](const session_answer& given) { answer = given; });
    }

    /// Answers the oldest statement as the gateway does.
    void complete(const log_position& position) {
        REQUIRE_FALSE(host.sent.empty());
        const model::single_host::forwarded_work oldest = std::move(host.sent.front());
        host.sent.pop_front();
        const commit_confirmation confirm =
            [this](const std::string& group, const std::string& instance, const log_position& end,
                   duration took, std::function<void(bool)> on_confirmed) {
                host.router.confirm_commit(group, instance, end, took, std::move(on_confirmed));
            };
        const answer_handler deliver =
            commits_changes(oldest.work)
                ? with_commit_confirmation(confirm, oldest.work.group, oldest.work.instance,
                                           oldest.on_answer)
                : oldest.on_answer;
        deliver({upstream_result::done, {}, "signature", position});
        host.run_until([&] { return answer.has_value(); });
    }

    std::optional<known_primary> primary() { return host.directory.primary("g"); }
};

} // namespace

// A former primary that answered a commit with a position of its successor's term was taken for the
// successor, and strict reads ran on it (review/12).
TEST_CASE("a former primary answers a commit with a position of its successor's term") {
    replaced_primary test;

    SECTION("of a transaction that has written nothing") {
        test.submit(statement_kind::begin);
        test.submit(statement_kind::read);
        test.complete({1, 27});
        test.replace();
        test.submit(statement_kind::commit);
        test.complete({2, 31});
        SECTION("and the host goes on with the successor") {
            REQUIRE(test.primary() == known_primary{"r", 2});
        }
        SECTION("and the caller gets its answer") {
            REQUIRE(test.answer->signature == "signature");
        }
        SECTION("and the session's reads don't wait for that position") {
            test.submit(statement_kind::read);
            REQUIRE(test.host.sent.front().work.min_position == log_position{2, 27});
        }
    }
    SECTION("after it has lost the lead: whether the successor has the commit isn't known") {
        test.submit(statement_kind::write);
        test.replace();
        test.complete({2, 31});
        REQUIRE(test.primary() == known_primary{"r", 2});
        REQUIRE(test.answer->error == error_kind::outcome_unknown);
    }
    SECTION("before the host has heard of the successor") {
        test.submit(statement_kind::write);
        test.host.reports["p"] = make_status(replication_role::replica, 2);
        test.complete({2, 31});
        REQUIRE(test.primary() != known_primary{"p", 2});
        REQUIRE(test.answer->error == error_kind::outcome_unknown);
    }
    REQUIRE(test.acknowledged.empty());
}

TEST_CASE("a new primary answers a commit before its host has heard of its term") {
    replaced_primary test;
    test.submit(statement_kind::write);
    test.host.reports["p"] = make_status(replication_role::primary, 2);
    test.host.reports["r"] = {replication_role::replica, 2, {2, 31}, 0};
    test.complete({2, 31});

    SECTION("and is asked for its role: the caller gets its answer") {
        REQUIRE(test.primary() == known_primary{"p", 2});
        REQUIRE(test.answer->signature == "signature");
        REQUIRE(test.acknowledged.size() == 1);
    }
}

// Its log ends in an earlier term then, and the commit was reported as one of unknown outcome.
TEST_CASE("a new primary that hasn't committed yet ends a transaction without writes") {
    replaced_primary test;
    test.host.reports["p"] = make_status(replication_role::primary, 2);
    test.learn_status("p");
    test.submit(statement_kind::begin);
    test.submit(statement_kind::read);
    test.complete({1, 27});
    test.submit(statement_kind::commit);
    test.complete({1, 27});

    SECTION("and the caller gets its answer") {
        REQUIRE(test.answer->signature == "signature");
    }
}
