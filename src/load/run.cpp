#include "load/run.hpp"

#include "load/caller.hpp"
#include "load/deployment.hpp"

#include <fmt/format.h>
#include <random>

namespace bronzeplank::load {

namespace {

constexpr std::chrono::milliseconds progress_interval{500};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds wait_timeout{25};
constexpr std::chrono::milliseconds warm_up_time{1500};

// Runs one scenario on an event loop of its own. Requests, faults and the progress display are
// concurrent tasks; an exception of run_phases() ends the loop and is rethrown by run().
class scenario_runner {
public:
    scenario_runner(const scenario& definition, const std::vector<endpoint>& hosts,
                    const endpoint& platform, bool show_progress)
        : m_hosts(hosts), m_show_progress(show_progress), m_deployment(m_loop, platform) {
        m_result.definition = definition;
    }

    run_result run() {
        spawn(run_and_stop_loop());
        m_loop.run();
        if (m_error) {
            std::rethrow_exception(m_error);
        }
        return std::move(m_result);
    }

private:
    task<void> run_and_stop_loop() {
        try {
            co_await run_phases();
        } catch (...) {
            m_error = std::current_exception();
        }
        m_loop.stop();
    }

    task<void> run_phases() {
        co_await m_deployment.load_configuration();
        co_await m_deployment.create_tables(m_result.definition.groups);
        co_await wait_for_hosts();
        create_callers();
        m_result.started_at = event_loop::now();
        start_arrivals();
        for (const auto& fault : m_result.definition.faults) {
            spawn(run_fault(fault));
        }
        co_await run_until_end();
        co_await wait_for_callers();
        m_result.ended_at = m_result.started_at + m_result.definition.length;
        std::map<std::string, group_contents> contents;
        for (const auto& group : m_result.definition.groups) {
            contents[group] = co_await m_deployment.read_contents(group);
        }
        m_result.checks =
            check_history(m_result.histories, contents, m_result.started_at, m_result.ended_at);
    }

    // Hosts need their configuration, connections and rate shares before the measurement starts. A
    // host that answers "/" with 404 accepts requests; the warm-up time covers the rest.
    task<void> wait_for_hosts() {
        for (const auto& host : m_hosts) {
            http_client client(m_loop, host);
            const time_point wait_deadline = event_loop::now() + wait_timeout;
            while ((co_await client.get("/", std::chrono::seconds(1))).status != 404) {
                if (event_loop::now() >= wait_deadline) {
                    throw std::runtime_error("no host answers at " + host.to_text());
                }
                co_await sleep_for(m_loop, poll_interval);
            }
        }
        co_await sleep_for(m_loop, warm_up_time);
    }

    void create_callers() {
        m_result.histories.resize(m_result.definition.workspaces.size());
        m_callers.resize(m_result.definition.workspaces.size());
        for (std::size_t i = 0; i < m_result.histories.size(); ++i) {
            workspace_history& history = m_result.histories[i];
            history.load = m_result.definition.workspaces[i];
            if (const auto* workspace =
                    m_deployment.current_configuration().find_workspace(history.load.name)) {
                history.rate_limit = workspace->rate;
                history.burst_limit = workspace->burst;
            }
            for (int j = 0; j < history.load.caller_count; ++j) {
                m_callers[i].push_back(
                    std::make_unique<caller>(m_loop, fmt::format("{}-{}", history.load.name, j),
                                             history, m_result.definition.groups, m_hosts));
            }
        }
    }

    void start_arrivals() {
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            spawn(generate_arrivals(i));
        }
    }

    task<void> generate_arrivals(std::size_t index) {
        const workspace_load& load = m_result.definition.workspaces[index];
        std::mt19937_64 random(m_result.definition.seed * 1000 + index);
        std::exponential_distribution<double> interval(load.arrival_rate);
        std::discrete_distribution<int> kind(load.kind_weights.begin(), load.kind_weights.end());
        time_point arrival = m_result.started_at;
        while (true) {
            arrival += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(interval(random)));
            if (arrival >= m_result.started_at + m_result.definition.length) {
                co_return;
            }
            if (arrival > event_loop::now()) {
                co_await sleep_for(m_loop, arrival - event_loop::now());
            }
            auto& callers = m_callers[index];
            const auto caller_index = random() % callers.size();
            callers[caller_index]->enqueue(
                {arrival, static_cast<request_kind>(kind(random)), random()});
        }
    }

    task<void> run_fault(fault planned) {
        co_await sleep_for(m_loop, m_result.started_at + planned.start_offset - event_loop::now());
        co_await m_deployment.inject_fault(planned);
    }

    task<void> run_until_end() {
        const time_point end = m_result.started_at + m_result.definition.length;
        while (event_loop::now() < end) {
            co_await sleep_for(m_loop,
                               std::min<duration>(progress_interval, end - event_loop::now()));
            if (m_show_progress) {
                std::size_t completed = 0;
                for (const auto& history : m_result.histories) {
                    completed += history.attempts.size();
                }
                fmt::print(
                    stderr, "\r{:5.1f} s  {} requests ",
                    std::chrono::duration<double>(event_loop::now() - m_result.started_at).count(),
                    completed);
            }
        }
        if (m_show_progress) {
            fmt::print(stderr, "\n");
        }
    }

    // No request may run while the contents are read: a write that is acknowledged afterwards would
    // count as lost.
    task<void> wait_for_callers() {
        co_await wait_until_idle();
        for (const auto& callers : m_callers) {
            for (const auto& item : callers) {
                m_result.unsent_requests += item->drop_queued();
            }
        }
        co_await wait_until_idle();
        if (has_pending_requests()) {
            throw std::runtime_error("requests are still running long after the end of the "
                                     "scenario; the groups' contents can't be compared with them");
        }
    }

    task<void> wait_until_idle() {
        const time_point wait_deadline = event_loop::now() + wait_timeout;
        while (has_pending_requests() && event_loop::now() < wait_deadline) {
            co_await sleep_for(m_loop, poll_interval);
        }
    }

    bool has_pending_requests() const {
        for (const auto& callers : m_callers) {
            for (const auto& item : callers) {
                if (!item->idle()) {
                    return true;
                }
            }
        }
        return false;
    }

    event_loop m_loop;
    std::vector<endpoint> m_hosts;
    bool m_show_progress;
    deployment m_deployment;
    run_result m_result;
    std::vector<std::vector<std::unique_ptr<caller>>> m_callers;
    std::exception_ptr m_error;
};

} // namespace

run_result run_scenario(const scenario& definition, const std::vector<endpoint>& hosts,
                        const endpoint& platform, bool show_progress) {
    return scenario_runner(definition, hosts, platform, show_progress).run();
}

} // namespace bronzeplank::load
