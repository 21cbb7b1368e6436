#include "bronzeplank/group_roster.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzeplank {

void group_roster::update(const std::map<std::string, listed_member>& listed, time_point now) {
    m_updated_at = now;
    m_started_at = m_started_at.value_or(now);
    for (auto& [id, known] : m_members) {
        known.listed = listed.contains(id);
    }
    for (const auto& [id, seen] : listed) {
        const auto [entry, added] = m_members.try_emplace(id);
        known_member& known = entry->second;
        if (has_restarted(known, seen.born_ms)) {
            add_former_process(id, std::exchange(known, {}), now);
        }
        known.listed = true;
        known.born_ms = seen.born_ms;
        known.leaving = seen.leaving;
        known.last_listed = now;
        known.address = seen.address;
        known.replaced_at.reset();
        known.after_exit = {};
        if (seen.reachable || added) {
            known.last_reachable = now;
        }
    }
    for (const auto& [id, known] : m_members) {
        if (is_obsolete(known, now)) {
            m_left_out[id] = {now, known.born_ms};
        }
    }
    std::erase_if(m_members, [&](const auto& entry) { return is_obsolete(entry.second, now); });
    std::erase_if(m_left_out,
                  [&](const auto& entry) { return now - entry.second.since > unlisted_retention; });
}

std::string group_roster::former_process_id(const std::string& id, std::int64_t born_ms) {
    return fmt::format("{}@{}", id, born_ms);
}

bool group_roster::has_restarted(const known_member& known, std::int64_t born_ms) {
    return known.born_ms != 0 && known.born_ms < born_ms;
}

// Its address is that of the process that runs now.
void group_roster::add_former_process(const std::string& id, const known_member& former,
                                      time_point now) {
    const std::string former_id = former_process_id(id, former.born_ms);
    if (m_left_out.contains(former_id)) {
        return;
    }
    const auto [entry, added] = m_members.try_emplace(former_id);
    if (added) {
        entry->second.born_ms = former.born_ms;
        entry->second.last_listed = now;
        entry->second.last_reachable = now;
        entry->second.replaced_at = now;
    }
}

bool group_roster::is_obsolete(const known_member& known, time_point now) {
    return (has_ended(known) && known.after_exit.settled) ||
           now - known.last_listed > unlisted_retention;
}

// Starts of hosts don't prolong the wait for a member that doesn't come back.
duration group_roster::unlisted_before(const group_members& stored, const std::string& id) {
    const auto found = stored.unlisted_minutes.find(id);
    return std::min<duration>(
        std::chrono::minutes(found == stored.unlisted_minutes.end() ? 0 : found->second),
        unlisted_retention);
}

std::int64_t group_roster::stored_start(const group_members& stored, const std::string& id) {
    const auto born = stored.born_ms.find(id);
    return born == stored.born_ms.end() ? 0 : born->second;
}

// The members may have been stored before this host left the instance out.
bool group_roster::is_back(const group_members& stored, const std::string& id,
                           const left_out_member& left_out) {
    const std::int64_t born_ms = stored_start(stored, id);
    if (born_ms != 0 && left_out.born_ms != 0) {
        return born_ms > left_out.born_ms;
    }
    return !stored.leaving.contains(id) && !stored.unlisted_minutes.contains(id);
}

// The host that stored a leaver may have seen it exit; this one counts it as gone once it isn't
// listed.
group_roster::known_member group_roster::member_of(const group_members& stored,
                                                   const std::string& id, time_point now) {
    known_member member;
    member.leaving = stored.leaving.contains(id);
    member.last_listed = now - unlisted_before(stored, id);
    member.last_reachable = member.last_listed;
    member.born_ms = stored_start(stored, id);
    if (const auto address = stored.addresses.find(id); address != stored.addresses.end()) {
        member.address = address->second;
    }
    return member;
}

void group_roster::merge(const group_members& stored, time_point now) {
    for (const auto& id : stored.members) {
        const std::int64_t born_ms = stored_start(stored, id);
        const auto present = m_members.find(id);
        const auto left_out = m_left_out.find(id);
        if (present == m_members.end()) {
            if (left_out == m_left_out.end() || is_back(stored, id, left_out->second)) {
                m_members.emplace(id, member_of(stored, id, now));
            }
        } else if (born_ms != 0 && born_ms < present->second.born_ms) {
            known_member former;
            former.born_ms = born_ms;
            add_former_process(id, former, now);
        } else if (!present->second.listed && has_restarted(present->second, born_ms)) {
            add_former_process(id, std::exchange(present->second, member_of(stored, id, now)), now);
        }
    }
}

// The platform drops the entry of an instance that exits at once, and that of a silent one only
// after several heartbeat intervals. By then, hosts have found the latter unreachable.
bool group_roster::exited(const known_member& known) {
    return !known.listed && known.leaving &&
           known.last_listed - known.last_reachable < detection_time;
}

bool group_roster::has_ended(const known_member& known) {
    return exited(known) || (!known.listed && known.replaced_at);
}

// Only one process at a time listens at an address.
bool group_roster::replaces(const known_member& later, const known_member& known) {
    return later.listed && !known.listed && !known.address.address.empty() &&
           later.address == known.address;
}

bool group_roster::awaits_answers() const {
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const known_member& known = entry.second;
        const bool replaced =
            std::any_of(m_members.begin(), m_members.end(),
                        [&](const auto& other) { return replaces(other.second, known); });
        return replaced || known.replaced_at ||
               (exited(known) && m_updated_at - known.last_listed >= detection_time);
    });
}

bool group_roster::awaits_evidence_of_start() const {
    return !is_complete() && m_started_at && m_updated_at - *m_started_at >= detection_time;
}

void group_roster::take_answer(evidence& target, const std::string& instance,
                               const replication_status& status, bool may_settle) {
    std::optional<primary_report>& report = target.report;
    if (status.role == replication_role::primary) {
        // The first report of a term stays, so that replicas that lag catch up with it.
        if (!report || report->primary.term < status.term) {
            report = {{instance, status.term}, status.received};
        }
    } else if (report && may_settle && instance != report->primary.instance &&
               confirms_leadership(status, report->primary) &&
               status.received >= report->position) {
        target.settled = true;
    }
}

void group_roster::record_answer(const std::string& instance, const replication_status& status,
                                 bool established, time_point requested_at) {
    const auto answering = m_members.find(instance);
    const bool stays =
        answering != m_members.end() && answering->second.listed && !answering->second.leaving;
    const bool may_settle = stays && established;
    if (m_started_at && requested_at - *m_started_at >= detection_time) {
        take_answer(m_before_start, instance, status, may_settle);
    }
    for (auto& [id, known] : m_members) {
        if (answering != m_members.end() && replaces(answering->second, known) &&
            requested_at > known.last_listed) {
            known.replaced_at = known.replaced_at.value_or(requested_at);
        }
        const bool ended = known.replaced_at && requested_at >= *known.replaced_at;
        if (ended || (exited(known) && requested_at - known.last_listed >= detection_time)) {
            take_answer(known.after_exit, instance, status, may_settle);
        }
    }
}

std::set<std::string> group_roster::members() const {
    std::set<std::string> found;
    for (const auto& [id, known] : m_members) {
        found.insert(id);
    }
    return found;
}

std::set<std::string> group_roster::leaving() const {
    std::set<std::string> found;
    for (const auto& [id, known] : m_members) {
        if ((known.leaving && known.listed) || has_ended(known)) {
            found.insert(id);
        }
    }
    return found;
}

std::map<std::string, endpoint> group_roster::addresses() const {
    std::map<std::string, endpoint> found;
    for (const auto& [id, known] : m_members) {
        if (!known.address.address.empty()) {
            found.emplace(id, known.address);
        }
    }
    return found;
}

std::map<std::string, std::int64_t> group_roster::born_ms() const {
    std::map<std::string, std::int64_t> found;
    for (const auto& [id, known] : m_members) {
        if (known.born_ms != 0) {
            found.emplace(id, known.born_ms);
        }
    }
    return found;
}

std::map<std::string, std::int64_t> group_roster::unlisted_minutes() const {
    std::map<std::string, std::int64_t> found;
    for (const auto& [id, known] : m_members) {
        const auto minutes =
            std::chrono::floor<std::chrono::minutes>(m_updated_at - known.last_listed).count();
        if (!known.listed && minutes > 0) {
            found.emplace(id, minutes);
        }
    }
    return found;
}

} // namespace bronzeplank
