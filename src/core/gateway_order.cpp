#include "bronzeplank/gateway_order.hpp"

#include <algorithm>
#include <tuple>

namespace bronzeplank {

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

std::vector<std::string> order_gateways(std::string_view instance, std::string_view failure_domain,
                                        const std::vector<gateway_candidate>& candidates) {
    std::vector<std::tuple<bool, bool, std::uint64_t, std::string>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        ranked.emplace_back(candidate.reports_unreachable,
                            candidate.failure_domain != failure_domain,
                            stable_hash(instance, candidate.host), candidate.host);
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
