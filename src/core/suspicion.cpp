#include "bronzeplank/suspicion.hpp"

#include <algorithm>

namespace bronzeplank {

bool should_start_promotion(const suspicion_vote& self, const std::vector<suspicion_vote>& peers,
                            std::optional<time_point> suspected_since,
                            std::optional<time_point> claim_seen, time_point now,
                            const suspicion_limits& limits) {
    if (!self.suspected || !suspected_since) {
        return false;
    }
    std::size_t voters = 1;
    std::size_t suspecting = 1;
    int rank = 0;
    for (const auto& peer : peers) {
        const duration age = now - peer.received_at;
        if (age > limits.voter_lifetime) {
            continue;
        }
        ++voters;
        const bool agrees = peer.suspected && age <= limits.vote_lifetime;
        suspecting += agrees ? 1 : 0;
        rank += agrees && peer.host < self.host ? 1 : 0;
    }
    if (suspecting * 2 <= voters) {
        return false;
    }
    const duration wait = limits.stagger * rank;
    if (claim_seen && now - *claim_seen < limits.claim_timeout + wait) {
        return false;
    }
    return now - *suspected_since >= wait;
}

} // namespace bronzeplank
