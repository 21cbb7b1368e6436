#include "edge/socket_options.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzeplank {

namespace {

constexpr int max_keepalive_probes = 2;

// Errors are ignored: without an option a dead peer is only detected later, and every request has
// its own timeout.
void set_option(int descriptor, int level, int name, int value) {
    setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void set_socket_options(int descriptor, duration dead_peer_timeout) {
    const int timeout_ms = static_cast<int>(to_milliseconds(dead_peer_timeout));
    const int keepalive_seconds = std::max(1, timeout_ms / 1000);
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, max_keepalive_probes);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

void reset_on_close(int descriptor) {
    const linger abortive{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
}

} // namespace bronzeplank
