/// \file
/// Measures the overhead of a host: sends the same statement directly to an upstream and then
/// through a host, and prints throughput and latency of both.
///   overhead UPSTREAM_PORT HOST_PORT [callers] [seconds]
/// The host and the upstream belong to a deployment started with scripts/cluster.
#include "edge/http_client.hpp"
#include "edge/pg_connection.hpp"
#include "load/history.hpp"

#include <cstdlib>
#include <fmt/format.h>

using namespace bronzeplank;

namespace {

constexpr std::chrono::seconds call_timeout{5};
const char* const statement = "SELECT 1";

struct measurement {
    std::vector<duration> latencies;
    std::uint64_t failed = 0;
    int running_callers = 0;
};

task<void> call_upstream(event_loop& loop, pg_target upstream, time_point end,
                         measurement& results) {
    const auto connection =
        co_await pg_connection::open(loop, upstream, event_loop::now() + call_timeout);
    while (connection != nullptr && event_loop::now() < end) {
        const time_point started_at = event_loop::now();
        pg_segment segment{{statement, {}}};
        const pg_outcome outcome =
            co_await connection->run(batch_of(segment), event_loop::now() + call_timeout);
        results.failed += outcome.succeeded(0) ? 0 : 1;
        results.latencies.push_back(event_loop::now() - started_at);
    }
    if (--results.running_callers == 0) {
        loop.stop();
    }
}

task<void> call_host(event_loop& loop, endpoint host, time_point end, measurement& results) {
    http_client client(loop, host);
    const std::string body =
        fmt::format(R"({{"database":"dispatch-1","statement":"{}"}})", statement);
    while (event_loop::now() < end) {
        const time_point started_at = event_loop::now();
        std::map<std::string, std::string> headers{{"Authorization", "Bearer key-of-desk"}};
        const http_reply reply =
            co_await client.post("/v1/query", std::move(headers), body, call_timeout);
        results.failed += reply.status == 200 ? 0 : 1;
        results.latencies.push_back(event_loop::now() - started_at);
    }
    if (--results.running_callers == 0) {
        loop.stop();
    }
}

void print_results(const char* name, const measurement& results, double seconds) {
    const auto percentile_ms = [&](double fraction) {
        return std::chrono::duration<double, std::milli>(
                   load::percentile(results.latencies, fraction))
            .count();
    };
    fmt::print("{:10} {:8.0f} requests/s, p50 {:.3f} ms, p99 {:.3f} ms, {} failed\n", name,
               static_cast<double>(results.latencies.size()) / seconds, percentile_ms(0.5),
               percentile_ms(0.99), results.failed);
}

} // namespace

int main(int argc, char** argv) {
    const auto int_argument = [&](int index, int default_value) {
        return argc > index ? std::atoi(argv[index]) : default_value;
    };
    const auto upstream_port = static_cast<std::uint16_t>(int_argument(1, 7210));
    const auto host_port = static_cast<std::uint16_t>(int_argument(2, 7301));
    const int callers = int_argument(3, 2);
    const int seconds = int_argument(4, 5);
    event_loop loop;
    for (const bool through_host : {false, true}) {
        measurement results;
        results.running_callers = callers;
        const time_point end = event_loop::now() + std::chrono::seconds(seconds);
        for (int i = 0; i < callers; ++i) {
            if (through_host) {
                spawn(call_host(loop, {"127.0.0.1", host_port}, end, results));
            } else {
                // Connects as from the host's failure domain, so that the simulated network delay
                // to the upstream is the same in both cases.
                spawn(call_upstream(
                    loop,
                    {"127.0.0.1", upstream_port, "dispatch", "bench", "bronzeplank/bench/lodz-a"},
                    end, results));
            }
        }
        loop.run();
        print_results(through_host ? "host" : "upstream", results, seconds);
    }
}
