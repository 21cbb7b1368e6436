/// \file
/// One connection of a pool: the statement that it runs, and the session state that the instance
/// keeps for it.
#pragma once

#include "bronzeplank/slot_times.hpp"
#include "bronzeplank/work_queue.hpp"
#include "session/upstream_connection.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bronzeplank {

/// A connection that has prepared more than this is cleared before its next statement, so that the
/// shapes of many sessions don't stay on it for ever.
constexpr std::size_t max_prepared_bytes = 1U << 20U;

/// Work in a pool's queue, with the handler of its answer.
struct queued_work {
    upstream_work work;
    answer_handler on_answer;
    work_urgency urgency;
    time_point queued_at{};

    work_class measured_class() const {
        if (work.transaction) {
            return {work_kind::transaction_statement, work.priority};
        }
        return {work.read_only_work ? work_kind::read : work_kind::write, work.priority};
    }
};

/// A connection on behalf of one workspace, shared by that workspace's sessions in turn. Before
/// each statement the connection gets exactly the values of the statement's session. Each statement
/// shape is prepared once for all sessions, under a name of the connection's own.
template <upstream_connection Connection>
struct pooled_connection {
    std::unique_ptr<Connection> upstream;
    std::string workspace;
    session_values values;
    std::map<statement_shape, std::string> prepared;
    std::size_t prepared_bytes = 0;
    std::optional<transaction_key> transaction;
    bool opened = false;
    bool running = false;
    /// The running statement changes data or commits changes.
    bool writing = false;
    /// The running statement exceeded the hang threshold and has been counted as a failure.
    bool counted_as_hanging = false;
    bool closed = false;
    time_point last_used;
    time_point started_at;
    time_point deadline;
    /// Of the running statement.
    work_class measured_class;
    /// The work that the connection is being opened for.
    std::optional<queued_work> opened_for;
    /// The handler of the running statement, until it is answered.
    answer_handler on_answer;

    bool idle() const { return opened && !running && !closed && !transaction; }

    /// Sets the session's values. The instance can only clear all values at once, and prepared
    /// statements with them.
    void apply_values(const session_values& wanted) {
        const auto keeps = [&](const auto& held) {
            return std::any_of(wanted.begin(), wanted.end(),
                               [&](const auto& value) { return value.first == held.first; });
        };
        const bool full = prepared_bytes > max_prepared_bytes && !transaction;
        if (full || !std::all_of(values.begin(), values.end(), keeps)) {
            upstream->clear_session();
            values.clear();
            prepared.clear();
            prepared_bytes = 0;
        }
        for (const auto& value : wanted) {
            if (std::find(values.begin(), values.end(), value) == values.end()) {
                upstream->set_value(value.first, value.second);
            }
        }
        values = wanted;
    }

    /// Returns the name under which the shape is prepared on this connection, preparing it if
    /// necessary.
    std::string prepare(const statement_shape& shape) {
        const auto found = prepared.find(shape);
        if (found != prepared.end()) {
            return found->second;
        }
        const std::string name = "s" + std::to_string(prepared.size() + 1);
        upstream->prepare(name, shape);
        prepared.emplace(shape, name);
        prepared_bytes += shape.text.size();
        return name;
    }
};

} // namespace bronzeplank
