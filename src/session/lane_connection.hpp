/// \file
/// One of a lane's connections: what it runs, and what the instance knows of its session.
#pragma once

#include "bronzeplank/work_queue.hpp"
#include "session/upstream_link.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bronzeplank {

/// Work and who asked for it.
struct waiting_work {
    upstream_work work;
    answer_handler answered;
    work_urgency urgency;
    time_point arrived{};
};

/// A connection on behalf of one workspace. Sessions share it one after the other: before each
/// statement it gets exactly the values of the statement's session, and one prepared statement a
/// shape serves them all, whatever they call it.
template <upstream_link Link>
struct lane_connection {
    std::unique_ptr<Link> link;
    std::string workspace;
    session_values values;
    std::map<statement_shape, std::string> prepared;
    std::optional<transaction_key> transaction;
    bool ready = false;
    bool running = false;
    /// What runs changes data, or commits changes.
    bool writing = false;
    /// What runs has taken far longer than usual, which has been counted.
    bool hangs = false;
    bool gone = false;
    time_point used;
    time_point started;
    time_point limit;
    /// What the connection was opened for.
    std::optional<waiting_work> first;
    /// What runs, until it is answered.
    answer_handler answered;

    bool idle() const { return ready && !running && !gone && !transaction; }

    /// The instance clears values only all at once, and prepared statements with them.
    void apply_values(const session_values& wanted) {
        const auto keeps = [&](const auto& held) {
            return std::any_of(wanted.begin(), wanted.end(),
                               [&](const auto& value) { return value.first == held.first; });
        };
        if (!std::all_of(values.begin(), values.end(), keeps)) {
            link->clear_session();
            values.clear();
            prepared.clear();
        }
        for (const auto& value : wanted) {
            if (std::find(values.begin(), values.end(), value) == values.end()) {
                link->set_value(value.first, value.second);
            }
        }
        values = wanted;
    }

    /// The name under which the shape is prepared here; prepares it if need be.
    std::string prepare(const statement_shape& shape) {
        const auto found = prepared.find(shape);
        if (found != prepared.end()) {
            return found->second;
        }
        const std::string name = "s" + std::to_string(prepared.size() + 1);
        link->prepare(name, shape);
        prepared.emplace(shape, name);
        return name;
    }
};

} // namespace bronzeplank
