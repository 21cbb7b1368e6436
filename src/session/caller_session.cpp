#include "session/caller_session.hpp"

#include "runtime/log.hpp"

#include <algorithm>

namespace bronzeplank {

namespace {

constexpr int most_tries = 5;
// What can't be offered to an instance in this part of its objective is refused, while the
// caller still has time to try again.
constexpr int patience_divisor = 4;
// Between two tries at a group whose primary is being replaced.
constexpr std::chrono::milliseconds pause_between_tries{15};
constexpr std::size_t most_values = 256;
constexpr std::size_t most_prepared = 1024;

error_kind refusal_of(upstream_result result) {
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

void caller_session::open() const {
    m_service.authenticate(m_service.route_of(m_database), m_credential);
}

void caller_session::end() {
    m_ended = true;
    m_answered = nullptr;
    m_pause.cancel();
    abort_transaction();
}

void caller_session::ask(statement asked, handler answered) {
    m_answered = std::move(answered);
    const bool ends =
        asked.kind == statement_kind::commit || asked.kind == statement_kind::rollback;
    if (m_state == session_state::failed && !ends) {
        fail(error_kind::malformed_request, "the transaction has failed and must be ended");
        return;
    }
    try {
        switch (asked.kind) {
        case statement_kind::begin:
            begin(asked);
            return;
        case statement_kind::commit:
        case statement_kind::rollback:
            finish_transaction(asked);
            return;
        case statement_kind::set_value:
            if (m_values.size() >= most_values && !m_values.contains(asked.name)) {
                throw request_error(error_kind::too_large, "the session has too many values");
            }
            m_values[asked.name] = asked.argument;
            complete();
            return;
        case statement_kind::prepare:
            if (m_prepared.size() >= most_prepared && !m_prepared.contains(asked.name)) {
                throw request_error(error_kind::too_large, "too many prepared statements");
            }
            m_prepared[asked.name] = asked.shape;
            complete();
            return;
        case statement_kind::forget_prepared:
            m_prepared.erase(asked.name);
            complete();
            return;
        case statement_kind::read:
        case statement_kind::write:
        case statement_kind::execute:
            start_statement(std::move(asked));
            return;
        case statement_kind::unknown:
            break;
        }
        throw request_error(error_kind::malformed_request, "the statement is not understood");
    } catch (const request_error& error) {
        fail(error.kind(), error.what());
    }
}

void caller_session::start_operation(bool read_only) {
    const database_route& route = m_service.route_of(m_database);
    const std::string workspace = m_service.authenticate(route, m_credential);
    if (!m_service.admit(workspace)) {
        throw request_error(error_kind::rate_limited, "the workspace has used up its rate");
    }
    m_operation = {route, workspace, read_only, std::nullopt, std::nullopt, false};
}

void caller_session::begin(const statement& asked) {
    if (m_state != session_state::idle) {
        throw request_error(error_kind::malformed_request, "a transaction is open already");
    }
    start_operation(asked.read_only);
    m_state = session_state::in_transaction;
    complete();
}

void caller_session::finish_transaction(const statement& asked) {
    if (m_state == session_state::idle) {
        throw request_error(error_kind::malformed_request, "no transaction is open");
    }
    if (asked.kind == statement_kind::rollback) {
        abort_transaction();
        m_state = session_state::idle;
        complete();
        return;
    }
    if (m_state == session_state::failed) {
        m_state = session_state::idle;
        fail(error_kind::transaction_aborted, "the transaction had failed; nothing is kept");
        return;
    }
    start_statement(asked);
}

// An execution runs the shape that this session has prepared under the name.
bool caller_session::resolve_prepared(statement& asked) {
    if (asked.kind != statement_kind::execute) {
        return true;
    }
    const auto found = m_prepared.find(asked.name);
    if (found == m_prepared.end()) {
        return false;
    }
    asked.shape = found->second;
    return true;
}

void caller_session::start_statement(statement asked) {
    if (!resolve_prepared(asked)) {
        throw request_error(error_kind::unknown_statement, "no such prepared statement");
    }
    const bool alone = m_state == session_state::idle;
    if (alone) {
        const bool reads = asked.kind == statement_kind::read ||
                           (asked.kind == statement_kind::execute && !asked.shape.writes);
        start_operation(reads);
    }
    m_attempt = {
        std::move(asked), event_loop::now(), 0, {}, !alone && !m_operation.place.has_value()};
    if (m_attempt.opens_transaction || alone) {
        place();
    } else {
        send(*m_operation.place);
    }
}

bool caller_session::must_write() const {
    return !m_operation.read_only;
}

std::optional<statement_target> caller_session::choose_target() {
    const bool at_primary =
        must_write() || m_operation.route.consistency == read_consistency::strict;
    if (!at_primary) {
        const bool own = m_operation.route.consistency == read_consistency::read_your_writes;
        return m_service.place_read(m_operation.route, own ? m_written : std::nullopt,
                                    m_attempt.avoided);
    }
    // A statement of its own that writes reads nothing; in a transaction it may be followed by
    // reads, which see the log as of its begin.
    const bool reads = m_operation.read_only || m_attempt.opens_transaction;
    const bool commits = m_attempt.asked.kind == statement_kind::commit;
    return m_service.place_at_primary(m_operation.route, reads && !commits);
}

void caller_session::place() {
    const auto target = choose_target();
    if (!target) {
        retry_or_refuse({}, upstream_result::unsent);
        return;
    }
    send(*target);
}

void caller_session::send(const statement_target& target) {
    ++m_attempt.tries;
    m_operation.writes |=
        m_attempt.asked.kind == statement_kind::write ||
        (m_attempt.asked.kind == statement_kind::execute && m_attempt.asked.shape.writes);
    upstream_work work;
    work.group = m_operation.route.group;
    work.instance = target.instance;
    work.workspace = m_operation.workspace;
    work.what = m_attempt.asked;
    work.values.assign(m_values.begin(), m_values.end());
    work.at_least = target.at_least;
    work.strict = target.strict && !m_operation.place;
    work.read_only_work = m_operation.read_only;
    work.priority = m_operation.route.priority;
    work.objective_left =
        std::max<duration>(m_operation.route.latency_objective - elapsed(), duration(0));
    work.time_left = m_operation.route.statement_timeout - elapsed();
    if (m_state == session_state::in_transaction) {
        if (m_attempt.opens_transaction) {
            m_operation.transaction = m_service.new_transaction();
            m_operation.place = target;
            work.strict = target.strict;
        }
        work.transaction = m_operation.transaction;
        work.opens_transaction = m_attempt.opens_transaction;
        work.read_only_transaction = m_operation.read_only;
    }
    m_service.run(target, work,
                  [self = shared_from_this(), target](const statement_answer& answer) {
                      if (!self->m_ended) {
                          self->take(target, answer);
                      }
                  });
}

void caller_session::take(const statement_target& target, const statement_answer& answer) {
    if (answer.result == upstream_result::done) {
        succeed(answer);
        return;
    }
    const bool first = m_attempt.opens_transaction || m_state == session_state::idle;
    const bool reads = m_operation.read_only;
    const bool may_repeat =
        promises_not_run(answer.result) || (reads && answer.result != upstream_result::timed_out);
    if (first && may_repeat) {
        abort_transaction();
        retry_or_refuse(target, answer.result);
        return;
    }
    give_up(answer.result);
}

void caller_session::retry_or_refuse(const statement_target& target, upstream_result result) {
    const bool in_time = elapsed() * patience_divisor < m_operation.route.latency_objective;
    const bool at_primary =
        must_write() || m_operation.route.consistency == read_consistency::strict;
    // Work that was given back by an instance that lost the lead goes on to the new primary.
    if (result == upstream_result::not_primary && at_primary && m_attempt.tries < most_tries) {
        const auto successor = choose_target();
        if (successor && successor->instance != target.instance) {
            send(*successor);
            return;
        }
    }
    if (!in_time || m_attempt.tries >= most_tries) {
        give_up(result);
        return;
    }
    if (!at_primary) {
        const bool elsewhere = m_attempt.avoided.insert(target.instance).second;
        if (elsewhere && !target.instance.empty()) {
            place();
            return;
        }
    }
    if (result == upstream_result::overloaded) {
        give_up(result);
        return;
    }
    m_attempt.avoided.clear();
    m_pause = m_service.loop().after(pause_between_tries, [this] { place(); });
}

// Ends the statement, and with it its transaction, with the truth on whether it ran.
void caller_session::give_up(upstream_result result) {
    const statement& asked = m_attempt.asked;
    const bool in_transaction = m_state == session_state::in_transaction;
    const bool commits = asked.kind == statement_kind::commit;
    const std::string reason(to_string(result));
    observe(reason);
    const bool may_have_run = !promises_not_run(result);
    // A transaction that wrote nothing keeps nothing, whatever became of its commit.
    const bool decided = in_transaction ? commits && m_operation.writes : must_write();
    if (may_have_run && decided) {
        log(log_event::operation_in_doubt, {{"id", asked.id},
                                            {"workspace", m_operation.workspace},
                                            {"group", m_operation.route.group},
                                            {"reason", reason}});
        abort_transaction();
        m_state = session_state::idle;
        const bool failed = result == upstream_result::failed && !commits;
        fail(failed ? error_kind::statement_failed : error_kind::outcome_unknown, reason);
        return;
    }
    log(log_event::operation_refused,
        {{"id", asked.id},
         {"workspace", m_operation.workspace},
         {"group", m_operation.route.group},
         {"instance", m_operation.place ? m_operation.place->instance : ""},
         {"tries", std::to_string(m_attempt.tries)},
         {"waited_ms", std::to_string(to_milliseconds(elapsed()))},
         {"reason", reason}});
    if (in_transaction) {
        abort_transaction();
        // A commit ends its transaction, also when it fails.
        m_state = commits ? session_state::idle : session_state::failed;
        const bool first = m_attempt.opens_transaction;
        fail(first && !may_have_run ? refusal_of(result) : error_kind::transaction_aborted, reason);
        return;
    }
    if (!may_have_run) {
        fail(refusal_of(result), reason);
    } else if (result == upstream_result::failed) {
        fail(error_kind::statement_failed, reason);
    } else {
        fail(error_kind::deadline_exceeded, reason);
    }
}

void caller_session::succeed(const statement_answer& answer) {
    const bool commits = m_attempt.asked.kind == statement_kind::commit;
    const bool alone = m_state == session_state::idle;
    observe("done");
    if (commits || alone) {
        // Positions of a read that wrote nothing do no harm, but would tie reads to fresh replicas.
        if (must_write() && answer.position != log_position{}) {
            m_written = std::max(m_written.value_or(log_position{}), answer.position);
            m_service.observer.acknowledged(m_operation.route.group, answer.position);
        }
        m_state = session_state::idle;
        m_operation.place.reset();
        m_operation.transaction.reset();
    }
    session_answer given;
    given.rows = answer.rows;
    given.signature = answer.signature;
    this->answer(std::move(given));
}

void caller_session::observe(std::string_view outcome) const {
    request_class what = must_write() ? request_class::write : request_class::read;
    if (m_state != session_state::idle) {
        what = request_class::transaction;
    }
    m_service.observer.answered(m_operation.workspace, what, outcome, elapsed());
}

void caller_session::abort_transaction() {
    if (m_operation.place && m_operation.transaction) {
        m_service.end_transaction(*m_operation.place, *m_operation.transaction);
    }
    m_operation.place.reset();
    m_operation.transaction.reset();
}

void caller_session::answer(session_answer given) {
    given.state = m_state;
    if (const auto answered = std::exchange(m_answered, nullptr)) {
        answered(given);
    }
}

void caller_session::fail(error_kind kind, const std::string& message) {
    if (m_state == session_state::in_transaction) {
        abort_transaction();
        m_state = session_state::failed;
    }
    session_answer given;
    given.error = kind;
    given.message = message;
    answer(std::move(given));
}

} // namespace bronzeplank
