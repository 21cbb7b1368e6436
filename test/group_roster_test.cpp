#include "bronzeplank/group_roster.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using listed = std::map<std::string, group_roster::listed_member>;
using members = std::set<std::string>;

const time_point start{std::chrono::hours(1)};

const replication_status primary_at_27{replication_role::primary, 3, {3, 27}, 0};
const replication_status replica_at_26{replication_role::replica, 3, {3, 26}, 0};
const replication_status replica_at_27{replication_role::replica, 3, {3, 27}, 0};

} // namespace

TEST_CASE("an instance of the group") {
    group_roster roster;
    roster.update({{"i", {}}, {"j", {}}}, start);

    SECTION("is a member while it is listed") {
        REQUIRE(roster.members() == members{"i", "j"});
    }
    SECTION("that became unlisted may run on where it can't reach the platform") {
        const time_point later = start + group_roster::unlisted_retention;
        roster.update({{"j", {}}}, later);
        REQUIRE(roster.members() == members{"i", "j"});
        SECTION("but is forgotten after a cut has lasted longer than any is expected to") {
            roster.update({{"j", {}}}, later + milliseconds(1));
            REQUIRE(roster.members() == members{"j"});
        }
    }
}

// New hosts waited ten minutes for the former id of an instance that was back under another one.
TEST_CASE("a stored member that comes back under another id after all hosts have started again") {
    const endpoint address{"10.0.0.1", 80};
    group_roster roster;
    roster.update({{"j", {}}, {"p", {}}}, start);
    roster.merge({"p", {"i", "j", "p"}, {}, 0, {{"i", address}}}, start);
    const time_point back = start + seconds(5);
    const auto come_back = [&](const endpoint& at, time_point now) {
        roster.update({{"i2", {.address = at}}, {"j", {}}, {"p", {}}}, now);
    };
    const auto report = [&](time_point now) {
        roster.record_answer("i2", replica_at_26, false, now);
        roster.record_answer("p", primary_at_27, true, now);
        roster.record_answer("j", replica_at_27, true, now);
    };

    SECTION("is left out by its former id once another replica has all that it had") {
        come_back(address, back);
        REQUIRE(roster.members() == members{"i", "i2", "j", "p"});
        REQUIRE(roster.addresses() ==
                std::map<std::string, endpoint>{{"i", address}, {"i2", address}});
        report(back);
        REQUIRE(roster.leaving() == members{"i"});
        come_back(address, back + milliseconds(50));
        REQUIRE(roster.members() == members{"i2", "j", "p"});
    }
    SECTION("stays a member by its former id at another address: it may run on there") {
        come_back({"10.0.0.2", 80}, back);
        report(back);
        come_back({"10.0.0.2", 80}, back + milliseconds(50));
        REQUIRE(roster.members() == members{"i", "i2", "j", "p"});
    }
}

TEST_CASE("an instance that leaves, of a group with the primary p and the replicas j and k") {
    const duration detection = group_roster::detection_time;
    const time_point leaves = start + seconds(5);
    const time_point gone = leaves + detection;
    const members all{"i", "j", "k", "p"};
    const members others{"j", "k", "p"};
    listed before{{"i", {.leaving = true}}, {"j", {}}, {"k", {.leaving = true}}, {"p", {}}};
    listed after = before;
    after.erase("i");
    group_roster roster;
    roster.update(before, start);
    roster.update(before, leaves);
    time_point now = leaves;
    const auto answer = [&](const char* id, const replication_status& status,
                            bool established = true) {
        roster.record_answer(id, status, established, now);
        roster.update(after, now);
    };

    SECTION("is a member until it is gone: it counts toward acknowledgements") {
        REQUIRE(roster.members() == all);
        REQUIRE_FALSE(roster.awaits_answers());
    }
    SECTION("is one for a moment longer: a cut may not have been noticed yet") {
        now = gone - milliseconds(1);
        roster.update(after, now);
        REQUIRE_FALSE(roster.awaits_answers());
        answer("p", primary_at_27);
        answer("j", replica_at_27);
        REQUIRE(roster.members() == all);
    }
    SECTION("is one after that: only the primary may have what the two have acknowledged") {
        now = gone;
        roster.update(after, now);
        REQUIRE(roster.members() == all);
        REQUIRE(roster.awaits_answers());

        SECTION("also if a host reaches the primary for a moment") {
            answer("p", primary_at_27);
            REQUIRE(roster.members() == all);

            SECTION("and a replica that has not received it all yet") {
                answer("j", replica_at_26);
                REQUIRE(roster.members() == all);
                SECTION("but no longer once it has, though the primary is further by then") {
                    answer("p", {replication_role::primary, 3, {3, 28}, 0});
                    answer("j", replica_at_27);
                    REQUIRE(roster.members() == others);
                    REQUIRE_FALSE(roster.awaits_answers());
                }
            }
            SECTION("and a replica that leaves too") {
                answer("k", replica_at_27);
                REQUIRE(roster.members() == all);
            }
            SECTION("and a replica that the next coordinator may not know") {
                answer("j", replica_at_27, false);
                REQUIRE(roster.members() == all);
            }
            SECTION("and answers again as a replica: it is still the only one") {
                answer("p", {replication_role::replica, 3, {3, 27}, 0});
                REQUIRE(roster.members() == all);
            }
            SECTION("and a replica that is no longer listed") {
                after.erase("j");
                roster.update(after, now);
                answer("j", replica_at_27);
                REQUIRE(roster.members() == all);
            }
            SECTION("and a replica paused for a newer primary, with which it may have acknowledged "
                    "more") {
                answer("j", {replication_role::replica, 3, {3, 27}, 4});
                REQUIRE(roster.members() == all);
            }
            SECTION("and a replica of the newer primary") {
                answer("j", {replication_role::replica, 4, {4, 3}, 0});
                REQUIRE(roster.members() == all);
                SECTION("until the newer primary and the replica answer: its coordinator has "
                        "accounted for all that was acknowledged before") {
                    answer("k", {replication_role::primary, 4, {4, 3}, 0});
                    REQUIRE(roster.members() == all);
                    SECTION("and the primary of before has no say any more") {
                        answer("p", primary_at_27);
                        answer("j", replica_at_27);
                        REQUIRE(roster.members() == all);
                    }
                    answer("j", {replication_role::replica, 4, {4, 3}, 0});
                    REQUIRE(roster.members() == others);
                }
            }
            SECTION("and it is listed again: what it acknowledges next counts anew") {
                now = gone + seconds(1);
                roster.update(before, now);
                now = now + detection;
                roster.update(after, now);
                answer("j", replica_at_27);
                REQUIRE(roster.members() == all);
            }
            SECTION("and it is listed again just as the replica answers") {
                roster.record_answer("j", replica_at_27, true, now);
                roster.update(before, now);
                roster.update(after, now + detection);
                REQUIRE(roster.members() == all);
            }
        }
        SECTION("also if only a replica answers") {
            answer("j", replica_at_27);
            REQUIRE(roster.members() == all);
        }
        SECTION("also if the primary reported its position before") {
            roster.record_answer("p", primary_at_27, true, gone - milliseconds(1));
            answer("j", replica_at_27);
            REQUIRE(roster.members() == all);
        }
        SECTION("also if the replica confirmed the primary before") {
            answer("p", primary_at_27);
            roster.record_answer("j", replica_at_27, true, gone - milliseconds(1));
            roster.update(after, now);
            REQUIRE(roster.members() == all);
        }
    }
    SECTION("is none any more if the primary writes nothing and a replica answers") {
        now = gone;
        roster.update(after, now);
        answer("p", primary_at_27);
        answer("j", replica_at_27);
        REQUIRE(roster.members() == others);
    }
    SECTION("is none any more, with all that has been received, if it was unreachable only while "
            "it exited") {
        before["i"].reachable = false;
        roster.update(before, gone - milliseconds(1));
        now = gone + detection;
        roster.update(after, now);
        answer("p", primary_at_27);
        answer("j", replica_at_27);
        REQUIRE(roster.members() == others);
    }
    SECTION("stays one if it became unlisted without leaving: it may run on") {
        before["i"].leaving = false;
        roster.update(before, leaves);
        now = gone;
        roster.update(after, now);
        REQUIRE_FALSE(roster.awaits_answers());
        answer("p", primary_at_27);
        answer("j", replica_at_27);
        REQUIRE(roster.members() == all);
    }
    SECTION("stays one if it was unreachable before: its entry may have expired") {
        before["i"].reachable = false;
        roster.update(before, gone);
        now = gone + detection * 2;
        roster.update(after, now);
        REQUIRE_FALSE(roster.awaits_answers());
        answer("p", primary_at_27);
        answer("j", replica_at_27);
        REQUIRE(roster.members() == all);
    }
}

// A crashed instance that had started again counted for ten minutes under its old id as well.
TEST_CASE("an instance that crashes, of a group with the primary p and the replicas j and k") {
    const endpoint address{"10.0.0.1", 8300};
    const time_point crashed = start + seconds(5);
    const members all{"i", "j", "k", "p"};
    listed after{{"j", {}}, {"k", {}}, {"p", {}}};
    listed before = after;
    before["i"].address = address;
    group_roster roster;
    roster.update(before, start);
    roster.update(before, crashed);
    time_point now = crashed + seconds(3);
    const auto answer = [&](const char* id, const replication_status& status,
                            bool established = true) {
        roster.record_answer(id, status, established, now);
        roster.update(after, now);
    };
    const auto rest_answers = [&] {
        answer("p", primary_at_27);
        answer("j", replica_at_27);
    };

    SECTION("is a member while no other has its address: it may run on") {
        after["k"].address = {"10.0.0.1", 8301};
        roster.update(after, now);
        REQUIRE_FALSE(roster.awaits_answers());
        answer("k", replica_at_27);
        rest_answers();
        REQUIRE(roster.members() == all);
    }
    SECTION("and of which no address is known, is a member whatever the others answer") {
        before["i"].address = {};
        roster.update(before, now);
        now += seconds(3);
        roster.update(after, now);
        answer("k", replica_at_27);
        rest_answers();
        REQUIRE(roster.members() == all);
    }
    SECTION("and starts again under another id") {
        after["l"].address = address;
        roster.update(after, now);
        members others{"j", "k", "l", "p"};
        members both = others;
        both.insert("i");
        REQUIRE(roster.awaits_answers());

        SECTION("is a member until the new one answers: the list may be wrong") {
            rest_answers();
            REQUIRE(roster.members() == both);
        }
        SECTION("is a member if the new one was asked while the old one was listed") {
            roster.record_answer("l", replica_at_27, true, crashed);
            rest_answers();
            REQUIRE(roster.members() == both);
        }
        SECTION("is a member if it is listed again before the others answer") {
            answer("l", replica_at_26);
            before["l"] = {};
            roster.update(before, now);
            now += seconds(3);
            after["l"] = {};
            roster.update(after, now);
            rest_answers();
            REQUIRE(roster.members() == both);
        }
        SECTION("and the new one answers") {
            answer("l", replica_at_26);

            SECTION("is a member while only the primary is known to have what it had") {
                REQUIRE(roster.members() == both);
                answer("j", replica_at_27);
                answer("p", primary_at_27);
                answer("j", replica_at_26);
                REQUIRE(roster.members() == both);
            }
            SECTION("is a member if the primary reported before") {
                roster.record_answer("p", primary_at_27, true, now - milliseconds(1));
                answer("j", replica_at_27);
                REQUIRE(roster.members() == both);
            }
            SECTION("is no member any more once a replica has received all that it had") {
                rest_answers();
                REQUIRE(roster.members() == others);
                REQUIRE_FALSE(roster.awaits_answers());
            }
        }
        SECTION("as the primary, is no member any more once a replica has received its log") {
            answer("l", primary_at_27);
            answer("j", replica_at_27);
            REQUIRE(roster.members() == others);
        }
    }
}

// All hosts started after an instance had left that alone had received the primary's commits.
TEST_CASE("a roster that began after an instance may have left") {
    group_roster roster;
    const listed all{{"j", {}}, {"p", {}}};
    roster.update(all, start);
    const time_point due = start + group_roster::detection_time;
    const auto answer = [&](const char* id, const replication_status& status, time_point asked_at,
                            bool established = true) {
        roster.update(all, asked_at);
        roster.record_answer(id, status, established, asked_at);
    };

    SECTION("asks once the instance's entry would be gone") {
        REQUIRE_FALSE(roster.is_complete());
        REQUIRE_FALSE(roster.awaits_evidence_of_start());
        roster.update(all, due);
        REQUIRE(roster.awaits_evidence_of_start());
    }
    SECTION("is complete when a replica has received what the primary reported since") {
        answer("p", primary_at_27, due);
        answer("j", replica_at_27, due);
        REQUIRE(roster.is_complete());
        REQUIRE_FALSE(roster.awaits_evidence_of_start());
    }
    SECTION("is not complete") {
        SECTION("when the primary reported while the instance may have been there") {
            answer("p", primary_at_27, due - milliseconds(1));
            answer("j", replica_at_27, due);
        }
        SECTION("while the replica lacks some of it") {
            answer("p", primary_at_27, due);
            answer("j", replica_at_26, due);
        }
        SECTION("by the answer of a replica that is new") {
            answer("p", primary_at_27, due);
            answer("j", replica_at_27, due, false);
        }
        SECTION("by the answer of a replica that is paused for a newer term") {
            answer("p", primary_at_27, due);
            answer("j", {replication_role::replica, 3, {3, 27}, 4}, due);
        }
        REQUIRE_FALSE(roster.is_complete());
    }
}

TEST_CASE("members that an earlier host has stored") {
    group_roster roster;
    roster.update({{"j", {}}, {"p", {}}}, start);
    const group_members stored{"p", {"i", "j", "k", "p"}, {"i"}, 0};
    roster.merge(stored, start);
    const time_point due = start + group_roster::detection_time;
    const auto update = [&](time_point now) { roster.update({{"j", {}}, {"p", {}}}, now); };

    SECTION("are members though this host has never seen them listed") {
        update(start + milliseconds(50));
        REQUIRE(roster.members() == members{"i", "j", "k", "p"});
        REQUIRE(roster.leaving() == members{"i"});
    }
    SECTION("are left out once another replica has all that a leaver had, and not merged again") {
        update(due);
        REQUIRE(roster.awaits_answers());
        roster.record_answer("p", primary_at_27, true, due);
        roster.record_answer("j", replica_at_27, true, due);
        update(due);
        REQUIRE(roster.members() == members{"j", "k", "p"});
        roster.merge(stored, due);
        REQUIRE(roster.members() == members{"j", "k", "p"});
    }
    SECTION("are forgotten if they don't come back for as long as a cut is expected to last") {
        update(start + group_roster::unlisted_retention + milliseconds(1));
        REQUIRE(roster.members() == members{"j", "p"});
    }
}
