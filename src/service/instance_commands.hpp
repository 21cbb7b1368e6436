/// \file
/// Carries out a promotion's commands at PostgreSQL instances.
/// Usage: `const auto done = co_await execute_command(group, action, deadline);`
#pragma once

#include "bronzeplank/promotion.hpp"
#include "service/upstream_group.hpp"

#include <optional>
#include <string>

namespace bronzeplank {

/// How a command ended; `report` is set after a successful detach.
struct command_result {
    action_result result = action_result::unknown;
    std::optional<detach_report> report;
};

/// Carries out the command at its instance. Each command first acquires the instance's advisory
/// lock, terminating the session of a suspended coordinator that still holds it, and then compares
/// its term with the fencing token in primary_conninfo: a term lower than the token's is refused.
/// Commands are idempotent.
task<command_result> execute_command(std::shared_ptr<upstream_group> group, promotion_action action,
                                     time_point deadline);

} // namespace bronzeplank
