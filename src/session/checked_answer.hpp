/// \file
/// Delivers a primary's answer only after a check that the instance was the primary, or that its
/// commit outlasts a failover.
#pragma once

#include "runtime/event_loop.hpp"
#include "session/upstream_work.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bronzeplank {

/// Reports whether the instance was confirmed as the group's primary at some time after the call.
using leadership_check = std::function<void(const std::string& group, const std::string& instance,
                                            std::function<void(bool)>)>;

/// Starts the leadership check immediately, so that it runs in parallel with the statement. The
/// returned handler takes the statement's answer. `on_answer` is called once both results are
/// known, with `behind` if the check failed. An answer other than `done` is delivered without
/// waiting for the check.
inline answer_handler with_leadership_check(const leadership_check& check, const std::string& group,
                                            const std::string& instance, answer_handler on_answer) {
    struct pending_answer {
        std::optional<statement_answer> answer;
        std::optional<bool> confirmed;
        answer_handler on_answer;

        void deliver_if_complete() {
            const bool needs_check = answer && answer->result == upstream_result::done;
            if (!answer || !on_answer || (needs_check && !confirmed)) {
                return;
            }
            const auto deliver = std::exchange(on_answer, nullptr);
            if (needs_check && !*confirmed) {
                deliver({upstream_result::behind, {}, {}, {}});
            } else {
                deliver(*answer);
            }
        }
    };
    auto pending = std::make_shared<pending_answer>();
    pending->on_answer = std::move(on_answer);
    check(group, instance, [pending](bool is_primary) {
        pending->confirmed = is_primary;
        pending->deliver_if_complete();
    });
    return [pending](const statement_answer& answer) {
        pending->answer = answer;
        pending->deliver_if_complete();
    };
}

/// Reports whether the primary's commits up to the position, which took that long to be answered,
/// outlast a failover.
using commit_confirmation =
    std::function<void(const std::string& group, const std::string& instance, const log_position&,
                       duration took, std::function<void(bool)>)>;

/// Whether the work's answer tells its caller that changes are committed.
inline bool commits_changes(const upstream_work& work) {
    const statement_kind kind = work.request.kind;
    const bool ends_transaction = kind == statement_kind::commit;
    return !work.read_only_work && (ends_transaction || !work.transaction);
}

/// Whether the work is the first that may change data, so that refusing it leaves no trace.
inline bool begins_changes(const upstream_work& work) {
    return !work.read_only_work && (work.opens_transaction || !work.transaction);
}

/// Returns a handler that delivers a commit's answer once the commit is confirmed. A commit that
/// isn't is delivered as `unanswered`: it took effect, but may be lost.
inline answer_handler with_commit_confirmation(const commit_confirmation& confirm,
                                               const std::string& group,
                                               const std::string& instance,
                                               answer_handler on_answer) {
    return [confirm, group, instance, requested_at = event_loop::now(),
            on_answer = std::move(on_answer)](const statement_answer& answer) {
        if (answer.result != upstream_result::done || answer.position == log_position{}) {
            on_answer(answer);
            return;
        }
        confirm(group, instance, answer.position, event_loop::now() - requested_at,
                [on_answer, answer](bool confirmed) {
                    on_answer(confirmed
                                  ? answer
                                  : statement_answer{upstream_result::unanswered, {}, {}, {}});
                });
    };
}

} // namespace bronzeplank
