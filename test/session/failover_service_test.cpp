#include "session/failover_service.hpp"

#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::make_status;

namespace {

// From the users' targets: a change of primary is over by then.
constexpr std::chrono::seconds max_primary_change{19};

// The claim that names the successor "r" of the fixture's group, which had received 1.27.
failover_claim
chosen(failover_claim claim,
       const std::string& choice = "r 1.27 term 1; acknowledged 0.0; old p; of p r") {
    claim.first_position = {1, 27};
    claim.choice = choice;
    return claim;
}

} // namespace

TEST_CASE("failover of a primary that most hosts can't reach") {
    failover_fixture test;

    SECTION("pauses and promotes a replica, and finishes the claim") {
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.finished(); }));
        REQUIRE(test.promoted == std::vector<std::string>{"r"});
        REQUIRE(test.host.commands.front() == replication_command::pause);
        REQUIRE(test.written == std::vector<failover_claim>{{2, "host", "", false, 0},
                                                            chosen({2, "host", "r", false, 2}),
                                                            chosen({2, "host", "r", true, 2})});
        REQUIRE(test.host.directory.primary("g") == known_primary{"r", 2});
    }
    SECTION("stores the successor before it requests its promotion") {
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        REQUIRE(test.written.back() == chosen({2, "host", "r", false, 2}));
    }
    SECTION("promotes nobody if a paused replica starts again and receives before the promotion") {
        test.on_written = [&] {
            if (test.written.back().successor == "r") {
                test.host.reports["r"] = {replication_role::replica, 1, {1, 28}, 0};
            }
        };
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 3; }));
        REQUIRE(test.promoted.empty());
        REQUIRE(test.written[2] == failover_claim{2, "host", "", true, 0});
    }
    SECTION("does not take a successor that it never saw lead for newer than the next primary") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        const std::string other = test.promoted.front() == "r" ? "s" : "r";
        test.host.directory.primary_tracker_for("g").record_primary(other, 3,
                                                                    primary_evidence::status);
        test.host.run_until([] { return false; });
        test.host.run_until([] { return false; });
        REQUIRE(test.host.directory.primary("g") == known_primary{other, 3});
    }
    SECTION("promotes nobody while the primary may acknowledge commits with another instance") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        const auto promoted = [&] { return !test.promoted.empty(); };
        SECTION("that no host can reach") {
            test.host.pools["s"].reachable = false;
            test.service->start();
            REQUIRE_FALSE(test.host.run_until(promoted));
            SECTION("and leaves the replicas alone meanwhile") {
                REQUIRE_FALSE(test.host.was_commanded("r", replication_command::pause));
                REQUIRE(test.written.empty());
            }
            SECTION("until it answers") {
                test.host.pools["s"].reachable = true;
                test.host.reports["s"] = make_status(replication_role::replica, 1);
                REQUIRE(test.host.run_until(promoted));
            }
        }
        SECTION("whose answer to the pause is lost, and which is resumed") {
            test.service->start();
            REQUIRE(test.host.run_until(
                [&] { return test.host.was_commanded("s", replication_command::resume); }));
            REQUIRE(test.promoted.empty());
        }
        SECTION("that became unlisted without leaving") {
            test.service->start();
            test.host.directory.remove_instance("s", event_loop::now());
            REQUIRE_FALSE(test.host.run_until(promoted));
        }
        SECTION("whose pause did not take effect") {
            test.host.reports["s"] = make_status(replication_role::replica, 1);
            test.host.ignored_commands.insert({"s", replication_command::pause});
            test.service->start();
            REQUIRE_FALSE(test.host.run_until(promoted));
        }
    }
    SECTION("pauses a replica again that returns without its pause during the promotion") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        REQUIRE(test.host.run_until([&] { return test.host.reports["s"].paused_by == 2; }));
    }
    SECTION("with two other replicas, once the successor leads") {
        for (const char* id : {"s", "t"}) {
            test.host.directory.upsert_instance(model::listed_instance(id, false));
            test.host.reports[id] = make_status(replication_role::replica, 1);
        }
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        test.host.reports.erase("s");
        test.host.reports["r"] = make_status(replication_role::primary, 2);
        SECTION("resumes one that a late command has paused, although the other does not respond") {
            test.host.reports["t"] = make_status(replication_role::replica, 2, 2);
            REQUIRE(test.host.run_until([&] { return test.finished(); }));
            REQUIRE(test.host.was_commanded("t", replication_command::resume));
        }
        SECTION("resumes none that may still receive from the old primary, which is demoted") {
            REQUIRE(test.host.run_until([&] { return test.finished(); }));
            REQUIRE_FALSE(test.host.was_commanded("t", replication_command::resume));
            REQUIRE(test.host.was_commanded("p", replication_command::demote));
        }
    }
    SECTION("accounts for an instance that registers while the replicas are paused") {
        test.on_refresh = [&] {
            if (test.host.was_commanded("r", replication_command::pause)) {
                test.host.directory.upsert_instance(model::listed_instance("n", false));
                test.host.reports["n"] = {replication_role::replica, 1, {1, 28}, 0};
            }
        };
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        REQUIRE(test.host.was_commanded("n", replication_command::pause));
        REQUIRE(test.promoted.front() == "n");
    }
    SECTION("after abandoned claims, stores the term that the successor leads") {
        test.stored = {true, {0, 5}, {7, "other", "", true, 1}};
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.finished(); }));
        REQUIRE(test.written.front() == failover_claim{8, "host", "", false, 1});
        REQUIRE(test.written.back() == chosen({2, "host", "r", true, 2}));
        REQUIRE(test.host.directory.primary("g") == known_primary{"r", 2});
    }
    SECTION("is retried without waiting for the lease when no replica could be promoted") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        test.host.ignored_commands.insert({"s", replication_command::pause});
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 2; }));
        REQUIRE(test.written[1] == failover_claim{2, "host", "", true});
        REQUIRE(test.written_at[1] - test.written_at[0] < claim_lease);
        test.host.ignored_commands.clear();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("keeps its claim while a resume command may still undo another claim's pause") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.service->start();
        REQUIRE(test.host.run_until(
            [&] { return test.host.was_commanded("s", replication_command::resume); }));
        const time_point resumed = event_loop::now();
        const auto released = [&] { return test.written.size() >= 2; };
        REQUIRE((test.host.run_until(released) || test.host.run_until(released)));
        REQUIRE(test.written[1] == failover_claim{2, "host", "", true});
        REQUIRE(test.written_at[1] - resumed >= claim_timeout - claim_lease);
    }
    SECTION("adopts the successor of a finished claim that this host did not know") {
        test.stored = {true, {0, 5}, {2, "other", "r", true}};
        test.service->start();
        REQUIRE(test.host.run_until([&] {
            return test.host.directory.primary("g") == known_primary{"r", 2};
        }));
        REQUIRE(test.written.empty());
        REQUIRE(test.promoted.empty());
    }
    SECTION("does not promote a replica when one reports that it is the primary already") {
        test.host.reports["r"] = make_status(replication_role::primary, 2);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("does not start while another host's claim is fresh") {
        test.stored = {true, {0, 5}, {2, "other", "", false}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until([&] { return !test.written.empty(); }));
        REQUIRE(test.promoted.empty());
    }
}

TEST_CASE("failover of a primary that leaves and still answers") {
    failover_fixture test;
    upstream_instance leaving = model::list_leaving_primary(test);
    const auto promoted = [&] { return !test.promoted.empty(); };

    SECTION("does not wait for an unreachable replica: the primary is demoted first") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.service->start();
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.host.was_commanded("p", replication_command::demote));
        REQUIRE(test.host.reports["p"].role == replication_role::replica);
    }
    SECTION("goes on after the demotion's answer, which also names it a replica") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.host.defer_reports = true;
        test.service->start();
        REQUIRE(test.host.run_until([&] {
            if (!test.host.deferred_reports.empty()) {
                const auto report = test.host.deferred_reports.front();
                test.host.deferred_reports.pop_front();
                report();
            }
            return promoted();
        }));
        const std::string choice =
            "p 1.27 term 1, r 1.27 term 1; acknowledged 0.0; old p; of p r s";
        REQUIRE(test.written ==
                std::vector<failover_claim>{{2, "host", "", false, 0},
                                            chosen({2, "host", "r", false, 2}, choice)});
    }
    SECTION("goes on in another attempt with the demoted primary and one replica unaccounted for") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.promotion_result_to_give = promotion_result::refused;
        test.service->start();
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.host.reports["p"].role == replication_role::replica);
        test.promoted.clear();
        leaving.says_primary = false;
        test.host.directory.upsert_instance(leaving);
        const time_point deadline = event_loop::now() + max_primary_change;
        while (!promoted() && event_loop::now() < deadline) {
            test.host.run_until(promoted);
        }
        REQUIRE(promoted());
    }
    // A commit that was acknowledged after the last heartbeat.
    SECTION("promotes it again if it has committed since the pause and a replica is unreachable") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.host.reports["p"].received = {1, 28};
        test.service->start();
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.promoted.front() == "p");
    }
    // An instance that alone had received its commits left before all hosts started.
    SECTION("promotes it again if its log is ahead of all replicas and this host is new") {
        test.host.reports["p"].received = {1, 28};
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        test.service->start();
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.promoted.front() == "p");
    }
    SECTION("leaves the primary in place while neither it nor a replica answers") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.pools["s"].reachable = false;
        test.host.reports.erase("p");
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(promoted));
    }
}

TEST_CASE("after an instance has left as planned, in a group that nobody writes to") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.host.directory.upsert_instance(model::listed_instance("s", false));
    test.host.reports["s"] = make_status(replication_role::replica, 1);
    const auto leave = [&](const char* id, bool says_primary) {
        upstream_instance leaver = model::listed_instance(id, says_primary);
        leaver.leaving = true;
        test.host.directory.upsert_instance(leaver);
    };
    const auto run_for = [&](duration time) { model::run_for(test, time); };
    const auto exit = [&](const char* id) {
        test.host.reports.erase(id);
        test.host.directory.remove_instance(id, event_loop::now());
        run_for(group_roster::detection_time + std::chrono::milliseconds(1300));
    };
    const auto cut_off = [&](const char* id) {
        test.promoted.clear();
        test.host.pools[id].reachable = false;
        test.host.reports.erase(id);
    };
    const auto promoted = [&] { return !test.promoted.empty(); };
    const auto reports_to = [&](const char* id) {
        int count = 0;
        for (std::size_t i = 0; i < test.host.commands.size(); ++i) {
            count += test.host.command_targets[i] == id &&
                             test.host.commands[i] == replication_command::report
                         ? 1
                         : 0;
        }
        return count;
    };

    SECTION("a primary that is cut off can be replaced soon") {
        leave("s", false);
        test.service->start();
        run_for(std::chrono::milliseconds(100));
        exit("s");
        REQUIRE(reports_to("p") == 1);
        REQUIRE(reports_to("r") == 1);
        cut_off("p");
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.promoted.front() == "r");
    }
    SECTION("which was the primary, its successor can be replaced soon") {
        leave("p", true);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() == 2; }));
        const std::string successor = test.promoted.front();
        const std::string other = successor == "r" ? "s" : "r";
        test.host.reports[other] = make_status(replication_role::replica, 2);
        exit("p");
        cut_off(successor.c_str());
        REQUIRE(test.host.run_until(promoted));
        REQUIRE(test.promoted.front() == other);
    }
    SECTION("a primary with commits that no other instance has received is not replaced") {
        test.host.reports["r"].received = {1, 26};
        leave("s", false);
        test.service->start();
        run_for(std::chrono::milliseconds(100));
        exit("s");
        cut_off("p");
        REQUIRE_FALSE(test.host.run_until(promoted));
    }
}

// Pauses that came after the promotion left replicas paused for good.
TEST_CASE("replicas that a late command may have paused") {
    failover_fixture test;
    test.host.directory.upsert_instance(model::listed_instance("s", false));
    test.host.reports["s"] = make_status(replication_role::replica, 1);

    SECTION("are not paused by a repeated command if they follow the successor already") {
        test.stored = {true, {0, 5}, {7, "other", "", true, 1}};
        test.promotes_immediately = false;
        test.service->start();
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        const std::string other = test.promoted.front() == "r" ? "s" : "r";
        test.host.reports[other] = make_status(replication_role::replica, 2);
        const time_point end = event_loop::now() + std::chrono::milliseconds(200);
        test.host.run_until([&] { return event_loop::now() >= end; });
        REQUIRE(test.host.reports[other].paused_by == 0);
    }
    SECTION("are resumed before they know the successor, once the old primary has stepped down") {
        test.host.reports["p"] = make_status(replication_role::primary, 1);
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.finished(); }));
        REQUIRE(test.host.was_commanded("p", replication_command::demote));
        const std::string other = test.promoted.front() == "r" ? "s" : "r";
        REQUIRE(test.host.reports[other].paused_by == 0);
    }
    SECTION("are resumed instead of replacing the primary, which can't commit without them") {
        test.host.pools["p"].reachable = true;
        test.host.pools["p"].stalled = true;
        test.host.reports["p"] = make_status(replication_role::primary, 1);
        test.stored = {true, {0, 5}, {3, "other", "p", true, 1}};
        test.host.reports["r"].paused_by = 3;
        test.host.reports["s"].paused_by = 3;
        test.service->start();
        // Until then "other" may have promoted "p" a moment ago.
        run_for(test, claim_timeout);
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 2; }));
        failover_claim released{4, "host", "", true, 1};
        released.promoted_instance = "p";
        REQUIRE(test.written[1] == released);
        REQUIRE(test.host.reports["r"].paused_by == 0);
        REQUIRE(test.host.reports["s"].paused_by == 0);
        REQUIRE_FALSE(test.host.was_commanded("p", replication_command::demote));
        SECTION("but not again while it stays stalled") {
            REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
        }
    }
}

TEST_CASE("a primary that another host has just promoted and that fails at once") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.service->start();
    test.host.run_until([&] { return false; });
    test.host.directory.primary_tracker_for("g").record_primary("r", 2, primary_evidence::status);
    test.host.directory.upsert_instance(model::listed_instance("s", false));
    test.host.reports["p"] = make_status(replication_role::replica, 2);
    test.host.reports["s"] = make_status(replication_role::replica, 2);
    test.host.pools["r"].reachable = false;
    test.stored = {true, {0, 5}, {2, "other", "r", true}};
    test.host.reports.erase("r");
    SECTION("is not replaced while the other host may still act") {
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("is not replaced either after a claim that was abandoned since") {
        test.stored = {true, {0, 6}, {3, "host", "", true}};
        REQUIRE_FALSE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
    SECTION("is replaced at once if this host had promoted it itself") {
        test.stored.claim.holder = "host";
        REQUIRE(test.host.run_until([&] { return !test.promoted.empty(); }));
    }
}

TEST_CASE("a claim whose write took longer than its lease") {
    failover_fixture test;
    test.write_delay = claim_lease + std::chrono::milliseconds(50);
    test.service->start();
    const time_point end = event_loop::now() + test.write_delay + std::chrono::milliseconds(300);
    while (event_loop::now() < end) {
        test.host.run_until([&] { return event_loop::now() >= end; });
    }
    SECTION("sends no command") {
        REQUIRE_FALSE(test.written.empty());
        REQUIRE_FALSE(test.host.was_commanded("r", replication_command::pause));
        REQUIRE(test.promoted.empty());
    }
}

TEST_CASE("the platform's store has been restored, and claims may be missing") {
    failover_fixture test;
    const auto promoted = [&] { return !test.promoted.empty(); };
    test.era = {2, event_loop::now() - claim_timeout};
    test.stored = {true, {2, 0}, {}};

    SECTION("a group is not failed over while a claim of the earlier era may be held") {
        test.era.seen_at = event_loop::now();
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(promoted));
        REQUIRE(test.written.empty());
        SECTION("but afterwards") {
            REQUIRE(test.host.run_until(promoted));
        }
    }
    SECTION("a group is not failed over on a claim of the earlier era that has just been seen") {
        test.stored = {true, {2, 5}, {2, "other", "", true, 1, 1}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(promoted));
    }
    SECTION("a claim shows all promotions only when a successor leads in this era") {
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.finished(); }));
        REQUIRE(test.written ==
                std::vector<failover_claim>{{2, "host", "", false, 0, 2, false},
                                            chosen({2, "host", "r", false, 2, 2, false}),
                                            chosen({2, "host", "r", true, 2, 2, true})});
    }
    SECTION("an abandoned claim shows no more than the one before it") {
        test.host.directory.upsert_instance(model::listed_instance("s", false));
        test.host.reports["s"] = make_status(replication_role::replica, 1);
        test.host.ignored_commands.insert({"s", replication_command::pause});
        test.service->start();
        REQUIRE(test.host.run_until([&] { return test.written.size() >= 2; }));
        REQUIRE(test.written[1] == failover_claim{2, "host", "", true, 0, 2, false});
    }
    SECTION("a claim doesn't cover all promotions if it is") {
        const auto covers_all = [&](const stored_claim& stored) {
            test.stored = stored;
            std::optional<failover_claim> claim;
            test.service->make_leadership_sources().read_claim(
                "g", [&](const std::optional<failover_claim>& read) { claim = read; });
            REQUIRE(claim);
            const bool settled = event_loop::now() - test.era.seen_at > std::chrono::seconds(5);
            REQUIRE(claim->promoted_term ==
                    (settled || claim->complete ? stored.claim.promoted_term : any_term));
            return claim->complete;
        };
        test.era.seen_at =
            GENERATE(event_loop::now(), event_loop::now() - std::chrono::seconds(10));
        SECTION("missing") {
            REQUIRE_FALSE(covers_all({true, {2, 0}, {}}));
        }
        SECTION("of an earlier era") {
            REQUIRE_FALSE(covers_all({true, {2, 5}, {1, "other", "p", true, 1, 1}}));
        }
        SECTION("of this era, but based on one of an earlier era") {
            REQUIRE_FALSE(covers_all({true, {2, 5}, {1, "other", "", true, 1, 2, false}}));
        }
        SECTION("but it does if it is of this era and based on such a one") {
            REQUIRE(covers_all({true, {2, 5}, {1, "other", "p", true, 1, 2, true}}));
        }
    }
}

TEST_CASE("a primary that leads its group after the store has been restored") {
    failover_fixture test;
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    test.era = {2, event_loop::now() - std::chrono::seconds(10)};
    test.stored = {true, {2, 0}, {}};
    const auto renewed = [&] { return !test.written.empty(); };

    SECTION("is named by a new claim once all members have confirmed it") {
        test.service->start();
        REQUIRE(test.host.run_until(renewed));
        REQUIRE(test.written.front() == failover_claim{1, "", "p", true, 1, 2, true});
        REQUIRE_FALSE(test.host.run_until([&] { return test.written.size() > 1; }));
    }
    SECTION("is not named while a promotion of the earlier era may take effect") {
        test.era.seen_at = event_loop::now() - claim_timeout;
        test.service->start();
        const time_point end = event_loop::now() + std::chrono::milliseconds(500);
        test.host.run_until([&] { return event_loop::now() >= end; });
        REQUIRE(test.written.empty());
    }
    SECTION("is not named if a member") {
        SECTION("follows a newer primary") {
            test.host.reports["r"] = make_status(replication_role::replica, 2);
        }
        SECTION("is paused by a newer claim") {
            test.host.reports["r"] = make_status(replication_role::replica, 1, 2);
        }
        SECTION("is out of reach") {
            test.host.pools["r"].reachable = false;
        }
        SECTION("doesn't answer") {
            test.host.reports.erase("r");
        }
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(renewed));
    }
    SECTION("is not named if a claim of the earlier era shows that a newer term may have been "
            "promoted") {
        test.stored = {true, {2, 5}, {2, "other", "gone", true, 2, 1}};
        test.service->start();
        REQUIRE_FALSE((test.host.run_until(renewed) || test.host.run_until(renewed)));
    }
    SECTION("is not named while another host may act on a claim") {
        test.stored = {true, {2, 5}, {2, "other", "r", false, 2, 2, false}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(renewed));
    }
    SECTION("is not named, and its claim is not read, if it has no replicas") {
        test.host.directory.apply_instance_list({{"p", model::listed_instance("p", true)}},
                                                event_loop::now());
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(renewed));
        REQUIRE(test.reads == 0);
    }
    SECTION("is not named again if the claim of this era covers all promotions") {
        test.stored = {true, {2, 5}, {1, "other", "p", true, 1, 2, true}};
        test.service->start();
        REQUIRE_FALSE(test.host.run_until(renewed));
    }
}
