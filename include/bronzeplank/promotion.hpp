/// \file
/// The order of steps by which a group gets a new primary.
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

/// The group's record on the platform: what has been agreed.
struct group_record {
    /// The highest term that anybody has claimed.
    std::uint64_t term = 0;
    /// Who claimed it.
    std::string coordinator;
    /// The term and the name of the primary that callers use; 0 and empty before the first one.
    std::uint64_t ready_term = 0;
    std::string primary;
    bool operator==(const group_record&) const = default;

    /// Whether the highest claimed term has its primary.
    bool ready() const { return term == ready_term && !primary.empty(); }
};

/// A record and the platform's version of it; 0 means that there is none yet.
struct versioned_record {
    std::uint64_t version = 0;
    group_record record;
    bool operator==(const versioned_record&) const = default;
};

std::string write_group_record(const group_record& record);
/// \throws input_error when the text is not a group record.
group_record read_group_record(std::string_view text);

/// What an instance answered when it was ordered to detach.
struct detach_report {
    std::string upstream;
    /// The end of what earlier terms wrote there; all that it received is replayed. What a
    /// promotion itself writes lies behind it and does not count.
    log_position last;
    bool in_recovery = false;
    /// Promoted by an earlier orderer that has not written its term yet.
    bool pending = false;
    /// The terms that it has a record of.
    std::vector<term_start> terms = {};
    auto operator<=>(const detach_report&) const = default;
};

/// What a promotion wants done. The fields that a kind does not need stay empty.
struct promotion_action {
    enum class kind {
        /// Conditional update of the platform's record from the version to the record.
        write_record,
        /// Order the upstream, with the term, to stop following its primary and to report.
        detach,
        /// Make the upstream a primary.
        promote,
        /// Write the term's first record at the upstream.
        write_term,
        /// Order the upstream, with the term, to follow the target.
        attach
    };
    kind what = kind::detach;
    std::string upstream;
    std::string target;
    std::uint64_t term = 0;
    /// With promote, write_term and attach: where the earlier terms end, by the candidate's report.
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
    /// No answer, or a failure that another try may mend; it may have taken effect.
    unknown,
    /// Refused for good: another version of the record, or an order of a higher term.
    refused
};

/// One promotion by one orderer, from the claim of a term to the publication of its primary.
/// Each step may be repeated after a lost answer, and an orderer that sleeps or dies at any step
/// does no harm: the term is claimed by conditional update, and an instance refuses orders of a
/// lower term than it has seen. The driver carries out the actions in any order and reports each
/// result. Usage: `for (auto& a : p.start()) run(a); ... for (auto& a : p.on(a, result)) run(a);`
class promotion {
public:
    /// \param current the platform's record, with its version
    /// \param upstreams all instances of the group
    /// \param avoid instances that lose a tie, as those of a domain that is taken out
    promotion(versioned_record current, std::vector<std::string> upstreams, std::string coordinator,
              std::set<std::string> avoid = {});

    /// The first actions: the claim.
    std::vector<promotion_action> start() const;

    /// Takes a result in; yields the actions that follow from it.
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
