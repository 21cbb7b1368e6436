#include "bronzeplank/relay_election.hpp"

#include <algorithm>

namespace bronzeplank {

std::vector<std::string> choose_relays(std::vector<relay_candidate> live, std::size_t count) {
    std::sort(live.begin(), live.end(), [](const auto& left, const auto& right) {
        if (left.capacity != right.capacity) {
            return left.capacity > right.capacity;
        }
        return left.host < right.host;
    });
    live.resize(std::min(count, live.size()));
    std::vector<std::string> relays;
    relays.reserve(live.size());
    for (const auto& candidate : live) {
        relays.push_back(candidate.host);
    }
    return relays;
}

} // namespace bronzeplank
