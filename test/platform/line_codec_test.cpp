#include "platform/line_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzeplank;
using namespace bronzeplank::platform;

TEST_CASE("caller lines are decoded") {
    SECTION("START opens a session") {
        const auto line = read_caller_line("START lepu270 u3f1");
        REQUIRE(line.type == caller_line::line_type::start);
        REQUIRE(line.database == "lepu270");
        REQUIRE(line.credential == "u3f1");
    }
    SECTION("QUERY submits a statement, whose text is kept unchanged") {
        const auto line = read_caller_line("QUERY 5c WRITE 1a4 two  blanks ");
        REQUIRE(line.type == caller_line::line_type::query);
        REQUIRE(line.query.kind == statement_kind::write);
        REQUIRE(line.query.id == "5c");
        REQUIRE(line.query.text == "WRITE 1a4 two  blanks ");
    }
    SECTION("BEGIN READ begins a read-only transaction") {
        const auto line = read_caller_line("QUERY 1 BEGIN READ");
        REQUIRE(line.query.kind == statement_kind::begin);
        REQUIRE(line.query.read_only);
    }
    SECTION("PREPARE names a statement shape") {
        const auto line = read_caller_line("QUERY 1 PREPARE s1 WRITE q2c");
        REQUIRE(line.query.kind == statement_kind::prepare);
        REQUIRE(line.query.name == "s1");
        REQUIRE(line.query.shape == statement_shape{true, "WRITE q2c"});
    }
    SECTION("EXECUTE passes its parameters on") {
        const auto line = read_caller_line("QUERY 1 EXECUTE s1 1a4 xk qp");
        REQUIRE(line.query.kind == statement_kind::execute);
        REQUIRE(line.query.argument == "1a4 xk qp");
    }
    SECTION("the id that is reserved for hosts is refused, so that callers can't use it") {
        REQUIRE(read_caller_line("QUERY - STATUS").type == caller_line::line_type::malformed);
    }
    SECTION("commands to instances and invalid statements are unknown statements") {
        for (const char* text : {"PAUSE 9", "RESUME", "DEMOTE 9", "STATUS", "RESET",
                                 "AFTER 1.2 READ 1a4", "BEGIN WRITE", "PREPARE s1 DROP x", ""}) {
            const auto line = read_caller_line("QUERY 1 " + std::string(text));
            INFO(text);
            REQUIRE(line.query.kind == statement_kind::unknown);
        }
    }
}

TEST_CASE("instance lines are decoded") {
    SECTION("READY ends an answer and gives the position of the log") {
        const auto line = read_instance_line("READY I 3.1209");
        REQUIRE(line.type == instance_line::line_type::ready);
        REQUIRE(line.outside_transaction);
        REQUIRE(line.position == log_position{3, 1209});
    }
    SECTION("READY without a position gives the zero position") {
        REQUIRE(read_instance_line("READY T -").position == log_position{});
    }
    SECTION("some error codes guarantee that the statement was not executed") {
        for (const char* code :
             {"BUSY", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "UNKNOWN"}) {
            INFO(code);
            REQUIRE(guarantees_not_run(read_instance_line("ERROR " + std::string(code)).result));
        }
    }
    SECTION("all other error codes give no guarantee") {
        for (const char* code : {"FAILED", "TIMEOUT", "NEWCODE", ""}) {
            INFO(code);
            REQUIRE_FALSE(
                guarantees_not_run(read_instance_line("ERROR " + std::string(code)).result));
        }
    }
}

TEST_CASE("the replication status row is decoded, and invalid rows are refused") {
    const auto status = read_replication_row("replica 3 3.1209 0 12 2 17");
    REQUIRE(status == replication_status{replication_role::replica, 3, {3, 1209}, 0});
    for (const char* row : {"", "leader 3 3.1 0 1 1 1", "replica x 3.1 0", "primary 3 31 0"}) {
        INFO(row);
        REQUIRE_FALSE(read_replication_row(row));
    }
}

TEST_CASE("arbitrary input is decoded without a failure") {
    rc::prop("as a caller line", [](const std::string& bytes) {
        const auto line = read_caller_line(bytes);
        RC_ASSERT(line.type != caller_line::line_type::query || !line.query.id.empty());
    });
    rc::prop("as an instance line", [](const std::string& bytes) { read_instance_line(bytes); });
    rc::prop("an encoded position decodes to the same position",
             [](std::uint32_t term, std::uint64_t offset) {
                 const log_position position{term, offset};
                 RC_ASSERT(read_position(write_position(position)) == position);
             });
}
