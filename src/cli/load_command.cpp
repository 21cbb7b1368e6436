/// \file
/// The subcommand `load`.
#include "cli/command.hpp"

#include "load/run.hpp"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace bronzeplank::cli {

int load(arguments args) {
    TCLAP::CmdLine command_line("Run a scenario against a deployment and check its guarantees", ' ',
                                program_version);
    command_line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> platform("p", "platform", "the platform's address", false,
                                          "127.0.0.1:7100", "address:port", command_line);
    TCLAP::MultiArg<std::string> host_args("H", "host",
                                           "the address on which a host serves callers", true,
                                           "address:port", command_line);
    TCLAP::ValueArg<long> seed("", "seed", "overrides the scenario's seed", false, -1, "number",
                               command_line);
    TCLAP::SwitchArg json("j", "json", "print JSON", command_line);
    TCLAP::ValueArg<std::string> report_path("r", "report",
                                             "write an HTML report with plots to this file", false,
                                             "", "file", command_line);
    TCLAP::UnlabeledValueArg<std::string> file("scenario", "the scenario file", true, "", "file",
                                               command_line);
    command_line.parse(args);
    load::scenario scenario = load::read_scenario(read_file(file.getValue()));
    if (seed.getValue() >= 0) {
        scenario.seed = static_cast<std::uint64_t>(seed.getValue());
    }
    std::vector<endpoint> hosts;
    for (const auto& item : host_args.getValue()) {
        hosts.push_back(parse_endpoint(item, "--host"));
    }
    std::signal(SIGPIPE, SIG_IGN);
    const load::run_result result =
        load::run_scenario(scenario, hosts, parse_endpoint(platform.getValue(), "--platform"),
                           isatty(STDERR_FILENO) != 0);
    fmt::print("{}{}", json.getValue() ? load::json_report(result) : load::text_report(result),
               json.getValue() ? "\n" : "");
    if (!report_path.getValue().empty()) {
        std::ofstream report(report_path.getValue());
        report << load::html_report(result);
        report.close();
        if (!report) {
            fmt::print(stderr, "the report can't be written to {}\n", report_path.getValue());
            return exit_failure;
        }
    }
    return result.checks.guarantees_held() ? exit_success : exit_guarantee_violated;
}

} // namespace bronzeplank::cli
