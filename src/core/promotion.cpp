#include "bronzeplank/promotion.hpp"

#include "bronzeplank/confirmation.hpp"
#include "bronzeplank/internal/json_reader.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

std::string write_group_record(const group_record& record) {
    return fmt::format(R"({{"term":{},"orderer":{},"ready_term":{},"primary":{},"phase":"{}"}})",
                       record.term, internal::quoted(record.coordinator), record.ready_term,
                       internal::quoted(record.primary), record.ready() ? "ready" : "promoting");
}

group_record read_group_record(std::string_view text) {
    const rapidjson::Document document = internal::parse_json(text);
    auto object = internal::json_node(document, "").object();
    group_record record;
    record.term = static_cast<std::uint64_t>(object.required("term").integer(0, INT64_MAX));
    record.coordinator = object.required("orderer").text();
    record.ready_term =
        static_cast<std::uint64_t>(object.required("ready_term").integer(0, INT64_MAX));
    record.primary = object.required("primary").text();
    // The phase is for readers that parse only part of the record; it is derived from the rest.
    object.required("phase");
    object.finish();
    return record;
}

promotion::promotion(versioned_record current, std::vector<std::string> upstreams,
                     std::string coordinator, std::set<std::string> avoid)
    : m_current(std::move(current)), m_upstreams(std::move(upstreams)), m_avoid(std::move(avoid)),
      m_claim(m_current.record) {
    m_claim.term = m_current.record.term + 1;
    m_claim.coordinator = std::move(coordinator);
}

std::vector<promotion_action> promotion::start() const {
    promotion_action claim;
    claim.what = promotion_action::kind::write_record;
    claim.version = m_current.version;
    claim.record = m_claim;
    return {claim};
}

promotion_action promotion::make_action(promotion_action::kind what,
                                        const std::string& upstream) const {
    promotion_action action;
    action.what = what;
    action.upstream = upstream;
    action.term = m_claim.term;
    const bool attaches = what == promotion_action::kind::attach;
    const auto report = m_reports.find(attaches ? m_candidate : upstream);
    action.target = attaches ? m_candidate : "";
    if (report != m_reports.end()) {
        action.start = report->second.last.offset;
        action.terms = attaches ? report->second.terms : std::vector<term_start>();
    }
    return action;
}

std::vector<promotion_action> promotion::on_result(const promotion_action& action,
                                                   action_result result,
                                                   const std::optional<detach_report>& report,
                                                   std::uint64_t new_version) {
    using kind = promotion_action::kind;
    if (finished()) {
        return {};
    }
    if (action.what == kind::write_record) {
        return after_claim(result, new_version);
    }
    if (result == action_result::refused) {
        // Another coordinator with a higher term is running a promotion.
        m_step = step::abandoned;
        return {};
    }
    if (result == action_result::unknown) {
        // All commands may be retried; a detach is of no use once the candidate is chosen.
        const bool late = action.what == kind::detach && m_step != step::detaching;
        return late ? std::vector<promotion_action>() : std::vector{action};
    }
    if (action.what == kind::detach) {
        return after_detach(action, report);
    }
    if (action.what == kind::promote && m_step == step::promoting) {
        m_step = step::recording;
        return {make_action(kind::write_term, m_candidate)};
    }
    if (action.what == kind::write_term && m_step == step::recording) {
        return after_term_written();
    }
    return {};
}

std::vector<promotion_action> promotion::after_claim(action_result result, std::uint64_t version) {
    if (result != action_result::done) {
        // If the answer was lost, the claim may be in force: the next coordinator claims a higher
        // term.
        m_step = step::abandoned;
        return {};
    }
    if (m_step == step::publishing) {
        m_step = step::done;
        return {};
    }
    m_claimed_version = version;
    m_step = step::detaching;
    std::vector<promotion_action> actions;
    for (const auto& upstream : m_upstreams) {
        actions.push_back(make_action(promotion_action::kind::detach, upstream));
    }
    return actions;
}

std::vector<promotion_action> promotion::after_detach(const promotion_action& action,
                                                      const std::optional<detach_report>& report) {
    if (!report) {
        return m_step == step::detaching ? std::vector{action} : std::vector<promotion_action>();
    }
    if (m_step != step::detaching) {
        // The candidate is already chosen; this replica follows it like the others.
        const bool attaches = action.upstream != m_candidate && report->in_recovery;
        return attaches ? std::vector{make_action(promotion_action::kind::attach, action.upstream)}
                        : std::vector<promotion_action>();
    }
    m_reports[action.upstream] = *report;
    if (!enough_detached() || !first_primary_known()) {
        // Retry: an earlier primary counts once its supervisor has restarted it as a replica.
        const bool retries = !is_fenced(*report) && action.upstream != m_current.record.primary;
        return retries ? std::vector{action} : std::vector<promotion_action>();
    }
    return after_majority();
}

std::vector<promotion_action> promotion::after_majority() {
    m_candidate = choose_candidate();
    m_step = step::promoting;
    std::vector<promotion_action> actions{
        make_action(promotion_action::kind::promote, m_candidate)};
    for (const auto& [upstream, detached] : m_reports) {
        if (upstream != m_candidate && detached.in_recovery) {
            actions.push_back(make_action(promotion_action::kind::attach, upstream));
        }
    }
    return actions;
}

// A detached replica confirms no further writes. A published primary can't be fenced by a command:
// a host that does not know of its successor yet may still write there. An instance that a
// failed coordinator promoted but never published is safe, since no host knows it as a primary.
bool promotion::is_fenced(const detach_report& report) const {
    const bool first_term = m_current.record.ready_term == 0;
    const bool unpublished = report.pending || report.last.term > m_current.record.ready_term;
    const bool recorded_primary = report.upstream == m_current.record.primary;
    return !recorded_primary && (report.in_recovery || unpublished || first_term);
}

bool promotion::enough_detached() const {
    const auto fenced = static_cast<std::size_t>(
        std::count_if(m_reports.begin(), m_reports.end(),
                      [this](const auto& item) { return is_fenced(item.second); }));
    // Any majority that a primary could still get must include a detached instance.
    return fenced >= m_upstreams.size() - majority_of(m_upstreams.size()) + 1;
}

bool promotion::first_primary_known() const {
    // A group's first term goes to the instance that already is its primary, since its writes were
    // acknowledged under other rules than confirmation by a majority.
    const bool first_term = m_current.record.ready_term == 0;
    const bool found = std::any_of(m_reports.begin(), m_reports.end(),
                                   [](const auto& item) { return !item.second.in_recovery; });
    return !first_term || found || m_reports.size() == m_upstreams.size();
}

std::string promotion::choose_candidate() const {
    const detach_report* best = nullptr;
    const auto better = [this](const detach_report& left, const detach_report& right) {
        // Positions compare by term first: an old primary's log may be longer by writes that were
        // never acknowledged.
        const bool first_term = m_current.record.ready_term == 0;
        if (first_term && left.in_recovery != right.in_recovery) {
            return !left.in_recovery;
        }
        if (left.last != right.last) {
            return left.last > right.last;
        }
        if (left.in_recovery != right.in_recovery) {
            return !left.in_recovery;
        }
        return m_avoid.contains(right.upstream) && !m_avoid.contains(left.upstream);
    };
    for (const auto& [upstream, report] : m_reports) {
        if (is_fenced(report) && (best == nullptr || better(report, *best))) {
            best = &report;
        }
    }
    return best->upstream;
}

std::vector<promotion_action> promotion::after_term_written() {
    m_step = step::publishing;
    promotion_action publish;
    publish.what = promotion_action::kind::write_record;
    publish.version = m_claimed_version;
    publish.record = m_claim;
    publish.record.ready_term = m_claim.term;
    publish.record.primary = m_candidate;
    return {publish};
}

} // namespace bronzeplank
