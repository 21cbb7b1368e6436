/// \file
/// Socket options that detect a dead peer which sent no reset, and that reset a connection.
#pragma once

#include "bronzeplank/time.hpp"

namespace bronzeplank {

/// Disables Nagle's algorithm and closes the connection when its peer is dead: when sent bytes stay
/// unacknowledged for the timeout, or when an idle connection does not answer keepalive probes.
/// \param dead_peer_timeout rounded down to whole seconds, but at least one, for the probes
void set_socket_options(int descriptor, duration dead_peer_timeout);

/// Makes every close of the connection a reset, also at the end of the process, so that what the
/// network still holds back is dropped.
void reset_on_close(int descriptor);

} // namespace bronzeplank
