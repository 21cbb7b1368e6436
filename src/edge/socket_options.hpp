/// \file
/// Socket options of connections that may go silent without a reset.
#pragma once

#include "bronzeplank/time.hpp"

namespace bronzeplank {

/// Turns off Nagle's delay, and ends a connection whose far end has vanished without a word:
/// bytes unacknowledged for `silence` end it, and an idle one is probed.
/// \param silence whole seconds are used for the probes, with a minimum of one
void set_socket_options(int descriptor, duration silence);

} // namespace bronzeplank
