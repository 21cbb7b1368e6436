/// \file
/// Declarations shared by the subcommands.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "edge/platform_client.hpp"
#include "runtime/task.hpp"

#include <string>
#include <vector>

namespace bronzeplank::cli {

/// The exit codes of every subcommand; docs/OPERATORS.md lists them.
enum exit_code : int {
    exit_success = 0,
    exit_failure = 1,
    exit_usage_error = 2,
    exit_invalid_input = 3,
    exit_conflict = 4,
    exit_platform_unavailable = 5,
    exit_guarantee_violated = 6
};

constexpr const char* program_version = "0.1.0";

/// The arguments of a subcommand. The first one is the program's name followed by the subcommand's.
using arguments = std::vector<std::string>;

// One function per subcommand, with the subcommand's name; each returns an exit_code.
int serve(arguments args);
int front(arguments args);
int generate(arguments args);
int check(arguments args);
int apply(arguments args);
int key(arguments args);
int domain(arguments args);
int upstream(arguments args);
int status(arguments args);
int load(arguments args);

/// Reads a whole file. \throws std::runtime_error when it can't be read.
std::string read_file(const std::string& path);

/// Parses `address:port`. \throws input_error that names `input_name` as the place of the fault.
endpoint parse_endpoint(const std::string& text, const std::string& input_name);

/// Runs the event loop until the operation has completed and returns its result.
/// Rethrows what the operation throws.
template <class Value>
Value run_until_complete(event_loop& loop, task<Value> operation) {
    std::optional<Value> result;
    std::exception_ptr error;
    const auto run_and_stop_loop = [&](task<Value> wrapped_operation) -> task<void> {
        try {
            result.emplace(co_await std::move(wrapped_operation));
        } catch (...) {
            error = std::current_exception();
        }
        loop.stop();
    };
    spawn(run_and_stop_loop(std::move(operation)));
    if (!result && !error) {
        loop.run();
    }
    if (error) {
        std::rethrow_exception(error);
    }
    return std::move(*result);
}

} // namespace bronzeplank::cli
