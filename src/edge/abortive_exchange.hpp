/// \file
/// An HTTP call that can't arrive any more once it has been given up.
#pragma once

#include "edge/http_exchange.hpp"

namespace bronzeplank {

/// What became of an abortive call.
struct abortive_reply {
    /// Whether any byte of the call has left the process; otherwise it has certainly not arrived.
    bool sent = false;
    /// The status of the reply; 0 when none arrived.
    int status = 0;
};

/// Sends the request on a connection of its own and waits for the status of the reply. The
/// connection always ends with a reset, also at the end of the process, so that a call which the
/// network holds back is dropped when it is given up, instead of being delivered later.
/// \param send_by the request isn't sent if its connection opens after that
task<abortive_reply> run_abortive_exchange(event_loop& loop, endpoint target, http_exchange request,
                                           duration timeout, time_point send_by);

} // namespace bronzeplank
