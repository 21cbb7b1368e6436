#include "bronzeplank/gateway_order.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

namespace {

std::vector<gateway_candidate> hosts(int count, int domains) {
    std::vector<gateway_candidate> found;
    for (int i = 0; i < count; ++i) {
        found.push_back({"host-" + std::to_string(i), "domain-" + std::to_string(i % domains)});
    }
    return found;
}

} // namespace

TEST_CASE("an instance's gateway") {
    auto candidates = hosts(9, 3);

    SECTION("is a host of its failure domain") {
        const auto order = order_gateways("i-1", "domain-1", candidates);
        const auto first = std::find_if(candidates.begin(), candidates.end(),
                                        [&](const auto& host) { return host.host == order[0]; });
        REQUIRE(first->failure_domain == "domain-1");
    }
    SECTION("is another one when the first can't reach it") {
        const auto before = order_gateways("i-1", "domain-1", candidates);
        for (auto& host : candidates) {
            host.reports_unreachable = host.host == before[0];
        }
        const auto after = order_gateways("i-1", "domain-1", candidates);
        REQUIRE(after.front() == before[1]);
        REQUIRE(after.back() == before[0]);
    }
    SECTION("does not depend on the order of the candidates") {
        const auto before = order_gateways("i-1", "domain-1", candidates);
        std::reverse(candidates.begin(), candidates.end());
        REQUIRE(order_gateways("i-1", "domain-1", candidates) == before);
    }
}

TEST_CASE("a host that leaves moves only its own instances") {
    rc::prop("for any instance and any host that leaves", [] {
        auto candidates = hosts(12, 3);
        const auto leaver = *rc::gen::inRange(0, 12);
        const std::string name = candidates[static_cast<std::size_t>(leaver)].host;
        const std::string instance = *rc::gen::string<std::string>();
        const auto before = order_gateways(instance, "domain-0", candidates).front();
        candidates.erase(candidates.begin() + leaver);
        const auto after = order_gateways(instance, "domain-0", candidates).front();
        RC_ASSERT(before == name || before == after);
    });
}

TEST_CASE("instances are spread over the hosts of their domain") {
    const auto candidates = hosts(6, 1);
    std::map<std::string, int> served;
    for (int i = 0; i < 600; ++i) {
        ++served[order_gateways("i-" + std::to_string(i), "domain-0", candidates).front()];
    }
    for (const auto& [host, count] : served) {
        INFO(host << " is gateway of " << count << " of 600 instances; an equal share is 100");
        REQUIRE(count > 50);
        REQUIRE(count < 150);
    }
}
