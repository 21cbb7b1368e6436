#include "edge/socket_options.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzeplank {

namespace {

constexpr int probes_before_close = 2;

// Options that a system lacks only make a dead peer's detection slower; requests have their own
// time limits.
void set_option(int descriptor, int level, int name, int value) {
    setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void set_socket_options(int descriptor, duration silence) {
    const int milliseconds = static_cast<int>(to_milliseconds(silence));
    const int seconds = std::max(1, milliseconds / 1000);
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes_before_close);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
}

} // namespace bronzeplank
