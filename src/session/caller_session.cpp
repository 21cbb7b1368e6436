#include "session/caller_session.hpp"

#include "runtime/limit_log.hpp"
#include "runtime/log.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

constexpr int max_attempts = 5;
// A statement that can't be placed within this fraction of its latency objective fails, so that the
// caller has time left to retry.
constexpr int retry_window_divisor = 4;
// Delay between two attempts while the group has no usable primary, as during a failover.
constexpr std::chrono::milliseconds retry_delay{15};
constexpr std::size_t max_session_values = 256;
constexpr std::size_t max_prepared_statements = 1024;

constexpr const char* stopping_message = "the host is stopping";

error_kind error_for(upstream_result result) {
    switch (result) {
    case upstream_result::behind:
        return error_kind::not_fresh;
    case upstream_result::not_primary:
        return error_kind::no_primary;
    default:
        return error_kind::overloaded;
    }
}

} // namespace

caller_session::caller_session(session_service& service, std::string database,
                               std::string credential)
    : m_service(service), m_database(std::move(database)), m_credential(std::move(credential)) {}

caller_session::~caller_session() {
    abort_transaction();
}

void caller_session::authenticate() const {
    m_service.authenticate(m_service.route_of(m_database), m_credential);
}

void caller_session::close() {
    m_closed = true;
    m_handler = nullptr;
    m_retry_timer.cancel();
    m_hedge_timer.cancel();
    drop_outstanding();
    abort_transaction();
}

// The gateways need not run what nobody waits for.
void caller_session::drop_outstanding() {
    for (const auto& [key, target] : std::exchange(m_pending.outstanding, {})) {
        m_service.drop_work(target, key);
    }
}

void caller_session::interrupt() {
    if (!m_handler) {
        return;
    }
    m_retry_timer.cancel();
    m_closed = true;
    // If this host's own gateway still has the statement in its queue, it answers at once.
    drop_outstanding();
    error_kind kind = error_kind::stopping;
    if (m_pending.sent) {
        kind =
            pending_changes_data() ? error_kind::outcome_unknown : error_kind::transaction_aborted;
    }
    end_statement(m_pending.sent, kind, stopping_message);
}

void caller_session::submit(statement request, handler on_answer) {
    m_handler = std::move(on_answer);
    const bool ends =
        request.kind == statement_kind::commit || request.kind == statement_kind::rollback;
    if (m_state == session_state::failed && !ends) {
        fail(error_kind::malformed_request,
             "the transaction has failed; only COMMIT or ROLLBACK is accepted");
        return;
    }
    if (m_service.stops_transactions() && m_state == session_state::in_transaction && !ends) {
        fail(error_kind::transaction_aborted, stopping_message);
        return;
    }
    try {
        switch (request.kind) {
        case statement_kind::begin:
            begin_transaction(request);
            return;
        case statement_kind::commit:
        case statement_kind::rollback:
            finish_transaction(request);
            return;
        case statement_kind::set_value:
            set_value(request);
            complete();
            return;
        case statement_kind::prepare:
            prepare(request);
            complete();
            return;
        case statement_kind::deallocate:
            deallocate(request.name);
            complete();
            return;
        case statement_kind::read:
        case statement_kind::write:
        case statement_kind::execute:
            start_statement(std::move(request));
            return;
        case statement_kind::unknown:
            break;
        }
        throw request_error(error_kind::malformed_request, "the statement is not recognized");
    } catch (const request_error& error) {
        fail(error.kind(), error.what());
    }
}

// The number of entries doesn't bound their bytes: each may have almost the length of a line.
void caller_session::check_room(std::size_t added, std::size_t removed) const {
    const std::size_t held = held_bytes() - removed + added;
    if (held > m_service.limits.session_bytes) {
        record_limit(limit_kind::session_bytes, held);
        throw request_error(error_kind::too_large,
                            "the session's values and prepared statements are too large");
    }
    if (added > removed && m_service.limits.has_room &&
        !m_service.limits.has_room(added - removed)) {
        record_limit(limit_kind::session_bytes, held);
        throw request_error(error_kind::overloaded, "the host's sessions hold too much");
    }
}

void caller_session::set_value(const statement& request) {
    const auto found = m_values.find(request.name);
    if (m_values.size() >= max_session_values && found == m_values.end()) {
        throw request_error(error_kind::too_large, "the session has too many values");
    }
    const std::size_t added = request.name.size() + request.argument.size();
    const std::size_t removed =
        found == m_values.end() ? 0 : found->first.size() + found->second.size();
    check_room(added, removed);
    m_values[request.name] = request.argument;
    m_value_bytes += added - removed;
}

void caller_session::prepare(const statement& request) {
    const auto found = m_prepared.find(request.name);
    if (m_prepared.size() >= max_prepared_statements && found == m_prepared.end()) {
        throw request_error(error_kind::too_large, "the session has too many prepared statements");
    }
    const std::size_t added = request.name.size() + request.shape.text.size();
    const std::size_t removed =
        found == m_prepared.end() ? 0 : found->first.size() + found->second.text.size();
    check_room(added, removed);
    m_prepared[request.name] = request.shape;
    m_prepared_bytes += added - removed;
}

void caller_session::deallocate(const std::string& name) {
    const auto found = m_prepared.find(name);
    if (found != m_prepared.end()) {
        m_prepared_bytes -= found->first.size() + found->second.text.size();
        m_prepared.erase(found);
    }
}

void caller_session::start_operation(bool read_only) {
    const database_route& route = m_service.route_of(m_database);
    const std::string workspace = m_service.authenticate(route, m_credential);
    if (!m_service.admit(workspace)) {
        throw request_error(error_kind::rate_limited, "the workspace has exceeded its rate limit");
    }
    m_operation = {route,
                   workspace,
                   read_only,
                   std::nullopt,
                   std::nullopt,
                   false,
                   std::make_shared<bool>(false)};
}

void caller_session::begin_transaction(const statement& request) {
    if (m_state != session_state::idle) {
        throw request_error(error_kind::malformed_request, "a transaction is already open");
    }
    if (m_service.stops_transactions()) {
        throw request_error(error_kind::stopping, stopping_message);
    }
    start_operation(request.read_only);
    m_state = session_state::in_transaction;
    complete();
}

void caller_session::finish_transaction(const statement& request) {
    if (m_state == session_state::idle) {
        throw request_error(error_kind::malformed_request, "no transaction is open");
    }
    if (request.kind == statement_kind::rollback) {
        abort_transaction();
        m_state = session_state::idle;
        complete();
        return;
    }
    if (m_state == session_state::failed) {
        m_state = session_state::idle;
        fail(error_kind::transaction_aborted, "the transaction had failed; nothing was committed");
        return;
    }
    start_statement(request);
}

// Replaces the shape of an execution by the one that this session has prepared under its name.
bool caller_session::resolve_prepared(statement& request) {
    if (request.kind != statement_kind::execute) {
        return true;
    }
    const auto found = m_prepared.find(request.name);
    if (found == m_prepared.end()) {
        return false;
    }
    request.shape = found->second;
    return true;
}

void caller_session::start_statement(statement request) {
    if (!resolve_prepared(request)) {
        throw request_error(error_kind::unknown_statement, "the prepared statement does not exist");
    }
    const bool autocommit = m_state == session_state::idle;
    if (autocommit) {
        const bool reads = request.kind == statement_kind::read ||
                           (request.kind == statement_kind::execute && !request.shape.writes);
        start_operation(reads);
    }
    m_pending = {std::move(request),
                 event_loop::now(),
                 0,
                 {},
                 !autocommit && !m_operation.target.has_value(),
                 false,
                 {},
                 false};
    m_service.retries().record_statement(m_pending.received_at);
    if (m_pending.opens_transaction || autocommit) {
        dispatch();
    } else {
        send(*m_operation.target);
    }
}

bool caller_session::may_write() const {
    return !m_operation.read_only;
}

// Whether the pending statement may change data that is kept. A transaction without writes changes
// none, whatever the outcome of its commit.
bool caller_session::pending_changes_data() const {
    if (m_state != session_state::in_transaction) {
        return may_write();
    }
    return m_pending.request.kind == statement_kind::commit && m_operation.has_written;
}

// An instance completes the commit of a transaction that has written nothing although it has lost
// the lead: such a commit shows nothing about the primary, and has nothing to be confirmed.
bool caller_session::is_read_only_work() const {
    const bool commits = m_pending.request.kind == statement_kind::commit;
    return m_operation.read_only || (commits && !m_operation.has_written);
}

bool caller_session::at_primary() const {
    return may_write() || m_operation.route.consistency == read_consistency::strict;
}

std::optional<statement_target> caller_session::choose_target() {
    if (!at_primary()) {
        const bool own = m_operation.route.consistency == read_consistency::read_your_writes;
        return m_service.place_read(m_operation.route, own ? m_last_write : std::nullopt,
                                    m_pending.excluded);
    }
    // An autocommit write reads no data. A write that opens a transaction may be followed by reads
    // that see the state as of the transaction's begin.
    const bool reads = m_operation.read_only || m_pending.opens_transaction;
    const bool commits = m_pending.request.kind == statement_kind::commit;
    return m_service.place_at_primary(m_operation.route, reads && !commits);
}

void caller_session::dispatch() {
    const auto target = choose_target();
    if (!target) {
        retry_or_fail({}, upstream_result::unsent);
        return;
    }
    send(*target);
}

void caller_session::send(const statement_target& target) {
    ++m_pending.attempts;
    m_pending.sent = true;
    m_operation.has_written |=
        m_pending.request.kind == statement_kind::write ||
        (m_pending.request.kind == statement_kind::execute && m_pending.request.shape.writes);
    upstream_work work;
    work.key = m_service.new_work();
    work.weight = m_service.weight_of(m_operation.workspace);
    work.group = m_operation.route.group;
    work.instance = target.instance;
    work.workspace = m_operation.workspace;
    work.request = m_pending.request;
    work.values.assign(m_values.begin(), m_values.end());
    work.min_position = target.min_position;
    work.strict = target.strict && !m_operation.target;
    work.read_only_work = is_read_only_work();
    work.priority = m_operation.route.priority;
    work.objective_left =
        std::max<duration>(m_operation.route.latency_objective - elapsed(), duration(0));
    work.time_left = m_operation.route.statement_timeout - elapsed();
    if (m_state == session_state::in_transaction) {
        if (m_pending.opens_transaction) {
            m_operation.transaction = m_service.new_transaction();
            m_operation.target = target;
            work.strict = target.strict;
        }
        work.transaction = m_operation.transaction;
        work.opens_transaction = m_pending.opens_transaction;
        work.read_only_transaction = m_operation.read_only;
    }
    const bool first = !work.transaction || work.opens_transaction;
    const time_point sent_at = event_loop::now();
    if (first && m_service.observer.operation_sent) {
        m_service.observer.operation_sent(sent_at);
    }
    m_pending.outstanding.emplace(work.key, target);
    const bool hedges = m_service.shares_slots_fairly() && m_state == session_state::idle &&
                        !at_primary() && !m_pending.hedged;
    if (hedges) {
        hedge_if_silent(work.key, sent_at);
    }
    m_service.run(target, work,
                  [self = shared_from_this(), key = work.key, first, sent_at,
                   workspace = m_operation.workspace,
                   began = m_operation.began](const statement_answer& answer) {
                      if (first) {
                          self->record_beginning({workspace, sent_at, began}, answer.result);
                      }
                      if (!self->m_closed) {
                          self->handle_answer(key, answer);
                      } else if (guarantees_not_run(answer.result)) {
                          self->m_pending.sent = false;
                      }
                  });
}

// A statement without an answer usually has not reached an upstream: most are lost with a
// partitioned gateway. The answer may be that of a hedged read whose operation has ended.
void caller_session::record_beginning(const sent_operation& sent, upstream_result result) {
    const bool runs = !guarantees_not_run(result) && result != upstream_result::unanswered;
    const bool began = runs && !*sent.began;
    *sent.began = *sent.began || runs;
    if (m_service.observer.operation_answered) {
        m_service.observer.operation_answered(sent.workspace, sent.sent_at, began);
    }
}

// Waits until the gateway has been silent for longer than usual, and then sends the read once more.
void caller_session::hedge_if_silent(const work_key& key, time_point sent_at) {
    const auto found = m_pending.outstanding.find(key);
    if (found == m_pending.outstanding.end()) {
        return;
    }
    const std::string& gateway = found->second.gateway;
    const duration silence = event_loop::now() - m_service.silent_since(gateway, sent_at);
    const duration left = m_service.usual_silence(gateway) - silence;
    if (left > duration(0)) {
        m_hedge_timer =
            m_service.loop().after(left, [this, key, sent_at] { hedge_if_silent(key, sent_at); });
        return;
    }
    hedge(key);
}

// The first of the two answers counts. Reads outside transactions only: they change nothing, at
// the instance or for a later statement.
void caller_session::hedge(const work_key& key) {
    const statement_target silent = m_pending.outstanding.at(key);
    m_pending.hedged = true;
    m_pending.excluded.insert(silent.instance);
    if (elapsed() >= m_operation.route.latency_objective || m_pending.attempts >= max_attempts) {
        return;
    }
    const auto other = place_read_elsewhere(silent.gateway);
    if (other && m_service.retries().spend(event_loop::now())) {
        m_service.count_hedged_read();
        send(*other);
    }
}

void caller_session::handle_answer(const work_key& key, const statement_answer& answer) {
    const auto found = m_pending.outstanding.find(key);
    if (found == m_pending.outstanding.end()) {
        return;
    }
    const statement_target target = found->second;
    m_pending.outstanding.erase(found);
    if (answer.result == upstream_result::done) {
        drop_outstanding();
        complete_statement(target.instance, answer);
        return;
    }
    if (!m_pending.outstanding.empty()) {
        // The other one of two hedged reads may still succeed.
        m_pending.excluded.insert(target.instance);
        return;
    }
    const bool first = m_pending.opens_transaction || m_state == session_state::idle;
    const bool reads = m_operation.read_only;
    const bool may_repeat =
        guarantees_not_run(answer.result) || (reads && answer.result != upstream_result::timed_out);
    m_pending.sent = !guarantees_not_run(answer.result);
    if (first && may_repeat) {
        abort_transaction();
        retry_or_fail(target, answer.result);
        return;
    }
    fail_statement(answer.result);
}

// A statement that an instance rejected because it is no longer the primary is sent to the new
// primary without delay.
bool caller_session::send_to_successor(const statement_target& target, upstream_result result) {
    if (result != upstream_result::not_primary || !at_primary() ||
        m_pending.attempts >= max_attempts) {
        return false;
    }
    const auto successor = choose_target();
    if (!successor || successor->instance == target.instance) {
        return false;
    }
    send(*successor);
    return true;
}

void caller_session::retry_or_fail(const statement_target& target, upstream_result result) {
    // Not charged to the retry budget: it happens at most once per change of the primary, and not
    // because of load.
    if (send_to_successor(target, result)) {
        return;
    }
    const bool sent_before = !target.instance.empty();
    if (m_service.shares_slots_fairly() && !at_primary() && sent_before) {
        retry_read_fairly(target, result);
        return;
    }
    const bool within_retry_window =
        elapsed() * retry_window_divisor < m_operation.route.latency_objective;
    if (!within_retry_window || m_pending.attempts >= max_attempts) {
        fail_statement(result);
        return;
    }
    if (!at_primary()) {
        const bool newly_excluded = m_pending.excluded.insert(target.instance).second;
        if (newly_excluded && sent_before) {
            dispatch();
            return;
        }
    }
    if (result == upstream_result::overloaded) {
        fail_statement(result);
        return;
    }
    if (m_service.shares_slots_fairly() && sent_before &&
        !m_service.retries().spend(event_loop::now())) {
        fail_statement(result);
        return;
    }
    m_pending.excluded.clear();
    m_retry_timer = m_service.loop().after(retry_delay, [this] { dispatch(); });
}

// Sends a read that was not answered to another instance, as long as its objective can be met: a
// read may be refused as `behind` only after most of its objective has passed in a queue. Without
// another instance, it waits only for one that may catch up or be reached again.
void caller_session::retry_read_fairly(const statement_target& target, upstream_result result) {
    m_pending.excluded.insert(target.instance);
    const bool in_time = elapsed() < m_operation.route.latency_objective;
    if (!in_time || m_pending.attempts >= max_attempts) {
        fail_statement(result);
        return;
    }
    const auto other = place_read_elsewhere();
    const bool waits = !other && result != upstream_result::overloaded &&
                       elapsed() * retry_window_divisor < m_operation.route.latency_objective;
    if ((!other && !waits) || !m_service.retries().spend(event_loop::now())) {
        fail_statement(result);
        return;
    }
    if (other) {
        send(*other);
        return;
    }
    m_pending.excluded.clear();
    m_retry_timer = m_service.loop().after(retry_delay, [this] { dispatch(); });
}

// Chooses an instance that has not refused the read; the primary only if there is no other, since
// only the primary can serve writes.
std::optional<statement_target>
caller_session::place_read_elsewhere(const std::string& silent_gateway) {
    const bool own = m_operation.route.consistency == read_consistency::read_your_writes;
    const auto written = own ? m_last_write : std::nullopt;
    const auto primary = m_service.place_at_primary(m_operation.route, false);
    for (const bool avoids_primary : {true, false}) {
        std::set<std::string> excluded = m_pending.excluded;
        if (avoids_primary && primary) {
            excluded.insert(primary->instance);
        }
        while (const auto placed = m_service.place_read(m_operation.route, written, excluded)) {
            if (!m_pending.excluded.contains(placed->instance) &&
                placed->gateway != silent_gateway) {
                return placed;
            }
            // Without a verified position, reads are placed at the primary regardless.
            if (!excluded.insert(placed->instance).second) {
                break;
            }
        }
    }
    return std::nullopt;
}

// The error tells the caller whether the statement did not run, failed, or has an unknown outcome.
error_kind caller_session::error_after(upstream_result result) const {
    const bool commits = m_pending.request.kind == statement_kind::commit;
    const bool may_have_run = !guarantees_not_run(result);
    if (may_have_run && pending_changes_data()) {
        const bool failed = result == upstream_result::failed && !commits;
        return failed ? error_kind::statement_failed : error_kind::outcome_unknown;
    }
    if (m_state == session_state::in_transaction) {
        const bool never_began = m_pending.opens_transaction && !may_have_run;
        return never_began ? error_for(result) : error_kind::transaction_aborted;
    }
    if (!may_have_run) {
        return error_for(result);
    }
    return result == upstream_result::failed ? error_kind::statement_failed
                                             : error_kind::deadline_exceeded;
}

void caller_session::fail_statement(upstream_result result) {
    end_statement(!guarantees_not_run(result), error_after(result), std::string(to_string(result)));
}

// Ends the pending statement and its transaction without a success.
void caller_session::end_statement(bool may_have_run, error_kind kind, const std::string& reason) {
    const statement& request = m_pending.request;
    record_outcome(reason);
    if (may_have_run && pending_changes_data()) {
        log(log_event::operation_in_doubt, {{"id", request.id},
                                            {"workspace", m_operation.workspace},
                                            {"group", m_operation.route.group},
                                            {"reason", reason}});
    } else {
        log(log_event::operation_refused,
            {{"id", request.id},
             {"workspace", m_operation.workspace},
             {"group", m_operation.route.group},
             {"instance", m_operation.target ? m_operation.target->instance : ""},
             {"tries", std::to_string(m_pending.attempts)},
             {"waited_ms", std::to_string(to_milliseconds(elapsed()))},
             {"reason", reason}});
    }
    // A commit ends its transaction even if the commit fails.
    if (request.kind == statement_kind::commit) {
        abort_transaction();
        m_state = session_state::idle;
    }
    fail(kind, reason);
}

void caller_session::complete_statement(const std::string& instance,
                                        const statement_answer& answer) {
    const bool commits = m_pending.request.kind == statement_kind::commit;
    const bool autocommit = m_state == session_state::idle;
    record_outcome("done");
    if (commits || autocommit) {
        // The position of a read is not recorded: later reads of this session would then need
        // fresher replicas than necessary.
        if (pending_changes_data() && answer.position != log_position{}) {
            m_last_write = std::max(m_last_write.value_or(log_position{}), answer.position);
            // A successor needs no entry that the log had gained after this commit.
            const bool reported = answer.lowest_commit != log_position{};
            m_service.observer.commit_acknowledged(
                m_operation.route.group,
                {m_pending.request.id, instance, reported ? answer.lowest_commit : answer.position,
                 event_loop::now()});
        }
        m_state = session_state::idle;
        m_operation.target.reset();
        m_operation.transaction.reset();
    }
    session_answer result;
    result.rows = answer.rows;
    result.signature = answer.signature;
    this->respond(std::move(result));
}

void caller_session::record_outcome(std::string_view outcome) const {
    request_class kind = may_write() ? request_class::write : request_class::read;
    if (m_state != session_state::idle) {
        kind = request_class::transaction;
    }
    m_service.observer.statement_answered(m_operation.workspace, kind, outcome, elapsed());
}

void caller_session::abort_transaction() {
    if (m_operation.target && m_operation.transaction) {
        m_service.end_transaction(*m_operation.target, *m_operation.transaction);
    }
    m_operation.target.reset();
    m_operation.transaction.reset();
}

void caller_session::respond(session_answer result) {
    m_hedge_timer.cancel();
    result.state = m_state;
    if (const auto on_answer = std::exchange(m_handler, nullptr)) {
        on_answer(result);
    }
}

void caller_session::fail(error_kind kind, const std::string& message) {
    if (m_state == session_state::in_transaction) {
        abort_transaction();
        m_state = session_state::failed;
    }
    session_answer result;
    result.error = kind;
    result.message = message;
    respond(std::move(result));
}

} // namespace bronzeplank
