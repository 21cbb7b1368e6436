/// \file
/// The subcommand `front`.
#include "cli/command.hpp"

#include "platform/front_host.hpp"

#include <cstdlib>
#include <tclap/CmdLine.h>

namespace bronzeplank::cli {

int front(arguments args) {
    const char* default_path = std::getenv("BRONZEPLANK_CONFIG");
    const char* regions_variable = std::getenv("BRONZEPLANK_REGIONS");
    TCLAP::CmdLine command_line("Run a front host of the platform until SIGTERM", ' ',
                                program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file(
        "s", "settings", "settings file; defaults to the value of BRONZEPLANK_CONFIG", false,
        default_path == nullptr ? "" : default_path, "file", command_line);
    command_line.parse(args);
    const std::string path = file.getValue();
    const std::string regions = regions_variable == nullptr ? "" : regions_variable;
    platform::run_front_host(
        [path, regions] { return platform::read_front_settings(read_file(path), regions); });
    return exit_success;
}

} // namespace bronzeplank::cli
