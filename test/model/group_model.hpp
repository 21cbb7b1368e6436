/// \file
/// An in-memory model of a database group, its platform record, coordinators and writers. Random
/// walks run the library's promotion and confirmation over it in any interleaving.
#pragma once

#include "bronzeplank/confirmation.hpp"
#include "bronzeplank/fencing_token.hpp"
#include "bronzeplank/promotion.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// The kinds of log records.
enum class record_kind { write, term, internal };

/// A log record: a caller's write, a term's first record with the offset where the earlier terms
/// end, or an internal record of a promotion.
struct record {
    std::uint64_t term = 0;
    int write = 0;
    record_kind kind = record_kind::write;
    std::uint64_t start = 0;
    bool operator==(const record&) const = default;
};

/// A database instance.
struct instance {
    bool up = true;
    bool primary = false;
    fencing_token token;
    std::optional<std::size_t> following;
    std::vector<record> log;

    std::uint64_t last_term() const {
        std::uint64_t term = 0;
        for (const auto& item : log) {
            term = item.kind == record_kind::term ? item.term : term;
        }
        return term;
    }

    std::vector<term_start> terms() const {
        std::vector<term_start> found;
        for (const auto& item : log) {
            if (item.kind == record_kind::term) {
                found.push_back({item.term, item.start});
            }
        }
        return found;
    }
};

/// Rules that the model's instances follow; a test disables one to verify that the check fails.
struct instance_rules {
    bool refuse_lower_term = true;
    bool token_names_first_missing_term = true;
};

/// Reports the violated invariant.
struct invariant_violation : std::logic_error {
    using std::logic_error::logic_error;
};

/// A group that advances by random steps. A step's low bits select the event, its other bits the
/// operands. Usage: `group_model group(3); group.step(random()); ... group.finish();`
class group_model {
public:
    explicit group_model(std::size_t instances, instance_rules rules = {})
        : m_rules(rules), m_instances(instances), m_tracker(instances) {
        for (std::size_t i = 0; i < instances; ++i) {
            m_names.push_back(fmt::format("i{}", i));
            m_instances[i].following = i == 0 ? std::nullopt : std::optional<std::size_t>(0);
        }
        m_instances[0].primary = true;
        run_promotion();
        m_coordinators.clear();
    }

    void step(std::uint32_t choice) {
        const std::uint32_t operand = choice >> 8U;
        switch (choice % 16) {
        case 0:
            if (operand % 4 == 0) {
                start_coordinator();
            } else if (operand % 4 <= 2 && !m_coordinators.empty()) {
                coordinator& chosen = m_coordinators[(operand >> 2U) % m_coordinators.size()];
                chosen.paused = !chosen.paused;
            }
            break;
        case 1:
        case 2:
        case 3:
        case 4:
            perform(operand);
            break;
        case 5:
        case 6:
        case 7:
            deliver(operand);
            break;
        case 8:
        case 9:
            write(operand);
            break;
        case 10:
        case 11:
        case 12:
            replicate(operand % m_instances.size());
            break;
        case 13:
            query_view(operand);
            break;
        case 14:
            confirm(operand);
            break;
        default:
            crash_or_recover(operand % m_instances.size(), operand >> 8U);
        }
    }

    /// Restarts all instances, completes one more promotion and checks the acknowledged writes.
    /// \throws invariant_violation if one of them is lost or duplicated.
    void finish() {
        for (auto& item : m_instances) {
            item.up = true;
        }
        m_coordinators.clear();
        for (int attempt = 0; attempt < 3 && !run_promotion(); ++attempt) {
        }
        check();
    }

    std::size_t acknowledged() const { return m_acknowledged.size(); }
    std::uint64_t ready_term() const { return m_record.record.ready_term; }

private:
    struct coordinator {
        promotion decisions;
        std::vector<promotion_action> to_perform;
        bool paused = false;
        struct outcome {
            promotion_action action;
            action_result result = action_result::unknown;
            std::optional<detach_report> report;
            std::uint64_t version = 0;
        };
        std::vector<outcome> to_deliver;
    };

    std::size_t index_of(const std::string& name) const {
        return static_cast<std::size_t>(std::stoul(name.substr(1)));
    }

    void start_coordinator() {
        if (m_coordinators.size() >= 4) {
            m_coordinators.pop_front();
        }
        promotion decisions(m_record, m_names, fmt::format("host-{}", m_next_coordinator++));
        auto actions = decisions.start();
        m_coordinators.push_back({std::move(decisions), std::move(actions), false, {}});
    }

    // Returns a running coordinator whose list is not empty.
    template <class Item>
    coordinator* busy_coordinator(std::uint32_t operand, std::vector<Item> coordinator::*list) {
        for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
            coordinator& candidate = m_coordinators[(operand + i) % m_coordinators.size()];
            if (!candidate.paused && !(candidate.*list).empty()) {
                return &candidate;
            }
        }
        return nullptr;
    }

    // Performs an action. Its answer may be late or lost, and the action may be performed again.
    void perform(std::uint32_t operand) {
        coordinator* found = busy_coordinator(operand, &coordinator::to_perform);
        if (found == nullptr) {
            return;
        }
        coordinator& chosen = *found;
        const std::size_t at = (operand >> 4U) % chosen.to_perform.size();
        const promotion_action action = chosen.to_perform[at];
        const bool lost = (operand >> 12U) % 8 == 0;
        const bool performed_again = (operand >> 15U) % 8 == 0;
        if (!performed_again) {
            chosen.to_perform.erase(chosen.to_perform.begin() + static_cast<std::ptrdiff_t>(at));
        }
        auto outcome = apply(action);
        if (lost) {
            outcome.result = action_result::unknown;
            outcome.report.reset();
        }
        chosen.to_deliver.push_back(std::move(outcome));
    }

    void deliver(std::uint32_t operand) {
        coordinator* found = busy_coordinator(operand, &coordinator::to_deliver);
        if (found == nullptr) {
            return;
        }
        coordinator& chosen = *found;
        const auto outcome = chosen.to_deliver.front();
        chosen.to_deliver.erase(chosen.to_deliver.begin());
        auto next = chosen.decisions.on_result(outcome.action, outcome.result, outcome.report,
                                               outcome.version);
        chosen.to_perform.insert(chosen.to_perform.end(), next.begin(), next.end());
    }

    coordinator::outcome apply(const promotion_action& action) {
        using kind = promotion_action::kind;
        coordinator::outcome outcome{action, action_result::done, std::nullopt, 0};
        if (action.what == kind::write_record) {
            if (m_record.version != action.version) {
                outcome.result = action_result::refused;
                return outcome;
            }
            m_record = {action.version + 1, action.record};
            outcome.version = m_record.version;
            check();
            return outcome;
        }
        instance& target = m_instances[index_of(action.upstream)];
        if (!target.up) {
            outcome.result = action_result::unknown;
            return outcome;
        }
        const bool needs_own = action.what == kind::promote || action.what == kind::write_term;
        const bool refused =
            target.token.term > action.term || (needs_own && target.token.term != action.term);
        if (refused && m_rules.refuse_lower_term) {
            outcome.result = action_result::refused;
            return outcome;
        }
        target.token.term = action.term;
        execute(target, action, outcome);
        return outcome;
    }

    void execute(instance& target, const promotion_action& action, coordinator::outcome& outcome) {
        using kind = promotion_action::kind;
        switch (action.what) {
        case kind::detach: {
            target.following.reset();
            target.token = token_after_detach(target.token, target.last_term(), action.term);
            log_position last{target.last_term(), target.log.size()};
            last.offset = end_of_earlier_terms(target.token, last);
            const bool pending = target.primary && last.term < target.token.pending_term;
            outcome.report =
                detach_report{action.upstream, last, !target.primary, pending, target.terms()};
            break;
        }
        case kind::promote:
            target.following.reset();
            target.token = token_with_pending_term(target.token, target.last_term(), action.term,
                                                   action.start);
            if (!target.primary) {
                target.primary = true;
                target.log.push_back({action.term, --m_next_internal, record_kind::internal, 0});
                target.log.push_back({action.term, --m_next_internal, record_kind::internal, 0});
            }
            break;
        case kind::write_term:
            if (!target.primary) {
                outcome.result = action_result::unknown;
            } else if (target.last_term() < action.term) {
                target.log.push_back({action.term, 0, record_kind::term, action.start});
            }
            break;
        case kind::attach:
            if (!target.primary) {
                target.following = index_of(action.target);
                const std::uint64_t start =
                    m_rules.token_names_first_missing_term
                        ? end_of_recorded_terms(action.terms, target.last_term(), action.start)
                        : action.start;
                target.token =
                    token_with_pending_term(target.token, target.last_term(), action.term, start);
            }
            break;
        case kind::write_record:
            break;
        }
    }

    void record_known(const group_record& agreed) {
        if (agreed.ready() && (m_known.empty() || m_known.back() != agreed)) {
            m_known.push_back(agreed);
        }
    }

    // The check that a host runs on a connection before it writes there.
    static bool is_primary_of(const instance& target, const group_record& view) {
        return target.up && target.primary && target.last_term() == view.ready_term &&
               target.token.pending_term <= view.ready_term;
    }

    void write(std::uint32_t operand) {
        const group_record& agreed = m_record.record;
        // A host that has not received the latest record writes at an earlier primary.
        record_known(agreed);
        if (m_known.empty()) {
            return;
        }
        const group_record& view =
            m_known[(operand >> 2U) % 4 == 0 ? operand % m_known.size() : m_known.size() - 1];
        instance& target = m_instances[index_of(view.primary)];
        if (!is_primary_of(target, view)) {
            return;
        }
        target.log.push_back({view.ready_term, ++m_next_write, record_kind::write, 0});
        const auto ticket = m_tracker.add({view.ready_term, target.log.size()}, time_point());
        m_tickets[ticket] = m_next_write;
    }

    void replicate(std::size_t replica) {
        instance& target = m_instances[replica];
        if (!target.up || !target.following) {
            return;
        }
        const instance& source = m_instances[*target.following];
        if (!source.up || !source.primary) {
            return;
        }
        std::size_t common = 0;
        while (common < target.log.size() && common < source.log.size() &&
               target.log[common] == source.log[common]) {
            ++common;
        }
        // The part of the log that diverges from the source's is discarded.
        target.log.resize(common);
        const std::size_t end = std::min(source.log.size(), common + 2);
        for (std::size_t i = common; i < end; ++i) {
            target.log.push_back(source.log[i]);
        }
    }

    // A host queries the primary's replication view; the answer may arrive late.
    void query_view(std::uint32_t operand) {
        if (m_known.empty()) {
            return;
        }
        const group_record& view =
            m_known[(operand >> 2U) % 4 == 0 ? operand % m_known.size() : m_known.size() - 1];
        const std::size_t at = index_of(view.primary);
        const instance& source = m_instances[at];
        if (!is_primary_of(source, view)) {
            return;
        }
        replication_view answer{
            view.ready_term, source.token.term, source.log.size(), source.terms(), {}};
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            const instance& replica = m_instances[i];
            const bool prefix =
                replica.log.size() <= source.log.size() &&
                std::equal(replica.log.begin(), replica.log.end(), source.log.begin());
            if (i != at && replica.following == at && prefix) {
                answer.replicas.push_back({m_names[i], replica.token.term, replica.log.size()});
            }
        }
        m_views.push_back(std::move(answer));
    }

    void confirm(std::uint32_t operand) {
        if (m_views.empty()) {
            return;
        }
        const std::size_t at = operand % m_views.size();
        for (const auto& decided : m_tracker.apply(m_views[at])) {
            const int write = m_tickets[decided.ticket];
            if (decided.verdict == confirmation_verdict::confirmed) {
                m_acknowledged.insert(write);
            }
        }
        m_views.erase(m_views.begin() + static_cast<std::ptrdiff_t>(at));
        check();
    }

    void crash_or_recover(std::size_t at, std::uint32_t operand) {
        instance& target = m_instances[at];
        target.up = !target.up || operand % 8 != 0;
        // The supervisor restarts an old primary as a replica that follows no primary yet.
        const group_record& agreed = m_record.record;
        const bool unpublished =
            target.last_term() > agreed.ready_term || target.token.pending_term > agreed.ready_term;
        if (target.up && target.primary && m_names[at] != agreed.primary && !unpublished) {
            target.primary = false;
            target.following.reset();
        }
        // A host attaches a replica that does not follow the agreed primary.
        if (target.up && !target.primary && agreed.ready() &&
            target.token.term <= agreed.ready_term && operand % 2 == 0) {
            const instance& primary = m_instances[index_of(agreed.primary)];
            const std::uint64_t start =
                m_rules.token_names_first_missing_term
                    ? end_of_recorded_terms(primary.terms(), target.last_term(),
                                            start_of_term(agreed))
                    : start_of_term(agreed);
            target.token =
                token_with_pending_term(target.token, target.last_term(), agreed.ready_term, start);
            target.following = index_of(agreed.primary);
        }
    }

    std::uint64_t start_of_term(const group_record& agreed) const {
        for (const auto& item : m_instances[index_of(agreed.primary)].log) {
            if (item.kind == record_kind::term && item.term == agreed.ready_term) {
                return item.start;
            }
        }
        return 0;
    }

    bool run_promotion() {
        start_coordinator();
        coordinator& latest = m_coordinators.back();
        for (int i = 0; i < 200 && !latest.to_perform.empty(); ++i) {
            const promotion_action action = latest.to_perform.front();
            latest.to_perform.erase(latest.to_perform.begin());
            const auto outcome = apply(action);
            crash_or_recover(static_cast<std::size_t>(i) % m_instances.size(), 1);
            for (auto& item : m_instances) {
                item.up = true;
            }
            auto next =
                latest.decisions.on_result(action, outcome.result, outcome.report, outcome.version);
            latest.to_perform.insert(latest.to_perform.end(), next.begin(), next.end());
        }
        return latest.decisions.succeeded();
    }

    /// Checks the invariant that holds at any time: the agreed primary of a ready term has each
    /// acknowledged write exactly once.
    void check() const {
        const group_record& agreed = m_record.record;
        if (!agreed.ready()) {
            return;
        }
        std::map<int, int> copies;
        for (const auto& item : m_instances[index_of(agreed.primary)].log) {
            copies[item.write] += item.kind == record_kind::write ? 1 : 0;
        }
        for (const int write : m_acknowledged) {
            if (copies[write] != 1) {
                throw invariant_violation(fmt::format(
                    "expected acknowledged write {} once at {} in term {}, found it {} times",
                    write, agreed.primary, agreed.ready_term, copies[write]));
            }
        }
    }

    instance_rules m_rules;
    std::vector<std::string> m_names;
    std::vector<instance> m_instances;
    versioned_record m_record;
    std::deque<coordinator> m_coordinators;
    std::vector<group_record> m_known;
    confirmation_tracker m_tracker;
    std::map<std::uint64_t, int> m_tickets;
    std::vector<replication_view> m_views;
    std::set<int> m_acknowledged;
    int m_next_coordinator = 1;
    int m_next_write = 0;
    int m_next_internal = 0;
};

} // namespace bronzeplank::model
