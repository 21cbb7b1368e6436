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
    const char* brief;
};

const std::map<std::string, subcommand>& subcommands() {
    static const std::map<std::string, subcommand> table = {
        {"serve", {&serve, "run a host"}},
        {"front", {&front, "run a front host of the platform"}},
        {"generate", {&generate, "turn an answered questionnaire into a configuration"}},
        {"check", {&check, "check settings, a configuration, a questionnaire or a scenario"}},
        {"apply", {&apply, "put a configuration in force"}},
        {"key", {&key, "give, withdraw, list or digest callers' keys"}},
        {"domain", {&domain, "drain or restore a failure domain"}},
        {"upstream", {&upstream, "drain or restore an upstream"}},
        {"status", {&status, "show what a host sees"}},
        {"load", {&load, "drive a deployment and check its promises"}},
    };
    return table;
}

int usage(int code) {
    fmt::print(code == exit_done ? stdout : stderr,
               "usage: bronzeplank COMMAND [options]; bronzeplank COMMAND --help\n\n");
    for (const auto& [name, command] : subcommands()) {
        fmt::print(code == exit_done ? stdout : stderr, "  {:10} {}\n", name, command.brief);
    }
    return code;
}

} // namespace

int main(int argc, char** argv) {
    if (sodium_init() < 0) {
        return exit_failed;
    }
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        return usage(exit_done);
    }
    if (name == "--version") {
        fmt::print("bronzeplank {}\n", program_version);
        return exit_done;
    }
    const auto found = subcommands().find(name);
    if (found == subcommands().end()) {
        return usage(exit_usage);
    }
    arguments words(argv + 2, argv + argc);
    words.insert(words.begin(), "bronzeplank " + name);
    try {
        return found->second.run(words);
    } catch (const bronzeplank::input_error& error) {
        fmt::print(stderr, "bronzeplank {}: {}\n", name, error.what());
        return exit_bad_input;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? exit_done : exit_usage;
    } catch (const TCLAP::ArgException& error) {
        fmt::print(stderr, "bronzeplank {}: {} {}\n", name, error.error(), error.argId());
        return exit_usage;
    } catch (const std::exception& error) {
        fmt::print(stderr, "bronzeplank {}: {}\n", name, error.what());
        return exit_failed;
    }
}
