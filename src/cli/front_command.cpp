#include "cli/command.hpp"

#include "platform/front_host.hpp"

#include <cstdlib>
#include <tclap/CmdLine.h>

namespace bronzeplank::cli {

int front(arguments words) {
    const char* named = std::getenv("BRONZEPLANK_CONFIG");
    TCLAP::CmdLine line("Run a front host of the platform until SIGTERM", ' ', program_version);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file(
        "s", "settings", "settings file; BRONZEPLANK_CONFIG names it when this is left out", false,
        named == nullptr ? "" : named, "file", line);
    line.parse(words);
    const std::string path = file.getValue();
    platform::run_front_host([path] { return platform::read_front_settings(read_file(path)); });
    return exit_done;
}

} // namespace bronzeplank::cli
