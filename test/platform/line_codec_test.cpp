#include "platform/line_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using namespace bronzeplank::platform;

TEST_CASE("a caller's line") {
    SECTION("opens a session") {
        const auto line = read_caller_line("START lepu270 u3f1");
        REQUIRE(line.what == caller_line::kind::start);
        REQUIRE(line.database == "lepu270");
        REQUIRE(line.credential == "u3f1");
    }
    SECTION("asks for a statement, whose text stays as it is") {
        const auto line = read_caller_line("QUERY 5c WRITE 1a4 two  blanks ");
        REQUIRE(line.what == caller_line::kind::query);
        REQUIRE(line.asked.kind == statement_kind::write);
        REQUIRE(line.asked.id == "5c");
        REQUIRE(line.asked.text == "WRITE 1a4 two  blanks ");
    }
    SECTION("begins a transaction that reads") {
        const auto line = read_caller_line("QUERY 1 BEGIN READ");
        REQUIRE(line.asked.kind == statement_kind::begin);
        REQUIRE(line.asked.read_only);
    }
    SECTION("prepares a shape") {
        const auto line = read_caller_line("QUERY 1 PREPARE s1 WRITE q2c");
        REQUIRE(line.asked.kind == statement_kind::prepare);
        REQUIRE(line.asked.name == "s1");
        REQUIRE(line.asked.shape == statement_shape{true, "WRITE q2c"});
    }
    SECTION("executes with parameters") {
        const auto line = read_caller_line("QUERY 1 EXECUTE s1 1a4 xk qp");
        REQUIRE(line.asked.kind == statement_kind::execute);
        REQUIRE(line.asked.argument == "1a4 xk qp");
    }
    SECTION("with the fleet's own id is refused, so that nobody smuggles one in") {
        REQUIRE(read_caller_line("QUERY - STATUS").what == caller_line::kind::malformed);
    }
    SECTION("may not order an instance about") {
        for (const char* text : {"PAUSE 9", "RESUME", "DEMOTE 9", "STATUS", "RESET",
                                 "AFTER 1.2 READ 1a4", "BEGIN WRITE", "PREPARE s1 DROP x", ""}) {
            const auto line = read_caller_line("QUERY 1 " + std::string(text));
            INFO(text);
            REQUIRE(line.asked.kind == statement_kind::unknown);
        }
    }
}

TEST_CASE("an instance's line") {
    SECTION("ends an answer with the position of its log") {
        const auto line = read_instance_line("READY I 3.1209");
        REQUIRE(line.what == instance_line::kind::ready);
        REQUIRE(line.outside_transaction);
        REQUIRE(line.position == log_position{3, 1209});
    }
    SECTION("may say no position") {
        REQUIRE(read_instance_line("READY T -").position == log_position{});
    }
    SECTION("promises that nothing ran, by its code") {
        for (const char* code :
             {"BUSY", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "UNKNOWN"}) {
            INFO(code);
            REQUIRE(guarantees_not_run(read_instance_line("ERROR " + std::string(code)).result));
        }
    }
    SECTION("promises nothing with any other code") {
        for (const char* code : {"FAILED", "TIMEOUT", "NEWCODE", ""}) {
            INFO(code);
            REQUIRE_FALSE(
                guarantees_not_run(read_instance_line("ERROR " + std::string(code)).result));
        }
    }
}

TEST_CASE("an instance's report on its replication") {
    const auto status = read_replication_row("replica 3 3.1209 0 12 2 17");
    REQUIRE(status == replication_status{replication_role::replica, 3, {3, 1209}, 0});
    for (const char* row : {"", "leader 3 3.1 0 1 1 1", "replica x 3.1 0", "primary 3 31 0"}) {
        INFO(row);
        REQUIRE_FALSE(read_replication_row(row));
    }
}

TEST_CASE("any bytes are read without harm") {
    rc::prop("as a caller's line", [](const std::string& bytes) {
        const auto line = read_caller_line(bytes);
        RC_ASSERT(line.what != caller_line::kind::query || !line.asked.id.empty());
    });
    rc::prop("as an instance's line", [](const std::string& bytes) { read_instance_line(bytes); });
    rc::prop("as a position, which survives being written",
             [](std::uint32_t term, std::uint64_t number) {
                 const log_position position{term, number};
                 RC_ASSERT(read_position(write_position(position)) == position);
             });
}
