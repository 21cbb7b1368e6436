#include "load/scenario.hpp"

#include "bronzeplank/error.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace bronzeplank;
using load::read_scenario;

namespace {

std::string scenario_with(const std::string& fault) {
    return fmt::format(
        R"({{"name":"s","length_ms":1000,"groups":["g"],"faults":[{{"at_ms":1,{}}}],"workspaces":[)"
        R"({{"name":"desk","rate":1,"mix":{{}}}},)"
        R"({{"name":"portal","key":"own-key","rate":1,"mix":{{}}}}]}})",
        fault);
}

} // namespace

TEST_CASE("a fault of a scenario has a target") {
    SECTION("a withdrawn key is the one that the workspace uses, not one made of its name") {
        const auto own = read_scenario(scenario_with(R"("kind":"withdraw_key","target":"portal")"));
        REQUIRE(own.faults[0].key == "own-key");
        const auto named = read_scenario(scenario_with(R"("kind":"withdraw_key","target":"desk")"));
        REQUIRE(named.faults[0].key == "key-of-desk");
    }
    SECTION("a group or a workspace that the scenario doesn't name is refused before the run") {
        for (const char* kind : {"withdraw_key", "lag_replicas", "crash_primary"}) {
            const std::string fault = fmt::format(R"("kind":"{}","target":"other")", kind);
            REQUIRE_THROWS_AS(read_scenario(scenario_with(fault)), input_error);
        }
    }
}
