/// \file
/// One gateway's connections to one instance, and the work that waits for it.
#pragma once

#include "bronzeplank/failure_rate.hpp"
#include "bronzeplank/fleet_configuration.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log.hpp"
#include "session/lane_connection.hpp"
#include "session/strict_answer.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <memory>

namespace bronzeplank {

/// How a lane uses its instance.
struct lane_limits {
    /// Connections of this lane, its control connection included.
    int connections = 4;
    /// Statements that wait.
    std::size_t waiting = 256;
    /// An instance that leaves a question about itself unanswered for this long can't be reached.
    duration silence = std::chrono::milliseconds(400);
    /// How often an idle instance is asked, and one that can't be reached.
    duration idle_probe = std::chrono::milliseconds(500);
    /// A transaction without a statement for this long is rolled back.
    duration transaction_idle = std::chrono::seconds(3);
    bool operator==(const lane_limits&) const = default;
};

/// Runs work at one instance. A connection belongs to one workspace; a transaction keeps its
/// connection from its first statement to its end. No more statements run at a time than the
/// instance has slots, and one more, so that a slot doesn't rest for a round trip.
/// Invariants: a connection runs one statement at a time; a statement of a transaction runs on
/// the connection of the transaction's first statement or not at all.
template <upstream_link Link>
class upstream_lane {
public:
    upstream_lane(event_loop& loop, upstream_instance instance, lane_limits limits,
                  primary_proof prove)
        : m_loop(loop), m_instance(std::move(instance)), m_limits(limits),
          m_prove(std::move(prove)), m_waiting(limits.waiting) {}

    /// Answers nothing any more: who asked may be gone already. close() comes before otherwise.
    ~upstream_lane() = default;
    upstream_lane(const upstream_lane&) = delete;
    upstream_lane& operator=(const upstream_lane&) = delete;

    /// Runs the work, or refuses it at once; the handler is called exactly once.
    void run(upstream_work work, answer_handler answered) {
        const time_point now = event_loop::now();
        m_used = now;
        if (work.transaction && !work.opens_transaction) {
            continue_transaction(std::move(work), std::move(answered));
            return;
        }
        const work_urgency urgency{work.priority, now + work.objective_left, now + work.time_left};
        if (!m_reachable) {
            answered({upstream_result::unsent, {}, {}, {}});
            return;
        }
        // What has not ended holds slots already; more of it would end in doubt.
        const bool stalls = stalled() && !work.read_only_work;
        if (stalls || !m_waiting.admits(urgency, now, m_work_time, m_instance.slots)) {
            answered({upstream_result::overloaded, {}, {}, {}});
            return;
        }
        m_waiting.push({std::move(work), std::move(answered), urgency, now}, urgency);
        pump();
    }

    /// Rolls the transaction back, if it is open here.
    void end_transaction(const transaction_key& key) {
        if (const auto found = m_transactions.find(key); found != m_transactions.end()) {
            const auto holder = found->second;
            if (holder->running) {
                drop(*holder);
            } else {
                finish_transaction(*holder, true);
            }
            pump();
        }
    }

    /// Gives an order on the control connection; nothing comes back when it isn't answered.
    void order(replication_order what, std::uint64_t term, status_handler reported) {
        m_used = event_loop::now();
        control_link().order(what, term,
                             [this, reported](const std::optional<replication_status>& status) {
                                 if (status) {
                                     hear();
                                 }
                                 reported(status);
                             });
    }

    /// Starts no new writes for `hold_limit`, and reports when none runs any more.
    void hold_writes(status_handler reported) {
        m_held_until = event_loop::now() + hold_limit;
        m_when_held = std::move(reported);
        report_when_held();
    }

    /// The instance is not the primary any more: writes that wait are given back.
    void release_writes() {
        m_held_until = time_point{};
        std::vector<waiting_work> kept_back;
        const auto writes = [](const waiting_work& next) { return !next.work.read_only_work; };
        while (auto next = m_waiting.pop(event_loop::now(), writes)) {
            kept_back.push_back(std::move(*next));
        }
        for (auto& next : kept_back) {
            next.answered({upstream_result::not_primary, {}, {}, {}});
        }
    }

    /// Whether a write has run for much longer than any should.
    bool stalled() const { return event_loop::now() < m_stalled_until; }

    /// Probes, time limits, idle transactions; called some fifty times a second while in use.
    /// \param watch whether the instance is to be probed while nothing else asks it
    void tick(time_point now, bool watch) {
        expire(now);
        probe(now, watch);
        report_when_held();
        notice_stall(now);
        notice_hanging(now);
        std::erase_if(m_links, [](const auto& link) { return link->gone; });
        if (m_control && m_control_gone) {
            m_control.reset();
        }
        pump();
    }

    /// The share of its latest statements that failed or hang.
    double failing() const { return m_failures.at(event_loop::now()); }

    const upstream_instance& instance() const { return m_instance; }
    /// Takes over what changed, such as a state, the number of slots, or who is the gateway.
    void update(const upstream_instance& instance, const lane_limits& limits) {
        m_instance = instance;
        m_limits = limits;
    }
    bool reachable() const { return m_reachable; }
    bool busy() const { return m_running > 0 || m_waiting.size() > 0 || !m_transactions.empty(); }
    time_point used() const { return m_used; }
    std::size_t connections() const { return m_links.size(); }
    std::uint64_t opened() const { return m_opened; }

    /// How long work without priority would wait for a slot.
    duration wait() const {
        const auto beyond =
            static_cast<int>(m_waiting.size()) + std::max(0, m_running - m_instance.slots);
        return m_work_time * beyond / std::max(1, m_instance.slots);
    }

    /// Closes all connections; running work gets `unanswered`, waiting work `unsent`.
    void close() {
        for (auto& link : m_links) {
            drop(*link);
        }
        if (m_control) {
            m_control->close();
        }
        refuse_waiting(upstream_result::unsent);
    }

    /// Closes connections that nothing uses, as when another host became the gateway.
    void close_idle() {
        for (auto& link : m_links) {
            if (link->idle()) {
                drop(*link);
            }
        }
    }

private:
    using connection = lane_connection<Link>;

    // A switch to another primary takes less than this; afterwards writes go on as before.
    static constexpr std::chrono::milliseconds hold_limit{1500};
    // What still runs after this does not end soon.
    static constexpr std::chrono::milliseconds drain_patience{250};
    // Several times what a commit takes on a full instance.
    static constexpr std::chrono::milliseconds stall{600};

    // About twice what opening a connection takes.
    static constexpr std::chrono::milliseconds opening_patience{30};
    // No statement takes this long on an instance that is well.
    static constexpr std::chrono::milliseconds shortest_hang{150};
    static constexpr int hang_factor = 10;
    // An instance that takes no more connections is not asked for one in this time.
    static constexpr std::chrono::milliseconds full_remembered{100};
    // Longer than a statement's time limit, after which the next write has to show it anew.
    static constexpr std::chrono::milliseconds stall_remembered{1500};

    void report_when_held() {
        if (!m_when_held) {
            return;
        }
        const time_point now = event_loop::now();
        const bool writing = std::any_of(m_links.begin(), m_links.end(), [](const auto& link) {
            return !link->gone && (link->transaction || (link->running && link->writing));
        });
        const bool patience_over = now >= m_held_until - hold_limit + drain_patience;
        if (!writing || patience_over) {
            order(replication_order::report, 0, std::exchange(m_when_held, nullptr));
        }
    }

    void notice_stall(time_point now) {
        const bool stalls = std::any_of(m_links.begin(), m_links.end(), [&](const auto& link) {
            return link->running && link->writing && now - link->started >= stall;
        });
        if (stalls) {
            m_stalled_until = now + stall_remembered;
        }
    }

    void hear() {
        m_heard = event_loop::now();
        m_asked.reset();
        set_reachable(true);
    }

    void set_reachable(bool reachable) {
        if (m_reachable == reachable) {
            return;
        }
        m_reachable = reachable;
        log(reachable ? log_event::upstream_reachable : log_event::upstream_unreachable,
            {{"instance", m_instance.id},
             {"group", m_instance.group},
             {"address", m_instance.address.to_text()}});
        if (!reachable) {
            refuse_waiting(upstream_result::unsent);
        }
    }

    void refuse_waiting(upstream_result result) {
        while (auto next =
                   m_waiting.pop(event_loop::now(), [](const waiting_work&) { return true; })) {
            next->answered({result, {}, {}, {}});
        }
    }

    // Work of a transaction does not queue: it holds a connection that others wait for.
    void continue_transaction(upstream_work work, answer_handler answered) {
        const auto found = m_transactions.find(*work.transaction);
        if (found == m_transactions.end() || found->second->running) {
            answered({upstream_result::unsent, {}, {}, {}});
            return;
        }
        start(found->second, {std::move(work), std::move(answered), {}});
    }

    void pump() {
        if (m_pumping) {
            return;
        }
        m_pumping = true;
        while (m_running <= m_instance.slots) {
            const bool held = event_loop::now() < m_held_until;
            const auto usable = [this, held](const waiting_work& next) {
                if (held && !next.work.read_only_work) {
                    return false;
                }
                return idle_link(next.work.workspace) != nullptr || may_open();
            };
            // A new connection costs the instance as much as a statement does: work that needs
            // one goes after work that does not, until it has waited for as long as that costs.
            const time_point patient_since = event_loop::now() - opening_patience;
            const auto ready = [&](const waiting_work& next) {
                return usable(next) &&
                       (next.arrived <= patient_since || idle_link(next.work.workspace) != nullptr);
            };
            auto next = m_waiting.pop(event_loop::now(), ready);
            if (!next) {
                next = m_waiting.pop(event_loop::now(), usable);
            }
            if (!next) {
                break;
            }
            if (const auto idle = idle_link(next->work.workspace)) {
                start(idle, std::move(*next));
            } else {
                open(std::move(*next));
            }
        }
        m_pumping = false;
    }

    std::shared_ptr<connection> idle_link(const std::string& workspace) {
        for (const auto& link : m_links) {
            if (link->workspace == workspace && link->idle()) {
                return link;
            }
        }
        return nullptr;
    }

    // The idle connection that is missed least: of the workspace that has most, the oldest one.
    std::shared_ptr<connection> least_needed() {
        std::map<std::string_view, int> held;
        for (const auto& link : m_links) {
            held[link->workspace] += link->gone ? 0 : 1;
        }
        std::shared_ptr<connection> chosen;
        for (const auto& link : m_links) {
            const auto missed = [&](const connection& other) {
                return std::pair(-held[other.workspace], other.used);
            };
            if (link->idle() && (!chosen || missed(*link) < missed(*chosen))) {
                chosen = link;
            }
        }
        return chosen;
    }

    int open_links() const {
        return static_cast<int>(std::count_if(m_links.begin(), m_links.end(),
                                              [](const auto& link) { return !link->gone; }));
    }

    // One connection is kept for questions about the instance itself.
    bool has_room() const {
        return open_links() + 1 < m_limits.connections && event_loop::now() >= m_full_until;
    }

    bool may_open() { return has_room() || least_needed() != nullptr; }

    void open(waiting_work work) {
        if (!has_room()) {
            drop(*least_needed());
        }
        const time_point now = event_loop::now();
        auto added = std::make_shared<connection>();
        added->workspace = work.work.workspace;
        added->used = now;
        added->started = now;
        added->limit = now + work.work.time_left;
        added->first = std::move(work);
        added->running = true;
        ++m_running;
        ++m_opened;
        m_links.push_back(added);
        const std::weak_ptr<connection> weak = added;
        added->link = std::make_unique<Link>(
            m_loop, m_instance, added->workspace,
            [this, weak](upstream_result result) { on_open(weak.lock(), result); },
            [this, weak] { on_closed(weak.lock()); });
    }

    void on_open(const std::shared_ptr<connection>& link, upstream_result result) {
        if (!link || link->gone || !link->first) {
            return;
        }
        stop_running(*link);
        waiting_work work = std::move(*link->first);
        link->first.reset();
        if (result != upstream_result::done) {
            link->gone = true;
            log_refused_connection(*link, result);
            refuse_or_wait(std::move(work), result);
            pump();
            return;
        }
        hear();
        link->ready = true;
        start(link, std::move(work));
    }

    // Other hosts hold what the instance has left: the work waits for one of this lane's own.
    void refuse_or_wait(waiting_work work, upstream_result result) {
        if (result != upstream_result::no_connection || open_links() == 0) {
            work.answered({result, {}, {}, {}});
            return;
        }
        m_full_until = event_loop::now() + full_remembered;
        const work_urgency urgency = work.urgency;
        m_waiting.push(std::move(work), urgency);
    }

    void log_refused_connection(const connection& link, upstream_result result) {
        log(log_event::connection_refused, {{"instance", m_instance.id},
                                            {"workspace", link.workspace},
                                            {"result", std::string(to_string(result))}});
    }

    void on_closed(const std::shared_ptr<connection>& link) {
        if (!link || link->gone) {
            return;
        }
        drop(*link);
        // A connection that ends by itself is the first sign of an instance that crashed.
        ask();
        pump();
    }

    // Ends the connection; what ran on it is unanswered, what it was opened for is unsent.
    void drop(connection& link) {
        if (link.gone) {
            return;
        }
        link.gone = true;
        if (link.transaction) {
            m_transactions.erase(*link.transaction);
            link.transaction.reset();
        }
        if (link.running) {
            stop_running(link);
        }
        if (link.link) {
            link.link->close();
        }
        if (auto first = std::exchange(link.first, std::nullopt)) {
            first->answered({upstream_result::unsent, {}, {}, {}});
        }
        if (auto answered = std::exchange(link.answered, nullptr)) {
            answered({upstream_result::unanswered, {}, {}, {}});
        }
    }

    void stop_running(connection& link) {
        link.running = false;
        --m_running;
    }

    void start(const std::shared_ptr<connection>& link, waiting_work work) {
        const time_point now = event_loop::now();
        link->running = true;
        link->hangs = false;
        ++m_running;
        link->started = now;
        link->used = now;
        link->limit = now + work.work.time_left;
        link->writing = !work.work.read_only_work && work.work.what.kind != statement_kind::read;
        link->answered = work.work.strict ? with_proof(m_prove, work.work.group, m_instance.id,
                                                       std::move(work.answered))
                                          : std::move(work.answered);
        link->apply_values(work.work.values);
        if (!work.work.opens_transaction) {
            send(link, work.work, work.work.transaction ? std::nullopt : work.work.at_least);
            return;
        }
        link->transaction = work.work.transaction;
        m_transactions[*link->transaction] = link;
        // The statement waits for the answer: after a refused begin it would run outside.
        link->link->begin(work.work.read_only_transaction, work.work.at_least,
                          [this, link, work = work.work](const statement_answer& begun) {
                              if (link->gone) {
                                  return;
                              }
                              if (begun.result != upstream_result::done) {
                                  finish(link, begun, true);
                                  return;
                              }
                              send(link, work, std::nullopt);
                          });
    }

    void send(const std::shared_ptr<connection>& link, const upstream_work& work,
              const std::optional<log_position>& at_least) {
        const std::string prepared =
            work.what.kind == statement_kind::execute ? link->prepare(work.what.shape) : "";
        const bool ends = work.what.kind == statement_kind::commit;
        link->link->run(work.what, prepared, at_least,
                        [this, link, ends](const statement_answer& answer) {
                            if (!link->gone) {
                                finish(link, answer, ends);
                            }
                        });
    }

    void finish(const std::shared_ptr<connection>& link, const statement_answer& answer,
                bool ends) {
        const time_point now = event_loop::now();
        stop_running(*link);
        link->used = now;
        if (answer.result == upstream_result::unknown_name) {
            link->prepared.clear();
        }
        const bool done = answer.result == upstream_result::done;
        if (!link->hangs) {
            m_failures.record(!went_wrong(answer.result), now);
        }
        if (done && link->writing) {
            m_stalled_until = time_point{};
        }
        if (done || answer.result == upstream_result::failed) {
            hear();
            learn_work_time(now - link->started);
        }
        if (link->transaction && (ends || !done)) {
            finish_transaction(*link, !done);
        }
        if (auto answered = std::exchange(link->answered, nullptr)) {
            answered(answer);
        }
        pump();
    }

    void finish_transaction(connection& link, bool roll_back) {
        m_transactions.erase(*link.transaction);
        link.transaction.reset();
        link.used = event_loop::now();
        if (roll_back && !link.gone) {
            link.link->rollback();
        }
    }

    // Refusals are the instance's right; what ran to no good end is not.
    static bool went_wrong(upstream_result result) {
        return result == upstream_result::failed || result == upstream_result::timed_out ||
               result == upstream_result::unanswered;
    }

    // A statement that hangs counts before its time limit, while others can still go elsewhere.
    void notice_hanging(time_point now) {
        const duration usual = std::max<duration>(shortest_hang, m_work_time * hang_factor);
        for (const auto& link : m_links) {
            if (link->running && !link->gone && !link->hangs && now - link->started > usual) {
                link->hangs = true;
                m_failures.record(false, now);
            }
        }
    }

    void learn_work_time(duration taken) {
        // An eighth of each new value: some twenty answers change the estimate fully.
        m_work_time += (taken - m_work_time) / 8;
    }

    void expire(time_point now) {
        for (auto& late : m_waiting.take_expired(now)) {
            late.answered({upstream_result::overloaded, {}, {}, {}});
        }
        const auto links = m_links;
        for (const auto& link : links) {
            if (link->gone) {
                continue;
            }
            const bool late = link->running && link->limit <= now;
            const bool resting = link->transaction && !link->running &&
                                 link->used + m_limits.transaction_idle <= now;
            if (late) {
                drop(*link);
                ask();
            } else if (resting) {
                finish_transaction(*link, true);
            }
        }
    }

    void probe(time_point now, bool watch) {
        if (m_asked && now - *m_asked >= m_limits.silence) {
            m_asked.reset();
            set_reachable(false);
            if (m_control) {
                m_control->close();
            }
            m_asked_last = now;
            return;
        }
        const bool quiet = now - m_heard >= m_limits.idle_probe;
        const bool waits_long = std::any_of(m_links.begin(), m_links.end(), [&](const auto& link) {
            return link->running && now - link->started >= m_limits.silence;
        });
        const bool due = now - m_asked_last >= m_limits.idle_probe;
        if (!m_asked && due && quiet && (watch || waits_long || !m_reachable)) {
            ask();
        }
    }

    void ask() {
        if (m_asked) {
            return;
        }
        m_asked = event_loop::now();
        m_asked_last = *m_asked;
        order(replication_order::report, 0,
              [this](const std::optional<replication_status>& status) {
                  // Refused at once: nothing listens there, which needs no waiting for a time
                  // limit.
                  if (!status && m_asked) {
                      m_asked.reset();
                      set_reachable(false);
                  }
              });
    }

    Link& control_link() {
        if (m_control && !m_control_gone) {
            return *m_control;
        }
        m_control_gone = false;
        // An instance that takes no more connections lives all the same.
        const auto opened = [this](upstream_result result) {
            if (result == upstream_result::no_connection) {
                hear();
            }
        };
        m_control = std::make_unique<Link>(m_loop, m_instance, std::string(control_workspace),
                                           opened, [this] { m_control_gone = true; });
        return *m_control;
    }

    static constexpr std::string_view control_workspace = "bronzeplank";

    event_loop& m_loop;
    upstream_instance m_instance;
    lane_limits m_limits;
    primary_proof m_prove;
    work_queue<waiting_work> m_waiting;
    std::list<std::shared_ptr<connection>> m_links;
    std::map<transaction_key, std::shared_ptr<connection>> m_transactions;
    std::unique_ptr<Link> m_control;
    bool m_control_gone = false;
    bool m_reachable = true;
    bool m_pumping = false;
    int m_running = 0;
    std::uint64_t m_opened = 0;
    duration m_work_time = std::chrono::milliseconds(15);
    failure_rate m_failures;
    time_point m_heard{};
    time_point m_used{};
    time_point m_asked_last{};
    std::optional<time_point> m_asked;
    time_point m_full_until{};
    time_point m_held_until{};
    time_point m_stalled_until{};
    status_handler m_when_held;
};

} // namespace bronzeplank
