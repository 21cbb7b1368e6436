/// \file
/// The state of a fleet that relays heartbeats between failure domains.
#pragma once

#include "bronzeplank/heartbeat_relay.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzeplank {

/// Kept by every host, since any host may become a relay.
struct fleet_relays {
    struct received_heartbeat {
        std::uint32_t incarnation = 0;
        std::uint64_t sent_ms = 0;
        time_point received;
        wire::fleet_heartbeat heartbeat;
    };
    /// The latest heartbeats of the own domain's other hosts.
    std::map<std::string, received_heartbeat> domain_heartbeats;
    /// By failure domain and rank.
    std::map<std::string, std::map<std::size_t, digest_sender>> senders;
    digest_forwarder forwarder;
    digest_sequence sequence;
    /// This host's rank among the relays of its domain.
    std::optional<std::size_t> rank;
    time_point rank_checked;
    time_point digest_sent;
    /// The next digest is sent early.
    bool urgent = false;
    std::uint64_t last_number = 0;
    /// When a host was last asked for a heartbeat.
    std::map<std::string, time_point> probed;
};

} // namespace bronzeplank
