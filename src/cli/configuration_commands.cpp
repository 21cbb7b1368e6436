/// \file
/// The subcommands `generate`, `check`, `apply`, `domain` and `upstream`.
#include "cli/command.hpp"

#include "bronzeplank/error.hpp"
#include "bronzeplank/questionnaire.hpp"
#include "bronzeplank/settings.hpp"
#include "load/scenario.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace bronzeplank::cli {

namespace {

constexpr int max_edit_attempts = 8;
const char* const default_platform = "127.0.0.1:7100";
const char* const configuration_kind = "configuration";
const char* const configuration_name = "current";

platform_client operator_client(event_loop& loop, const std::string& platform) {
    return {loop, parse_endpoint(platform, "--platform"), "bronzeplank-operator"};
}

int print_result(exit_code code, const std::string& text) {
    fmt::print(code == exit_success ? stdout : stderr, "{}\n", text);
    return code;
}

struct current_configuration {
    platform_status status = platform_status::unanswered;
    std::uint64_t object_version = 0;
    configuration value;
};

task<current_configuration> read_current_configuration(platform_client& platform) {
    const platform_read read = co_await platform.get(configuration_kind, configuration_name);
    current_configuration current;
    current.status = read.status;
    if (read.status == platform_status::ok) {
        current.object_version = read.object.version;
        current.value = read_configuration(read.object.value);
    }
    co_return current;
}

// Writes the next version. If the platform's answer is lost, reads the configuration again to find
// out whether the write took effect.
task<platform_status> write_next_version(platform_client& platform, current_configuration current,
                                         configuration next) {
    next.version = current.value.version + 1;
    const std::string text = write_configuration(next);
    const platform_write write =
        co_await platform.put(configuration_kind, configuration_name, current.object_version, text);
    if (write.status != platform_status::unanswered) {
        co_return write.status;
    }
    const current_configuration reread = co_await read_current_configuration(platform);
    if (reread.status != platform_status::ok) {
        co_return platform_status::unanswered;
    }
    if (reread.value == next) {
        co_return platform_status::ok;
    }
    co_return reread.object_version == current.object_version ? platform_status::unanswered
                                                              : platform_status::conflict;
}

// Whether the key is on the platform afterwards; one that was given or withdrawn before stays so.
task<bool> store_key(platform_client& platform, std::string digest, std::string record) {
    for (int i = 0; i < max_edit_attempts; ++i) {
        const platform_write written = co_await platform.put("key", digest, 0, record);
        if (written.status == platform_status::ok) {
            co_return true;
        }
        const platform_read read = co_await platform.get("key", digest);
        if (read.status == platform_status::ok) {
            co_return true;
        }
    }
    co_return false;
}

task<int> apply_configuration(platform_client& platform, configuration replacement,
                              std::uint64_t based_on, std::vector<answered_key> keys) {
    const current_configuration current = co_await read_current_configuration(platform);
    if (current.status == platform_status::unanswered) {
        co_return print_result(exit_platform_unavailable,
                               "the platform does not answer; nothing changed");
    }
    if (current.value.version != based_on) {
        co_return print_result(
            exit_conflict,
            fmt::format("the current version is {}, but this change is based on version {}; "
                        "nothing changed",
                        current.value.version, based_on));
    }
    switch (co_await write_next_version(platform, current, replacement)) {
    case platform_status::ok:
        break;
    case platform_status::conflict:
        co_return print_result(
            exit_conflict,
            "another operator changed the configuration concurrently; this change was not applied");
    default:
        co_return print_result(
            exit_platform_unavailable,
            "the platform did not answer; it is unknown whether the change was applied. "
            "Run \"bronzeplank apply\" again");
    }
    for (const auto& item : keys) {
        const std::string record =
            fmt::format(R"({{"workspace":"{}","state":"given"}})", item.workspace);
        if (!co_await store_key(platform, item.digest.hex, record)) {
            co_return print_result(
                exit_platform_unavailable,
                fmt::format("version {} is accepted, but the key with the digest {} of workspace "
                            "{} is not stored; run \"bronzeplank key give\" for it",
                            current.value.version + 1, item.digest.hex, item.workspace));
        }
    }
    co_return print_result(exit_success,
                           fmt::format("version {} is accepted", current.value.version + 1));
}

using edit_function = std::function<bool(configuration&)>;

// Applies the edit to the current configuration. After a conflict it is applied again to what
// another operator wrote, so an edit must be repeatable.
task<int> edit_configuration(platform_client& platform, edit_function edit,
                             std::string target_description) {
    for (int i = 0; i < max_edit_attempts; ++i) {
        const current_configuration current = co_await read_current_configuration(platform);
        if (current.status == platform_status::unanswered) {
            co_return print_result(exit_platform_unavailable, "the platform does not answer");
        }
        configuration next = current.value;
        if (!edit(next)) {
            co_return print_result(exit_invalid_input,
                                   fmt::format("the configuration has no {}", target_description));
        }
        const platform_status status = co_await write_next_version(platform, current, next);
        if (status == platform_status::ok) {
            co_return print_result(
                exit_success, fmt::format("version {} is accepted", current.value.version + 1));
        }
    }
    co_return print_result(exit_conflict,
                           "every attempt to write the change conflicted or failed; try again");
}

service_state state_for_action(const std::string& action) {
    if (action == "drain") {
        return service_state::draining;
    }
    if (action == "restore") {
        return service_state::active;
    }
    throw input_error("the first argument", "drain or restore", "\"" + action + "\"");
}

template <class Edit>
int run_state_change(arguments args, const char* description, const char* target_kind, Edit edit) {
    TCLAP::CmdLine command_line(description, ' ', program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform's address", false,
                                          default_platform, "address:port", command_line);
    TCLAP::UnlabeledValueArg<std::string> action("verb", "drain or restore", true, "",
                                                 "drain|restore", command_line);
    TCLAP::UnlabeledValueArg<std::string> name("name", "the name of the failure domain or upstream",
                                               true, "", "name", command_line);
    command_line.parse(args);
    const service_state state = state_for_action(action.getValue());
    event_loop loop;
    platform_client client = operator_client(loop, platform.getValue());
    const std::string target_name = name.getValue();
    const edit_function edit_target = [&](configuration& value) {
        return edit(value, target_name, state);
    };
    return run_until_complete(
        loop, edit_configuration(client, edit_target,
                                 fmt::format("{} \"{}\"", target_kind, target_name)));
}

} // namespace

int generate(arguments args) {
    TCLAP::CmdLine command_line("Print the configuration generated from a questionnaire", ' ',
                                program_version);
    command_line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> file("questionnaire", "answered questionnaire", true, "",
                                               "file", command_line);
    command_line.parse(args);
    const questionnaire answered = read_questionnaire(read_file(file.getValue()));
    fmt::print("{}\n", write_configuration(answered.generated));
    return exit_success;
}

int check(arguments args) {
    TCLAP::CmdLine command_line("Validate a file without applying it", ' ', program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> kind("k", "kind",
                                      "settings, configuration, questionnaire or scenario", false,
                                      "configuration", "kind", command_line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the file", true, "", "file", command_line);
    command_line.parse(args);
    const std::string text = read_file(file.getValue());
    if (kind.getValue() == "settings") {
        read_settings(text);
    } else if (kind.getValue() == "questionnaire") {
        read_questionnaire(text);
    } else if (kind.getValue() == "scenario") {
        load::read_scenario(text);
    } else if (kind.getValue() == "configuration") {
        read_configuration(text);
    } else {
        throw input_error("--kind", "settings, configuration, questionnaire or scenario",
                          "\"" + kind.getValue() + "\"");
    }
    fmt::print("sound\n");
    return exit_success;
}

int apply(arguments args) {
    TCLAP::CmdLine command_line(
        "Apply a configuration unless another operator has changed it meanwhile", ' ',
        program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform's address", false,
                                          default_platform, "address:port", command_line);
    TCLAP::SwitchArg from_questionnaire("q", "questionnaire",
                                        "the file is a questionnaire; its keys are given as well",
                                        command_line);
    TCLAP::ValueArg<long> based_on("b", "based-on",
                                   "the version that this change replaces; defaults to the "
                                   "version in the file, 0 for the first",
                                   false, -1, "version", command_line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the file", true, "", "file", command_line);
    command_line.parse(args);
    const std::string text = read_file(file.getValue());
    questionnaire input;
    if (from_questionnaire.getValue()) {
        input = read_questionnaire(text);
    } else {
        input.generated = read_configuration(text);
    }
    const std::uint64_t base_version = based_on.getValue() < 0
                                           ? input.generated.version
                                           : static_cast<std::uint64_t>(based_on.getValue());
    event_loop loop;
    platform_client client = operator_client(loop, platform.getValue());
    return run_until_complete(
        loop, apply_configuration(client, input.generated, base_version, input.keys));
}

int domain(arguments args) {
    return run_state_change(
        std::move(args), "Take a failure domain out of service or bring it back", "failure domain",
        [](configuration& value, const std::string& name, service_state state) {
            for (auto& item : value.failure_domains) {
                if (item.name == name) {
                    item.state = state;
                    return true;
                }
            }
            return false;
        });
}

int upstream(arguments args) {
    return run_state_change(std::move(args), "Take an upstream out of service or bring it back",
                            "upstream",
                            [](configuration& value, const std::string& name, service_state state) {
                                for (auto& group : value.groups) {
                                    for (auto& item : group.upstreams) {
                                        if (item.name == name) {
                                            item.state = state;
                                            return true;
                                        }
                                    }
                                }
                                return false;
                            });
}

} // namespace bronzeplank::cli
