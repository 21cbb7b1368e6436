/// \file
/// Answers of a primary that count only with a proof that it was one.
#pragma once

#include "session/upstream_work.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bronzeplank {

/// Proves that the instance is the group's primary at some time after the call.
using primary_proof = std::function<void(const std::string& group, const std::string& instance,
                                         std::function<void(bool)>)>;

/// Asks for the proof at once, so that it runs beside the statement. The handler that comes back
/// takes the statement's answer; `answered` is called when both are there, with `behind` when the
/// proof failed. A statement that failed by itself needs no proof.
inline answer_handler with_proof(const primary_proof& prove, const std::string& group,
                                 const std::string& instance, answer_handler answered) {
    struct parts {
        std::optional<statement_answer> answer;
        std::optional<bool> proved;
        answer_handler answered;

        void deliver_if_whole() {
            const bool needs_proof = answer && answer->result == upstream_result::done;
            if (!answer || !answered || (needs_proof && !proved)) {
                return;
            }
            const auto deliver = std::exchange(answered, nullptr);
            if (needs_proof && !*proved) {
                deliver({upstream_result::behind, {}, {}, {}});
            } else {
                deliver(*answer);
            }
        }
    };
    auto whole = std::make_shared<parts>();
    whole->answered = std::move(answered);
    prove(group, instance, [whole](bool proved) {
        whole->proved = proved;
        whole->deliver_if_whole();
    });
    return [whole](const statement_answer& answer) {
        whole->answer = answer;
        whole->deliver_if_whole();
    };
}

} // namespace bronzeplank
