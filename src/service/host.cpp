#include "service/host.hpp"

#include "runtime/log.hpp"
#include "runtime/signal_watch.hpp"
#include "service/caller_api.hpp"
#include "service/limit_gauges.hpp"
#include "service/promotion_service.hpp"

#include <csignal>
#include <ctime>
#include <fmt/format.h>
#include <sys/resource.h>

namespace bronzeplank {

namespace {

constexpr std::chrono::milliseconds drain_poll_interval{20};

double process_cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double resident_bytes() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) * 1024;
}

http_refusals refusals_for(const host_limits& limits) {
    return {to_http_answer(request_error(
                error_kind::too_large,
                fmt::format("the body exceeds the limit of {} bytes", limits.body_bytes))),
            to_http_answer(request_error(error_kind::overloaded, "the host has too much to do"))};
}

// Operators send no bodies, and few of them connect.
host_limits operator_limits(host_limits limits) {
    limits.body_bytes = 4096;
    limits.connections = 64;
    return limits;
}

// The services and servers of one host, in the order of their dependencies.
class host_process {
public:
    explicit host_process(const settings& host)
        : m_host(host), m_guard(m_kernel.loop(), (host.limits.memory_mb << 20U) / 2),
          m_platform(m_kernel.loop(), host.platform,
                     fmt::format("bronzeplank/{}/{}", host.host, host.failure_domain)),
          m_directory(m_kernel, host, m_platform), m_membership(m_kernel, host, m_platform),
          m_metrics(m_kernel), m_rates(m_kernel, host, m_platform), m_queries(m_kernel, host),
          m_transactions(m_kernel, host), m_promotions(m_kernel, host, m_platform),
          m_caller_api(m_kernel, host),
          m_caller_server(
              m_kernel.loop(), host.callers, host.limits, refusals_for(host.limits),
              [this](http_request request) { return m_caller_api.serve(std::move(request)); },
              &m_guard),
          m_operator_server(
              m_kernel.loop(), host.operators, operator_limits(host.limits),
              refusals_for(operator_limits(host.limits)),
              [this](http_request request) { return serve_operator(std::move(request)); }) {
        add_gauges();
    }

    /// \param signals those that tell the host to stop
    void run(const blocked_signals& signals) {
        const signal_watch watch(m_kernel.loop(), signals, [this](int) {
            if (!std::exchange(m_stopping, true)) {
                spawn(stop());
            }
        });
        m_directory.start();
        m_membership.start();
        m_rates.start();
        m_promotions.start();
        log(log_event::host_started, {{"host", m_host.host},
                                      {"failure_domain", m_host.failure_domain},
                                      {"callers", m_host.callers.to_text()}});
        m_kernel.loop().run();
        log(log_event::host_stopped, {{"host", m_host.host}});
    }

private:
    task<void> stop() {
        event_loop& loop = m_kernel.loop();
        log(log_event::host_draining, {{"host", m_host.host}});
        m_membership.leave();
        m_caller_api.drain();
        m_promotions.stop();
        // /readyz already fails; the load balancer needs this long to stop sending requests.
        co_await sleep_for(loop, m_host.limits.balancer_time);
        m_caller_server.close();
        const time_point drain_deadline = event_loop::now() + m_host.limits.drain_time;
        const auto has_open_work = [this] {
            return m_caller_server.running_requests() > 0 || m_transactions.open_count() > 0;
        };
        while (has_open_work() && event_loop::now() < drain_deadline) {
            co_await sleep_for(loop, drain_poll_interval);
        }
        co_await m_rates.release_shares();
        m_membership.stop();
        m_directory.stop();
        loop.stop();
    }

    task<http_answer> serve_operator(http_request request) {
        if (request.path == "/healthz") {
            co_return http_answer{200, R"({"status":"alive"})", ""};
        }
        if (request.path == "/readyz") {
            const bool ready = m_directory.ready() && !m_stopping;
            const std::string body = ready ? R"({"status":"ready"})" : R"({"status":"not ready"})";
            const int status_code = ready ? 200 : 503;
            co_return http_answer{status_code, body, ""};
        }
        if (request.path == "/metrics") {
            co_return http_answer{200, m_metrics.text(), "", "text/plain; version=0.0.4"};
        }
        if (request.path == "/status") {
            co_return http_answer{200, status(), ""};
        }
        if (request.path.starts_with("/keys/withdraw/") && request.method == "POST") {
            co_return withdraw(request.path.substr(15));
        }
        co_return to_http_answer(request_error(error_kind::not_found, "no such route"));
    }

    // Withdrawals are never undone, so an operator may send one to any host, which forwards it to
    // the others.
    http_answer withdraw(const std::string& digest) {
        const bool valid = digest.size() == 64 &&
                           digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!valid) {
            return to_http_answer(
                request_error(error_kind::malformed_request,
                              "the key digest must be 64 lowercase hexadecimal digits"));
        }
        m_directory.withdraw_key({digest});
        m_membership.broadcast_withdrawal({digest});
        return {200, R"({"state":"withdrawn"})", ""};
    }

    std::string status() const {
        std::string groups;
        for (const auto& [name, group] : m_directory.groups()) {
            const group_record& record = group->record().record;
            std::string upstreams;
            for (const auto& [upstream, probe] : group->probes()) {
                upstreams += fmt::format(
                    R"({}{{"name":"{}","term":{},"position":"{}","in_recovery":{},"following":{},"age_ms":{}}})",
                    upstreams.empty() ? "" : ",", upstream, probe.state.last_term(),
                    format_offset(probe.state.offset), probe.in_recovery, probe.following,
                    to_milliseconds(event_loop::now() - probe.answered_at));
            }
            groups += fmt::format(R"({}{{"name":"{}","term":{},"primary":"{}","upstreams":[{}]}})",
                                  groups.empty() ? "" : ",", name, record.ready_term,
                                  record.primary, upstreams);
        }
        std::string peers;
        for (const auto& [name, peer] : m_membership.peers()) {
            peers += fmt::format(R"({}{{"host":"{}","failure_domain":"{}","leaving":{}}})",
                                 peers.empty() ? "" : ",", name, peer.failure_domain, peer.leaving);
        }
        return fmt::format(
            R"({{"host":"{}","failure_domain":"{}","configuration_version":{},"platform_reachable":{},"withdrawn_keys":{},"groups":[{}],"peers":[{}]}})",
            m_host.host, m_host.failure_domain, m_directory.current_configuration().version,
            m_directory.platform_reachable(), m_directory.keys().withdrawn().size(), groups, peers);
    }

    void add_gauges() {
        add_limit_gauges(m_metrics);
        m_metrics.add_gauge({"bronzeplank_connections", "Open connections of callers.",
                             [this] { return double(m_caller_server.open_connections()); }});
        m_metrics.add_gauge({"bronzeplank_running_requests", "Requests being served.",
                             [this] { return double(m_caller_server.running_requests()); }});
        m_metrics.add_gauge({"bronzeplank_open_transactions", "Open transactions.",
                             [this] { return double(m_transactions.open_count()); }});
        m_metrics.add_gauge({"bronzeplank_peers", "Other hosts known.",
                             [this] { return double(m_membership.peers().size()); }});
        m_metrics.add_gauge({"bronzeplank_peer_bytes_sent", "Bytes sent to other hosts.",
                             [this] { return double(m_membership.bytes_sent()); }});
        m_metrics.add_gauge({"bronzeplank_platform_calls", "Calls to the platform.",
                             [this] { return double(m_platform.calls()); }});
        m_metrics.add_gauge({"bronzeplank_rate_refusals", "Requests refused by rate.",
                             [this] { return double(m_rates.refused_requests()); }});
        m_metrics.add_gauge(
            {"bronzeplank_configuration_version", "Configuration in force.",
             [this] { return double(m_directory.current_configuration().version); }});
        m_metrics.add_gauge(
            {"bronzeplank_cpu_seconds", "Processor time of this process.", &process_cpu_seconds});
        m_metrics.add_gauge(
            {"bronzeplank_resident_bytes", "Highest resident memory so far.", &resident_bytes});
    }

    const settings& m_host;
    kernel m_kernel;
    memory_guard m_guard;
    platform_client m_platform;
    directory m_directory;
    membership m_membership;
    metrics m_metrics;
    rate_service m_rates;
    query_service m_queries;
    transaction_service m_transactions;
    promotion_service m_promotions;
    caller_api m_caller_api;
    http_server m_caller_server;
    http_server m_operator_server;
    bool m_stopping = false;
};

} // namespace

void run_host(const settings& host) {
    const blocked_signals signals({SIGTERM, SIGINT});
    std::signal(SIGPIPE, SIG_IGN);
    host_process process(host);
    process.run(signals);
}

} // namespace bronzeplank
