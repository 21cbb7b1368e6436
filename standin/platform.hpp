/// \file
/// A simulated platform for tests: an HTTP API for versioned objects and the list of hosts, with
/// watches and fault injection.
#pragma once

#include "runtime/event_loop.hpp"

#include <cstdint>
#include <string>

namespace standin {

/// The settings of the simulated platform.
struct platform_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 7100;
};

/// Serves requests until the loop stops.
void run_platform(bronzeplank::event_loop& loop, const platform_options& options);

} // namespace standin
