/// \file
/// The entry point: selects the subcommand and maps exceptions to exit codes.
#include "cli/command.hpp"

#include "bronzeplank/error.hpp"

#include <fmt/format.h>
#include <map>
#include <sodium.h>
#include <tclap/ArgException.h>

namespace {

using namespace bronzeplank::cli;

struct subcommand {
    int (*run)(arguments);
    const char* description;
};

const std::map<std::string, subcommand>& subcommands() {
    static const std::map<std::string, subcommand> table = {
        {"serve", {&serve, "run a host"}},
        {"front", {&front, "run a front host of the platform"}},
        {"generate", {&generate, "generate a configuration from a questionnaire"}},
        {"check", {&check, "validate settings, a configuration, a questionnaire or a scenario"}},
        {"apply", {&apply, "apply a configuration"}},
        {"key", {&key, "give, withdraw, list or digest callers' keys"}},
        {"domain", {&domain, "drain or restore a failure domain"}},
        {"upstream", {&upstream, "drain or restore an upstream"}},
        {"status", {&status, "show the status of a host"}},
        {"load", {&load, "run a load scenario and check the guarantees"}},
    };
    return table;
}

int print_usage(int code) {
    fmt::print(code == exit_success ? stdout : stderr,
               "usage: bronzeplank COMMAND [options]; bronzeplank COMMAND --help\n\n");
    for (const auto& [name, command] : subcommands()) {
        fmt::print(code == exit_success ? stdout : stderr, "  {:10} {}\n", name,
                   command.description);
    }
    return code;
}

} // namespace

int main(int argc, char** argv) {
    if (sodium_init() < 0) {
        return exit_failure;
    }
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        return print_usage(exit_success);
    }
    if (name == "--version") {
        fmt::print("bronzeplank {}\n", program_version);
        return exit_success;
    }
    const auto found = subcommands().find(name);
    if (found == subcommands().end()) {
        return print_usage(exit_usage_error);
    }
    arguments args(argv + 2, argv + argc);
    args.insert(args.begin(), "bronzeplank " + name);
    try {
        return found->second.run(args);
    } catch (const bronzeplank::input_error& error) {
        fmt::print(stderr, "bronzeplank {}: {}\n", name, error.what());
        return exit_invalid_input;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? exit_success : exit_usage_error;
    } catch (const TCLAP::ArgException& error) {
        fmt::print(stderr, "bronzeplank {}: {} {}\n", name, error.error(), error.argId());
        return exit_usage_error;
    } catch (const std::exception& error) {
        fmt::print(stderr, "bronzeplank {}: {}\n", name, error.what());
        return exit_failure;
    }
}
