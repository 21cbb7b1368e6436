/// \file
/// One statement of a caller's session, and how it ends.
#pragma once

#include "bronzeplank/log_position.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeplank {

enum class statement_kind {
    begin,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    unknown
};

/// A statement's template: its text without parameters, and whether it writes.
struct statement_shape {
    bool writes = false;
    std::string text;
    auto operator<=>(const statement_shape&) const = default;
};

/// A statement as its caller sent it.
struct statement {
    statement_kind kind = statement_kind::unknown;
    /// The caller's id of the statement; it is passed on unchanged.
    std::string id;
    /// The whole text; it is passed on unchanged, but for a prepared statement's name.
    std::string text;
    /// With begin: the transaction only reads.
    bool read_only = false;
    /// The name of a session value or of a prepared statement.
    std::string name;
    /// The session value, or the parameters of an execution.
    std::string argument;
    /// With prepare.
    statement_shape shape;
    bool operator==(const statement&) const = default;
};

/// The values that a session has set, in the order of their names.
using session_values = std::vector<std::pair<std::string, std::string>>;

/// How an upstream, or the way to it, ended a statement.
enum class upstream_result {
    done,
    /// Not run: its queue is full.
    overloaded,
    /// Not run: its log lacks the wanted position.
    behind,
    /// Not run: it is not the primary, or no longer.
    not_primary,
    /// Not run: another instance answers at this address.
    wrong_instance,
    /// Not run: it takes no more connections.
    no_connection,
    /// Not run: a prepared name is unknown there.
    unknown_name,
    /// Not run: it never left this fleet.
    unsent,
    /// Run, and failed.
    failed,
    /// Run, and stopped by its time limit.
    timed_out,
    /// Sent, and never answered: it may have run.
    unanswered
};

std::string_view to_string(upstream_result result);

/// Whether the result promises that the statement has not run and never will.
constexpr bool promises_not_run(upstream_result result) {
    return result != upstream_result::done && result < upstream_result::failed;
}

/// An upstream's answer to a statement.
struct statement_answer {
    upstream_result result = upstream_result::unsent;
    std::vector<std::string> rows;
    /// The upstream's proof that it ran the statement.
    std::string signature;
    /// The end of the upstream's log; {0, 0} when it did not say.
    log_position position;
    bool operator==(const statement_answer&) const = default;
};

enum class replication_role { primary, replica };

/// What an instance says of its place in its group's replication.
struct replication_status {
    replication_role role = replication_role::replica;
    std::uint64_t term = 0;
    /// The end of what it has received.
    log_position received;
    /// The term of the order that stopped it from receiving; 0 without one.
    std::uint64_t paused_by = 0;
    auto operator<=>(const replication_status&) const = default;
};

/// Orders that change an instance's place in the replication. `hold` is for its gateway: it
/// starts no new writes for a while, and answers with the instance's report when none runs.
enum class replication_command { report, pause, resume, demote, hold };

} // namespace bronzeplank
