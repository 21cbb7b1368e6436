/// \file
/// The digest of a failure domain's heartbeats: what is equal for many hosts is written once.
#pragma once

#include "bronzeplank/heartbeat_relay.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeplank {

/// The latest heartbeat of a host, as its relay has it.
struct domain_heartbeat {
    std::string host;
    std::uint32_t incarnation = 0;
    std::uint64_t sent_ms = 0;
    /// Since the relay received it.
    duration age{};
    /// A full one.
    wire::fleet_heartbeat heartbeat;
};

/// Writes the hosts and what they share; not the relay, the number and the rank.
void write_digest(const std::string& failure_domain, const std::vector<domain_heartbeat>& hosts,
                  wire::heartbeat_digest& target);

/// The full heartbeat of an entry. It has the newest acknowledged commits of the whole domain, and
/// no primaries, which are to be read from the digest once.
/// \throws input_error if the entry refers to what the digest doesn't contain
wire::fleet_heartbeat read_heartbeat(const wire::heartbeat_digest& digest,
                                     const wire::digest_entry& entry);

/// The entries' incarnations and times, without their contents.
/// \param sent_at when the digest was sent, on this host's clock
std::vector<relayed_heartbeat> read_times(const wire::heartbeat_digest& digest, time_point sent_at);

/// Adds the time for which a digest was under way or was kept by a relay.
void add_age(wire::heartbeat_digest& digest, duration added);

} // namespace bronzeplank
