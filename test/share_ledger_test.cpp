#include "bronzeplank/share_ledger.hpp"

#include "model/run_size.hpp"
#include "model/share_model.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace bronzeplank;

TEST_CASE("a workspace's rate over all hosts") {
    SECTION(
        "is never exceeded with lost, delayed and repeated writes and paused and replaced hosts") {
        const std::uint64_t walks = model::walk_count() / 10;
        const std::uint64_t seed = model::first_seed();
        double spent = 0;
        std::uint64_t failed = 0;
        std::string first;
        for (std::uint64_t i = 0; i < walks; ++i) {
            std::mt19937 random(static_cast<std::mt19937::result_type>(seed + i));
            model::share_model fleet(4, {40, 60});
            try {
                for (int j = 0; j < 600; ++j) {
                    fleet.step(random());
                    if (fleet.total_share() > whole_share) {
                        throw model::rate_exceeded(
                            fmt::format("the shares add up to {}", fleet.total_share()));
                    }
                }
            } catch (const model::rate_exceeded& error) {
                ++failed;
                first = first.empty() ? fmt::format("seed {}: {}", seed + i, error.what()) : first;
            }
            spent += fleet.spent();
        }
        fmt::print("{} walks of 600 steps, {} tokens spent, {} failed\n", walks, spent, failed);
        INFO(first);
        REQUIRE(failed == 0);
        REQUIRE(spent > 20.0 * static_cast<double>(walks));
    }
    SECTION("is never exceeded in any walk that RapidCheck generates") {
        rc::prop("the burst plus the rate times the time", [] {
            const auto choices =
                *rc::gen::resize(400, rc::gen::arbitrary<std::vector<std::uint32_t>>());
            model::share_model fleet(3, {10, 20});
            for (const auto choice : choices) {
                fleet.step(choice);
                RC_ASSERT(fleet.total_share() <= whole_share);
            }
        });
    }
}

TEST_CASE("a share holder") {
    const time_point start{std::chrono::hours(1)};
    share_policy policy;
    policy.host_seats = 2;
    share_holder holder("a", policy);
    const std::map<std::string, rate_limit> limits{{"w", {100, 100}}};

    SECTION("proposes nothing before its first observation") {
        REQUIRE_FALSE(holder.propose({}, limits, start));
    }
    SECTION("alone") {
        holder.observe({}, 0, start);
        const auto proposal = holder.propose({{"w", 10}}, limits, start);
        REQUIRE(proposal);

        SECTION("takes its floor share and the whole extra share") {
            REQUIRE(proposal->ledger.find("a", share_account::floor)->grants.at("w").share ==
                    125'000);
            REQUIRE(proposal->ledger.find("a", share_account::extra)->grants.at("w").share ==
                    750'000);
        }
        SECTION("holds nothing before the answer") {
            holder.record_sent(*proposal, start);
            REQUIRE(holder.held(share_account::extra).shares.empty());
        }
        SECTION("starts its lease when the write is sent") {
            holder.record_sent(*proposal, start);
            holder.record_accepted(1, start + std::chrono::seconds(3));
            REQUIRE(holder.held(share_account::extra).until == start + policy.extra_lease);
        }
        SECTION("proposes the same ledger again without an answer") {
            holder.record_sent(*proposal, start);
            REQUIRE(holder.propose({}, limits, start) == proposal);
        }
        SECTION("detects from the ledger that a write whose answer was lost was accepted") {
            holder.record_sent(*proposal, start);
            holder.observe(proposal->ledger, 1, start + std::chrono::seconds(2));
            REQUIRE(holder.held(share_account::extra).shares.at("w") == 750'000);
        }
        SECTION("releases all shares in a graceful shutdown") {
            holder.record_sent(*proposal, start);
            holder.record_accepted(1, start);
            REQUIRE(holder.release()->ledger.entries.empty());
            REQUIRE(holder.held(share_account::floor).shares.empty());
        }
    }
    SECTION("takes over the share of a dead host after its lease and the margin, not before") {
        share_ledger ledger;
        ledger.entries.push_back(
            {"b", share_account::extra, 7, policy.extra_lease, {{"w", {900'000, 5}}}});
        holder.observe(ledger, 3, start);
        const auto at = [&](duration later) {
            holder.observe(ledger, 3, start + later);
            return holder.propose({{"w", 10}}, limits, start + later)
                ->ledger.find("b", share_account::extra);
        };
        REQUIRE(at(policy.extra_lease + policy.margin) != nullptr);
        REQUIRE(at(policy.extra_lease + policy.margin + duration(1)) == nullptr);
    }
}

TEST_CASE("a ledger") {
    SECTION("is unchanged") {
        rc::prop("through JSON", [](std::uint16_t share, std::uint32_t sequence) {
            share_ledger ledger;
            ledger.entries.push_back({"a",
                                      share_account::floor,
                                      sequence,
                                      duration(5),
                                      {{"w", {share, 2.5}}, {"v", {0, 0}}}});
            RC_ASSERT(read_share_ledger(write_share_ledger(ledger)) == ledger);
        });
    }
}
