/// \file
/// A statement on its way to an instance, and the calls that hosts make of each other.
#pragma once

#include "bronzeplank/statement.hpp"
#include "bronzeplank/time.hpp"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace bronzeplank {

/// A transaction of the fleet: the host that serves its caller, and a number of that host.
struct transaction_key {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const transaction_key&) const = default;
};

/// A statement with everything that a gateway needs to run it.
struct upstream_work {
    std::string group;
    std::string instance;
    std::string workspace;
    statement what;
    /// The session's values, which the connection must have when the statement runs.
    session_values values;
    /// The log must include this position.
    std::optional<log_position> at_least;
    /// Nothing outside a transaction.
    std::optional<transaction_key> transaction;
    /// The transaction begins with this statement.
    bool opens_transaction = false;
    bool read_only_transaction = false;
    /// Neither the statement nor its transaction changes data.
    bool read_only_work = false;
    /// The instance must be proved to be the primary at some time after the work arrived.
    bool strict = false;
    int priority = 0;
    /// What is left until the answer turns late, and until nobody waits for it.
    duration objective_left{};
    duration time_left{};
};

using answer_handler = std::function<void(const statement_answer&)>;

/// Nothing when the instance did not answer.
using status_handler = std::function<void(const std::optional<replication_status>&)>;

/// A proved position of a group's primary; nothing when there is no proof.
using sample_handler = std::function<void(const std::optional<log_position>&)>;

} // namespace bronzeplank
