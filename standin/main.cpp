/// \file
/// The command line of the simulated platform and PostgreSQL instance for tests.
#include "platform.hpp"
#include "upstream.hpp"

#include <csignal>
#include <fmt/format.h>
#include <sodium.h>
#include <tclap/CmdLine.h>

namespace {

int run_platform_command(std::vector<std::string>& arguments) {
    TCLAP::CmdLine command_line("Stand-in of the platform's object API", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("", "port", "port to listen on", false, 7100, "port", command_line);
    command_line.parse(arguments);
    bronzeplank::event_loop loop;
    standin::platform_options options;
    options.port = static_cast<std::uint16_t>(port.getValue());
    standin::run_platform(loop, options);
    return 0;
}

int run_upstream_command(std::vector<std::string>& arguments) {
    using text_argument = TCLAP::ValueArg<std::string>;
    using number_argument = TCLAP::ValueArg<int>;
    TCLAP::CmdLine command_line("Stand-in of a PostgreSQL instance", ' ', "0.1.0");
    text_argument name("", "name", "name of the instance", true, "", "name", command_line);
    text_argument domain("", "failure-domain", "failure domain of the instance", true, "", "name",
                         command_line);
    text_argument group("", "group", "database group of the instance", true, "", "name",
                        command_line);
    number_argument port("", "port", "port to listen on", true, 0, "port", command_line);
    TCLAP::MultiArg<std::string> peer("", "peer", "name and port of an instance of the group",
                                      false, "name=port", command_line);
    text_argument follow("", "follow", "instance to replicate from", false, "", "name",
                         command_line);
    number_argument platform("", "platform-port", "port of the platform, for the supervisor", false,
                             0, "port", command_line);
    number_argument slots("", "slots", "statements executed at the same time", false, 2, "count",
                          command_line);
    number_argument connections("", "connections", "limit of client connections", false, 16,
                                "count", command_line);
    number_argument connect("", "connect-ms", "time to establish a connection", false, 10, "ms",
                            command_line);
    number_argument service("", "service-us", "execution time of a statement", false, 500, "us",
                            command_line);
    number_argument lag("", "lag-ms", "replay delay of a replica", false, 5, "ms", command_line);
    number_argument delay("", "domain-delay-us", "one-way delay between failure domains", false,
                          1500, "us", command_line);
    command_line.parse(arguments);
    standin::upstream_options options;
    options.name = name.getValue();
    options.failure_domain = domain.getValue();
    options.group = group.getValue();
    options.port = static_cast<std::uint16_t>(port.getValue());
    options.follow = follow.getValue();
    options.primary = options.follow.empty();
    options.platform_port = static_cast<std::uint16_t>(platform.getValue());
    options.slots = slots.getValue();
    options.connections = connections.getValue();
    options.connect_ms = connect.getValue();
    options.service_us = service.getValue();
    options.lag_ms = lag.getValue();
    options.domain_delay_us = delay.getValue();
    for (const auto& value : peer.getValue()) {
        const auto equals = value.find('=');
        options.peers[value.substr(0, equals)] =
            static_cast<std::uint16_t>(std::stoi(value.substr(equals + 1)));
    }
    bronzeplank::event_loop loop;
    standin::run_upstream(loop, options);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0) {
        return 1;
    }
    const std::string role = argc > 1 ? argv[1] : "";
    std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    try {
        if (role == "platform") {
            return run_platform_command(arguments);
        }
        if (role == "upstream") {
            return run_upstream_command(arguments);
        }
    } catch (const std::exception& error) {
        fmt::print(stderr, "bronzeplank-standin: {}\n", error.what());
        return 1;
    }
    fmt::print(stderr, "usage: bronzeplank-standin platform|upstream [--help]\n");
    return 2;
}
