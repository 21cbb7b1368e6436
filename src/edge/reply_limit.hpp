/// \file
/// The limit of the replies to this process's HTTP calls.
#pragma once

#include <cstddef>

namespace bronzeplank {

/// Sets how long the bodies of replies may be, for all exchanges of the process. A reply with a
/// longer body, or with a head of more than 64 KiB, counts as none.
void set_max_reply_bytes(std::size_t bytes);
/// The length in force; 16 MiB unless it has been set.
std::size_t max_reply_bytes();

} // namespace bronzeplank
