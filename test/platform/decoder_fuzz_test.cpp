#include "bronzeplank/configuration.hpp"
#include "bronzeplank/error.hpp"
#include "bronzeplank/internal/json_reader.hpp"
#include "bronzeplank/promotion.hpp"
#include "bronzeplank/questionnaire.hpp"
#include "bronzeplank/session_token.hpp"
#include "bronzeplank/settings.hpp"
#include "bronzeplank/share_ledger.hpp"
#include "model/mutator.hpp"
#include "model/run_size.hpp"
#include "model/valid_settings.hpp"
#include "peer.pb.h"
#include "platform/documents.hpp"
#include "platform/front_settings.hpp"
#include "platform/line_codec.hpp"
#include "session/fleet_messages.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

using namespace bronzeplank;

namespace {

std::string file_text(const std::string& path) {
    std::ifstream file(std::string(BRONZEPLANK_SOURCE_DIRECTORY) + "/" + path);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Every input is decoded, or refused with an error that the program handles.
void fuzz(const std::string& valid, const std::function<void(const std::string&)>& decode) {
    model::mutator mutations(model::first_seed());
    decode(valid);
    for (std::uint64_t i = 0; i < model::walk_count(); ++i) {
        const std::string input = mutations.mutate(valid);
        try {
            decode(input);
        } catch (const input_error&) {
            continue;
        } catch (const request_error&) {
            continue;
        } catch (const std::exception& error) {
            FAIL("not handled: " << error.what() << " for " << input);
        }
    }
    SUCCEED("all inputs were handled");
}

template <class Message>
std::function<void(const std::string&)> parsed(std::function<void(const Message&)> read) {
    return [read](const std::string& bytes) {
        Message message;
        if (message.ParseFromString(bytes)) {
            read(message);
        }
    };
}

} // namespace

TEST_CASE("no input ends the program: documents of the platform and of operators") {
    SECTION("a host's settings") {
        fuzz(model::valid_settings, [](const auto& text) { read_settings(text); });
    }
    SECTION("a questionnaire") {
        fuzz(file_text("examples/cooperative.jsonc"),
             [](const auto& text) { read_questionnaire(text); });
    }
    SECTION("a configuration") {
        const auto answers = read_questionnaire(file_text("examples/cooperative.jsonc"));
        fuzz(write_configuration(answers.generated),
             [](const auto& text) { read_configuration(text); });
    }
    SECTION("a share ledger") {
        share_ledger ledger;
        ledger.entries.push_back({});
        ledger.entries.back().host = "h";
        ledger.entries.back().grants["desk"] = {3, 1.5};
        fuzz(write_share_ledger(ledger), [](const auto& text) { read_share_ledger(text); });
    }
    SECTION("a group record") {
        fuzz(write_group_record({3, "h", 3, "p"}),
             [](const auto& text) { read_group_record(text); });
    }
    SECTION("a claim") {
        fuzz(platform::write_claim({4, "h", "i-1", true}),
             [](const auto& text) { platform::read_claim(text); });
        failover_claim abandoned{4, "h", "", true, 3};
        abandoned.promoted_instance = "i-1";
        fuzz(platform::write_claim(abandoned),
             [](const auto& text) { platform::read_claim(text); });
    }
    SECTION("the members of a group") {
        fuzz(
            platform::write_members(
                {"i-1", {"i-1", "i-2"}, {"i-2"}, 3, {{"i-2", {"10.0.0.2", 80}}}, {}, {{"i-2", 3}}}),
            [](const auto& text) { platform::read_members(text); });
    }
    SECTION("an instance's entry, a host's registration and the users' configuration") {
        fuzz(R"({"Service":"g","Address":"10.0.0.9:80","Zone":"a","Version":"v1","Slots":2,
                 "State":"ready","ColdLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000000})",
             [](const auto& text) {
                 const auto document = internal::parse_json(text);
                 platform::read_instance("i", document, &document);
                 platform::read_host("h", document);
                 platform::read_configuration(document);
             });
    }
}

TEST_CASE("no input ends the program: callers, instances and other hosts") {
    SECTION("a caller's line") {
        fuzz("QUERY 5c0e7a21d94b36f8 EXECUTE s1 1a4 xkqpwnzd",
             [](const auto& line) { platform::read_caller_line(line); });
    }
    SECTION("an instance's line and its status") {
        fuzz("ERROR READONLY i-7f3a91c2",
             [](const auto& line) { platform::read_instance_line(line); });
        fuzz("READY I 3.1207", [](const auto& line) { platform::read_instance_line(line); });
        fuzz("replica 3 3.1209 0 12 2 17",
             [](const auto& row) { platform::read_replication_row(row); });
    }
    SECTION("a session token") {
        const session_secret secret{"a secret"};
        const auto token = session_token().advanced("g", {3, 17});
        fuzz(encode(token, "desk", secret),
             [&](const auto& text) { decode(text, "desk", secret); });
    }
    SECTION("a statement, a command, their answers and a directory from another host") {
        wire::upstream_work work;
        work.set_kind(4);
        work.set_text("WRITE 1a4 x");
        work.set_time_left_us(800'000);
        fuzz(work.SerializeAsString(),
             parsed<wire::upstream_work>([](const auto& message) { read_work("h", message); }));
        wire::upstream_answer answer;
        answer.set_result(1);
        answer.add_rows("row");
        fuzz(answer.SerializeAsString(),
             parsed<wire::upstream_answer>([](const auto& message) { read_answer(message); }));
        wire::replication_request command;
        command.set_order(2);
        command.set_instance("i-1");
        fuzz(command.SerializeAsString(),
             parsed<wire::replication_request>([](const auto& message) { read_command(message); }));
        wire::replication_report report;
        report.set_answered(true);
        report.set_term(4);
        fuzz(report.SerializeAsString(),
             parsed<wire::replication_report>([](const auto& message) { read_report(message); }));
        wire::directory_snapshot directory;
        directory.set_configuration("{}");
        directory.add_instances()->set_port(80);
        directory.mutable_instances(0)->set_slots(2);
        fuzz(
            directory.SerializeAsString(),
            parsed<wire::directory_snapshot>([](const auto& message) { read_directory(message); }));
    }
}
