/// \file
/// What the subcommands share.
#pragma once

#include "bronzeplank/configuration.hpp"
#include "edge/platform_client.hpp"
#include "runtime/task.hpp"

#include <string>
#include <vector>

namespace bronzeplank::cli {

/// The exit codes of every subcommand; docs/OPERATORS.md lists them.
enum exit_code : int {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_bad_input = 3,
    exit_conflict = 4,
    exit_platform_unavailable = 5,
    exit_promise_broken = 6
};

constexpr const char* program_version = "0.1.0";

/// The words of a subcommand, the program's and its own name first.
using arguments = std::vector<std::string>;

int serve(arguments words);
int front(arguments words);
int generate(arguments words);
int check(arguments words);
int apply(arguments words);
int key(arguments words);
int domain(arguments words);
int upstream(arguments words);
int status(arguments words);
int load(arguments words);

/// Reads a whole file. \throws std::runtime_error when it can't be read.
std::string read_file(const std::string& path);

/// Parses `address:port`. \throws input_error.
endpoint parse_endpoint(const std::string& text, const std::string& what);

/// Runs the loop until the work has ended and yields its result.
template <class Value>
Value run_to_end(event_loop& loop, task<Value> work) {
    std::optional<Value> result;
    std::exception_ptr error;
    const auto wrapped = [&](task<Value> inner) -> task<void> {
        try {
            result.emplace(co_await std::move(inner));
        } catch (...) {
            error = std::current_exception();
        }
        loop.stop();
    };
    spawn(wrapped(std::move(work)));
    if (!result && !error) {
        loop.run();
    }
    if (error) {
        std::rethrow_exception(error);
    }
    return std::move(*result);
}

} // namespace bronzeplank::cli
