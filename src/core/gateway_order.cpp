#include "bronzeplank/gateway_order.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bronzeplank {

namespace {

host_resources least_announced(const std::vector<gateway_candidate>& candidates) {
    host_resources least;
    const auto lower = [](std::optional<double>& known, const std::optional<double>& other) {
        if (other && (!known || *other < *known)) {
            known = other;
        }
    };
    for (const auto& candidate : candidates) {
        lower(least.cores, candidate.resources.cores);
        lower(least.link_mbps, candidate.resources.link_mbps);
    }
    return least;
}

// The time of the first event of a Poisson process with the weight as its rate: the probability
// that a host has the lowest rank is its share of the weights. Increases with the hash, so that
// hosts of equal weight are ordered by their hashes.
double weighted_rank(std::uint64_t hash, double weight) {
    constexpr double hash_count = 18446744073709551616.0; // 2^64
    // The greatest hashes are rounded to 2^64, where the logarithm is infinite.
    const double uniform = std::min(static_cast<double>(hash) / hash_count, 1 - 0x1p-53);
    return -std::log1p(-uniform) / weight;
}

} // namespace

std::uint64_t stable_hash(std::string_view left, std::string_view right) {
    // 64-bit FNV-1a with a final mix, because its high bits are poorly distributed for short names.
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto add = [&hash](std::string_view text) {
        for (const char byte : text) {
            hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
        }
        hash = (hash ^ 0xffU) * 0x100000001b3U;
    };
    add(left);
    add(right);
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    return hash ^ (hash >> 33U);
}

host_resources as_announced(const host_resources& resources) {
    host_resources announced;
    if (resources.cores) {
        announced.cores = std::max(std::round(*resources.cores * 100), 1.0) / 100;
    }
    if (resources.link_mbps) {
        announced.link_mbps = std::max(std::round(*resources.link_mbps), 1.0);
    }
    return announced;
}

double relative_capacity(const host_resources& resources) {
    if (!resources.cores && !resources.link_mbps) {
        return 0;
    }
    return resources.cores.value_or(1) * resources.link_mbps.value_or(1);
}

std::vector<std::string> order_gateways(std::string_view instance, std::string_view failure_domain,
                                        const std::vector<gateway_candidate>& candidates) {
    const host_resources least = least_announced(candidates);
    std::vector<std::tuple<bool, bool, double, std::uint64_t, std::string>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        const std::uint64_t hash = stable_hash(instance, candidate.host);
        const host_resources resources{
            candidate.resources.cores ? candidate.resources.cores : least.cores,
            candidate.resources.link_mbps ? candidate.resources.link_mbps : least.link_mbps};
        const double capacity = relative_capacity(resources);
        ranked.emplace_back(candidate.reports_unreachable,
                            candidate.failure_domain != failure_domain,
                            weighted_rank(hash, capacity > 0 ? capacity : 1), hash, candidate.host);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (const auto& entry : ranked) {
        order.push_back(std::get<std::string>(entry));
    }
    return order;
}

} // namespace bronzeplank
