/// \file
/// A statement to run at an instance, and the handlers of calls between hosts.
#pragma once

#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace bronzeplank {

/// Identifies a transaction across the fleet: the host that serves its caller, and a number that is
/// unique on that host.
struct transaction_key {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const transaction_key&) const = default;
};

/// Identifies work across the fleet: the host that has sent it, and a number that is unique on that
/// host.
struct work_key {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const work_key&) const = default;
};

/// A statement with everything that a gateway needs to run it.
struct upstream_work {
    /// Number 0 if its sender doesn't drop work.
    work_key key;
    std::string group;
    std::string instance;
    std::string workspace;
    statement request;
    /// The session's values; the connection must have them when the statement runs.
    session_values values;
    /// The instance's log must include this position.
    std::optional<log_position> min_position;
    /// Empty outside a transaction.
    std::optional<transaction_key> transaction;
    /// The statement is the first of its transaction.
    bool opens_transaction = false;
    bool read_only_transaction = false;
    /// Neither the statement nor its transaction changes data.
    bool read_only_work = false;
    /// The instance must be confirmed as the primary at some time after the work has arrived.
    bool strict = false;
    int priority = 0;
    /// The time left until the answer misses its latency objective, and until the caller stops
    /// waiting.
    duration objective_left{};
    duration time_left{};
    /// The workspace's part of an instance's slots in relation to other workspaces.
    double weight = 1;
    /// Taken from the time in the queue, so that a refusal reaches the calling host before that
    /// host stops waiting.
    duration refusal_margin{};
};

using answer_handler = std::function<void(const statement_answer&)>;

/// Empty when the instance did not answer.
using status_handler = std::function<void(const std::optional<replication_status>&)>;

/// A log position of a group's primary that passed a leadership check; empty when the check failed.
using verified_position_handler = std::function<void(const std::optional<log_position>&)>;

} // namespace bronzeplank
