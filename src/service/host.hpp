/// \file
/// The host process: all services on one event loop.
#pragma once

#include "bronzeplank/settings.hpp"

namespace bronzeplank {

/// Runs a host until SIGTERM or SIGINT. On the signal /readyz starts to fail, the listener closes
/// after the time that the load balancer needs to notice, and open requests and transactions get
/// the drain time to finish. \throws std::runtime_error when an address cannot be listened on.
void run_host(const settings& host);

} // namespace bronzeplank
