/// \file
/// Random walks over the model of a database group.
#pragma once

#include "group_model.hpp"
#include "run_size.hpp"

#include <cstdint>
#include <fmt/format.h>
#include <random>
#include <string>

namespace bronzeplank::model {

constexpr int walk_steps = 300;

struct walk_report {
    std::uint64_t walks = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::uint64_t violations = 0;
    std::string first_violation;
};

/// Runs walks with consecutive seeds and counts the violations. This is cheaper than RapidCheck,
/// which promotion_test uses to shrink a failing walk.
inline walk_report walk_from(std::uint64_t seed, std::size_t instances, std::uint64_t walks,
                             int steps, instance_rules rules = {}) {
    walk_report report;
    for (std::uint64_t i = 0; i < walks; ++i) {
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed + i));
        group_model group(instances, rules);
        ++report.walks;
        try {
            for (int j = 0; j < steps; ++j) {
                group.step(random());
            }
            group.finish();
        } catch (const invariant_violation& violation) {
            ++report.violations;
            if (report.first_violation.empty()) {
                report.first_violation = fmt::format("seed {}: {}", seed + i, violation.what());
            }
        }
        report.acknowledged += group.acknowledged();
        report.promotions += group.ready_term();
    }
    return report;
}

/// Runs walks from the configured seed.
inline walk_report walk(std::size_t instances, std::uint64_t walks, int steps) {
    return walk_from(first_seed(), instances, walks, steps);
}

} // namespace bronzeplank::model
