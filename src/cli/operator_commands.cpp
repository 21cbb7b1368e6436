/// \file
/// The subcommands `key` and `status`.
#include "cli/command.hpp"

#include "bronzeplank/error.hpp"
#include "bronzeplank/internal/json_reader.hpp"
#include "bronzeplank/key_ring.hpp"
#include "edge/http_client.hpp"

#include <array>
#include <fmt/format.h>
#include <sodium.h>
#include <tclap/CmdLine.h>

namespace bronzeplank::cli {

namespace {

constexpr std::size_t key_size_bytes = 24;
constexpr std::chrono::seconds call_timeout{3};
constexpr int max_write_attempts = 5;

std::string generate_key() {
    std::array<unsigned char, key_size_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(key_size_bytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return "bp_" + hex;
}

task<int> register_key(platform_client& platform, std::string workspace, std::string key) {
    const key_digest digest = digest_of(key);
    const std::string record =
        fmt::format(R"({{"workspace":{},"state":"given"}})", internal::quoted(workspace));
    for (int i = 0; i < max_write_attempts; ++i) {
        const platform_write write = co_await platform.put("key", digest.hex, 0, record);
        if (write.status == platform_status::ok) {
            fmt::print("{}\n", key);
            co_return exit_success;
        }
        const platform_read read = co_await platform.get("key", digest.hex);
        if (read.status != platform_status::ok) {
            continue;
        }
        // An earlier attempt may have stored the key although its answer was lost.
        const bool already_stored = read.object.value == record;
        if (already_stored) {
            fmt::print("{}\n", key);
            co_return exit_success;
        }
        fmt::print(stderr, "the key is already given or withdrawn; use another key\n");
        co_return exit_conflict;
    }
    fmt::print(stderr, "the platform does not answer\n");
    co_return exit_platform_unavailable;
}

// Withdraws the key on every given host and on the platform. A host withdraws it immediately, also
// during an outage of the platform, so the command succeeds when a host or the platform accepts.
task<int> withdraw_key(platform_client& platform, event_loop& loop, key_digest digest,
                       std::vector<endpoint> hosts) {
    bool accepted_by_host = false;
    for (const auto& host : hosts) {
        http_client client(loop, host);
        const http_reply reply =
            co_await client.post("/keys/withdraw/" + digest.hex, {}, "", call_timeout);
        accepted_by_host = accepted_by_host || reply.status == 200;
    }
    for (int i = 0; i < max_write_attempts; ++i) {
        const platform_read read = co_await platform.get("key", digest.hex);
        if (read.status == platform_status::unanswered) {
            continue;
        }
        if (read.status == platform_status::not_found) {
            fmt::print(stderr, "the platform has no key with this digest\n");
            co_return accepted_by_host ? exit_success : exit_invalid_input;
        }
        const rapidjson::Document document = internal::parse_json(read.object.value);
        auto fields = internal::json_node(document, "").object();
        const std::string record =
            fmt::format(R"({{"workspace":{},"state":"withdrawn"}})",
                        internal::quoted(fields.required("workspace").name()));
        const platform_write write =
            co_await platform.put("key", digest.hex, read.object.version, record);
        if (write.status == platform_status::ok || read.object.value == record) {
            fmt::print("withdrawn\n");
            co_return exit_success;
        }
    }
    if (accepted_by_host) {
        fmt::print(
            "withdrawn on the hosts but not recorded on the platform; repeat the command when "
            "the platform answers\n");
        co_return exit_success;
    }
    fmt::print(stderr, "the platform does not answer\n");
    co_return exit_platform_unavailable;
}

task<int> list_keys(platform_client& platform) {
    const platform_changes keys = co_await platform.changes(0, "key", duration(0));
    if (keys.status != platform_status::ok) {
        fmt::print(stderr, "the platform does not answer\n");
        co_return exit_platform_unavailable;
    }
    for (const auto& object : keys.objects) {
        const rapidjson::Document document = internal::parse_json(object.value);
        auto fields = internal::json_node(document, "").object();
        fmt::print("{}  {:20} {}\n", object.name, fields.required("workspace").text(),
                   fields.required("state").text());
    }
    co_return exit_success;
}

void print_status(const std::string& body) {
    const rapidjson::Document document = internal::parse_json(body);
    auto root = internal::json_node(document, "").object();
    fmt::print("host {} in {}, configuration {}, platform {}\n", root.required("host").text(),
               root.required("failure_domain").text(),
               root.required("configuration_version").integer(0, INT64_MAX),
               root.required("platform_reachable").boolean() ? "reachable" : "unreachable");
    fmt::print("{:16} {:5} {:20} {:9} {:14} {}\n", "group", "term", "upstream", "role", "position",
               "answered");
    for (const auto& node : root.required("groups").array()) {
        auto group = node.object();
        const std::string primary = group.required("primary").text();
        for (const auto& item : group.required("upstreams").array()) {
            auto row = item.object();
            const std::string name = row.required("name").text();
            fmt::print("{:16} {:5} {:20} {:9} {:14} {} ms ago\n", group.required("name").text(),
                       group.required("term").integer(0, INT64_MAX), name,
                       name == primary ? "primary" : "replica", row.required("position").text(),
                       row.required("age_ms").integer(0, INT64_MAX));
        }
    }
    for (const auto& node : root.required("peers").array()) {
        auto item = node.object();
        fmt::print("peer {} in {}{}\n", item.required("host").text(),
                   item.required("failure_domain").text(),
                   item.required("leaving").boolean() ? ", leaving" : "");
    }
}

} // namespace

int key(arguments args) {
    TCLAP::CmdLine command_line("Give, withdraw, list or digest callers' keys", ' ',
                                program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform's address", false,
                                          "127.0.0.1:7100", "address:port", command_line);
    TCLAP::ValueArg<std::string> workspace(
        "w", "workspace", "the workspace that the key belongs to", false, "", "name", command_line);
    TCLAP::ValueArg<std::string> text("k", "key", "the key; generated when omitted", false, "",
                                      "key", command_line);
    TCLAP::ValueArg<std::string> digest("d", "digest", "the key's digest", false, "", "digest",
                                        command_line);
    TCLAP::MultiArg<std::string> host(
        "H", "host", "the operator address of a host to withdraw the key on as well", false,
        "address:port", command_line);
    TCLAP::UnlabeledValueArg<std::string> action("verb", "the action", true, "",
                                                 "give|withdraw|list|digest", command_line);
    command_line.parse(args);
    event_loop loop;
    platform_client client(loop, parse_endpoint(platform.getValue(), "--platform"),
                           "bronzeplank-operator");
    if (action.getValue() == "give" && !workspace.getValue().empty()) {
        const std::string new_key = text.getValue().empty() ? generate_key() : text.getValue();
        return run_until_complete(loop, register_key(client, workspace.getValue(), new_key));
    }
    if (action.getValue() == "withdraw" && !(text.getValue() + digest.getValue()).empty()) {
        std::vector<endpoint> hosts;
        for (const auto& item : host.getValue()) {
            hosts.push_back(parse_endpoint(item, "--host"));
        }
        const key_digest withdrawn =
            text.getValue().empty() ? key_digest{digest.getValue()} : digest_of(text.getValue());
        return run_until_complete(loop, withdraw_key(client, loop, withdrawn, hosts));
    }
    if (action.getValue() == "list") {
        return run_until_complete(loop, list_keys(client));
    }
    if (action.getValue() == "digest" && !text.getValue().empty()) {
        fmt::print("{}\n", digest_of(text.getValue()).hex);
        return exit_success;
    }
    throw input_error("the command line",
                      "give with --workspace, withdraw with --key or --digest, list, or digest "
                      "with --key",
                      "\"" + action.getValue() + "\"");
}

int status(arguments args) {
    TCLAP::CmdLine command_line("Show the status of a host", ' ', program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> host("H", "host", "the operator address of the host", false,
                                      "127.0.0.1:8100", "address:port", command_line);
    TCLAP::SwitchArg json("j", "json", "print JSON", command_line);
    command_line.parse(args);
    event_loop loop;
    http_client client(loop, parse_endpoint(host.getValue(), "--host"));
    const http_reply reply = run_until_complete(loop, client.get("/status", call_timeout));
    if (reply.status != 200) {
        fmt::print(stderr, "the host did not return its status\n");
        return exit_failure;
    }
    if (json.getValue()) {
        fmt::print("{}\n", reply.body);
    } else {
        print_status(reply.body);
    }
    return exit_success;
}

} // namespace bronzeplank::cli
