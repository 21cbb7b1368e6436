/// \file
/// The steps by which a group gets a new primary.
#pragma once

#include "bronzeplank/log_position.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeplank {

/// The group's record on the platform, on which all hosts agree.
struct group_record {
    /// The highest claimed term.
    std::uint64_t term = 0;
    /// The host that claimed it.
    std::string coordinator;
    /// The term and the name of the published primary; 0 and empty before the first one.
    std::uint64_t ready_term = 0;
    std::string primary;
    bool operator==(const group_record&) const = default;

    /// Whether the primary of the highest claimed term is published.
    bool ready() const { return term == ready_term && !primary.empty(); }
};

/// A record and its version on the platform; version 0 if there is no record yet.
struct versioned_record {
    std::uint64_t version = 0;
    group_record record;
    bool operator==(const versioned_record&) const = default;
};

/// Formats the record as JSON.
std::string write_group_record(const group_record& record);
/// Parses a record.
/// \throws input_error if the text is not a group record.
group_record read_group_record(std::string_view text);

/// An instance's answer to a detach command.
struct detach_report {
    std::string upstream;
    /// The end of the data of earlier terms; everything received is replayed. Internal records of
    /// a promotion lie past it and do not count.
    log_position last;
    bool in_recovery = false;
    /// The instance was promoted by an earlier coordinator that has not written its term yet.
    bool pending = false;
    /// The terms that the instance has a record of.
    std::vector<term_start> terms = {};
    auto operator<=>(const detach_report&) const = default;
};

/// An action for the driver of a promotion. Fields that a kind does not need stay empty.
struct promotion_action {
    enum class kind {
        /// Update the platform's record to `record` if its version is `version`.
        write_record,
        /// Command the upstream, with the term, to stop following its primary and to report.
        detach,
        /// Make the upstream a primary.
        promote,
        /// Write the term's first record to the upstream's log.
        write_term,
        /// Command the upstream, with the term, to follow the target.
        attach
    };
    kind what = kind::detach;
    std::string upstream;
    std::string target;
    std::uint64_t term = 0;
    /// With promote, write_term and attach: where the candidate's data of earlier terms ends.
    std::uint64_t start = 0;
    /// With attach: the target's terms before this one.
    std::vector<term_start> terms;
    std::uint64_t version = 0;
    group_record record;
    bool operator==(const promotion_action&) const = default;
};

/// How an action ended.
enum class action_result {
    done,
    /// No answer or a transient failure; the action may have taken effect.
    unknown,
    /// Refused permanently: the record has another version, or the instance a higher term.
    refused
};

/// One promotion by one coordinator, from the claim of a term to the publication of its primary.
/// All steps are idempotent and may be retried after a lost answer. A coordinator may pause or
/// crash at any step without losing acknowledged writes: the term is claimed by a conditional
/// update, and an instance refuses commands of a lower term than it has seen. The driver performs
/// the actions in any order and reports each result.
/// Usage: `for (auto& a : p.start()) run(a); ... for (auto& next : p.on_result(a, result)) ...`
class promotion {
public:
    /// \param current the platform's record with its version
    /// \param upstreams all instances of the group
    /// \param avoid instances that lose a tie, such as those of a draining failure domain
    promotion(versioned_record current, std::vector<std::string> upstreams, std::string coordinator,
              std::set<std::string> avoid = {});

    /// Returns the first action, the claim of the term.
    std::vector<promotion_action> start() const;

    /// Handles an action's result and returns the actions that follow from it.
    std::vector<promotion_action>
    on_result(const promotion_action& action, action_result result,
              const std::optional<detach_report>& report = std::nullopt,
              std::uint64_t new_version = 0);

    bool finished() const { return m_step == step::done || m_step == step::abandoned; }
    bool succeeded() const { return m_step == step::done; }
    std::uint64_t term() const { return m_claim.term; }
    const std::string& candidate() const { return m_candidate; }

private:
    enum class step { claiming, detaching, promoting, recording, publishing, done, abandoned };

    std::vector<promotion_action> after_claim(action_result result, std::uint64_t version);
    std::vector<promotion_action> after_detach(const promotion_action& action,
                                               const std::optional<detach_report>& report);
    std::vector<promotion_action> after_majority();
    std::vector<promotion_action> after_term_written();
    bool is_fenced(const detach_report& report) const;
    bool enough_detached() const;
    bool first_primary_known() const;
    std::string choose_candidate() const;
    promotion_action make_action(promotion_action::kind what, const std::string& upstream) const;

    versioned_record m_current;
    std::vector<std::string> m_upstreams;
    std::set<std::string> m_avoid;
    group_record m_claim;
    std::uint64_t m_claimed_version = 0;
    step m_step = step::claiming;
    std::map<std::string, detach_report> m_reports;
    std::string m_candidate;
};

} // namespace bronzeplank
