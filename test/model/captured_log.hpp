/// \file
/// The lines that are logged while a function runs.
#pragma once

#include <cstdio>
#include <string>
#include <sys/mman.h>
#include <unistd.h>

namespace bronzeplank::model {

/// Usage: `const std::string lines = lines_logged_by([&] { ... });` The function must not assert
/// anything: standard output is redirected while it runs.
template <class Function>
std::string lines_logged_by(Function run) {
    std::fflush(stdout);
    const int output = dup(STDOUT_FILENO);
    const int file = memfd_create("log", 0);
    dup2(file, STDOUT_FILENO);
    run();
    dup2(output, STDOUT_FILENO);
    std::string lines(static_cast<std::size_t>(lseek(file, 0, SEEK_END)), '\0');
    const auto size = pread(file, lines.data(), lines.size(), 0);
    lines.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    close(file);
    close(output);
    return lines;
}

} // namespace bronzeplank::model
