/// \file
/// Statements of a caller's session, their results, and replication status and commands.
#pragma once

#include "bronzeplank/load_report.hpp"
#include "bronzeplank/log_position.hpp"
#include "bronzeplank/time.hpp"

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

/// A prepared statement's template: its text without parameters, and whether it writes.
struct statement_shape {
    bool writes = false;
    std::string text;
    auto operator<=>(const statement_shape&) const = default;
};

/// A statement as its caller sent it.
struct statement {
    statement_kind kind = statement_kind::unknown;
    /// The caller's id of the statement, forwarded unchanged.
    std::string id;
    /// The whole text, forwarded unchanged except for a prepared statement's name.
    std::string text;
    /// With begin: the transaction is read-only.
    bool read_only = false;
    /// The name of a session value or a prepared statement.
    std::string name;
    /// The session value, or the parameters of an execution.
    std::string argument;
    /// With prepare: the statement to prepare.
    statement_shape shape;
    bool operator==(const statement&) const = default;
};

/// The values that a session has set, sorted by name.
using session_values = std::vector<std::pair<std::string, std::string>>;

/// A statement's result, as reported by the upstream or determined on the way to it.
enum class upstream_result {
    done,
    /// Not run: the upstream's queue is full.
    overloaded,
    /// Not run: the upstream has not replayed the required position.
    behind,
    /// Not run: the upstream is not, or no longer, the primary.
    not_primary,
    /// Not run: another instance answers at this address.
    wrong_instance,
    /// Not run: the upstream accepts no more connections.
    no_connection,
    /// Not run: the upstream does not know the prepared statement.
    unknown_name,
    /// Not run: it was never sent to an upstream.
    unsent,
    /// Run, and failed.
    failed,
    /// Run, and canceled at its time limit.
    timed_out,
    /// Sent, but never answered: it may have run.
    unanswered
};

std::string_view to_string(upstream_result result);

/// Whether the result guarantees that the statement has not run and never will.
constexpr bool guarantees_not_run(upstream_result result) {
    return result != upstream_result::done && result < upstream_result::failed;
}

/// An upstream's answer to a statement.
struct statement_answer {
    upstream_result result = upstream_result::unsent;
    std::vector<std::string> rows;
    /// The upstream's signature, which shows that it ran the statement.
    std::string signature;
    /// The end of the upstream's log; {0, 0} if it was not reported. It may be above the position
    /// of the answered commit, and above all that replicas have received.
    log_position position;
    /// How long the upstream took; zero if it did not run the statement.
    duration run_time{};
    /// The upstream's load when its gateway answered; nothing if no gateway did.
    std::optional<load_report> load{};
    /// Of a commit that changed data: no lower position can be its own. {0, 0} if its gateway
    /// doesn't report it.
    log_position lowest_commit{};
    bool operator==(const statement_answer&) const = default;
};

enum class replication_role { primary, replica };

/// An instance's report of its role and position in its group's replication.
struct replication_status {
    replication_role role = replication_role::replica;
    std::uint64_t term = 0;
    /// The end of the received log.
    log_position received;
    /// The term of the command that paused receiving; 0 if it is not paused.
    std::uint64_t paused_by = 0;
    /// For how long the connection had been open on which the instance answered: its process has
    /// run for at least as long. Nothing if the host that asked doesn't report it.
    std::optional<duration> connected_for{};
    auto operator<=>(const replication_status&) const = default;
};

/// Commands that read or change an instance's role in the replication. `hold` is handled by the
/// instance's gateway, which starts no new writes for a while and answers with the instance's
/// report once no write is running.
enum class replication_command { report, pause, resume, demote, hold };

std::string_view to_string(replication_command command);

/// Formats a position for logs, as in "3.1209".
std::string to_text(const log_position& position);

/// Formats an answer for logs, as in "replica term 3 received 3.1209 paused by 4".
std::string to_text(const replication_status& status);

} // namespace bronzeplank
