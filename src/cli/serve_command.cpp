/// \file
/// The subcommand `serve`.
#include "cli/command.hpp"

#include "service/host.hpp"

#include <tclap/CmdLine.h>

namespace bronzeplank::cli {

int serve(arguments args) {
    TCLAP::CmdLine command_line("Run a host until SIGTERM", ' ', program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "settings file (JSON with comments)", true,
                                      "", "file", command_line);
    command_line.parse(args);
    const settings host = read_settings(read_file(file.getValue()));
    run_host(host);
    return exit_success;
}

} // namespace bronzeplank::cli
