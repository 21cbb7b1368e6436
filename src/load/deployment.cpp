#include "load/deployment.hpp"

#include "bronzeplank/internal/json_reader.hpp"
#include "bronzeplank/key_ring.hpp"
#include "bronzeplank/promotion.hpp"

#include <fmt/format.h>

namespace bronzeplank::load {

namespace {

constexpr std::chrono::seconds statement_timeout{5};
constexpr std::chrono::milliseconds retry_delay{50};
constexpr int max_attempts = 300;

pg_segment single_statement(std::string text) {
    pg_segment segment;
    segment.push_back({std::move(text), {}});
    return segment;
}

const std::vector<std::string>& table_statements() {
    static const std::vector<std::string> statements = {
        "CREATE TABLE IF NOT EXISTS booking (id text, caller text)",
        "CREATE INDEX IF NOT EXISTS booking_caller ON booking (caller)",
        "CREATE TABLE IF NOT EXISTS delivery (place integer PRIMARY KEY, log text, entry integer)"};
    return statements;
}

} // namespace

deployment::deployment(event_loop& loop, const endpoint& platform)
    : m_loop(loop), m_platform_address(platform), m_platform(loop, platform, "bronzeplank-load") {}

task<void> deployment::load_configuration() {
    for (int i = 0; i < max_attempts; ++i) {
        const platform_read read = co_await m_platform.get("configuration", "current");
        if (read.status == platform_status::ok) {
            m_configuration = read_configuration(read.object.value);
            co_return;
        }
        co_await sleep_for(m_loop, retry_delay);
    }
    throw std::runtime_error("the platform returned no configuration");
}

task<std::string> deployment::read_primary(std::string group) {
    const platform_read read = co_await m_platform.get("group", group);
    if (read.status != platform_status::ok) {
        co_return "";
    }
    co_return read_group_record(read.object.value).primary;
}

task<std::unique_ptr<pg_connection>> deployment::connect(std::string group, std::string upstream) {
    const database_group* configured_group = m_configuration.find_group(group);
    const auto* configured_upstream =
        configured_group == nullptr ? nullptr : configured_group->find_upstream(upstream);
    if (configured_upstream == nullptr) {
        co_return nullptr;
    }
    const pg_target target{configured_upstream->address, configured_upstream->port,
                           configured_group->database, configured_group->user, "standin-control"};
    co_return co_await pg_connection::open(m_loop, target, event_loop::now() + statement_timeout);
}

task<bool> deployment::run_statement(std::string group, std::string upstream,
                                     std::string statement) {
    const auto connection = co_await connect(group, upstream);
    if (connection == nullptr) {
        co_return false;
    }
    const pg_outcome outcome = co_await connection->run(
        batch_of(single_statement(std::move(statement))), event_loop::now() + statement_timeout);
    co_return outcome.succeeded(0);
}

task<void> deployment::create_tables(std::vector<std::string> groups) {
    for (const auto& group : groups) {
        bool created = false;
        for (int i = 0; i < max_attempts && !created; ++i) {
            const std::string primary = co_await read_primary(group);
            created = !primary.empty();
            for (const auto& statement : table_statements()) {
                const bool succeeded = created && co_await run_statement(group, primary, statement);
                created = succeeded;
            }
            if (!created) {
                co_await sleep_for(m_loop, retry_delay);
            }
        }
        if (!created) {
            throw std::runtime_error(
                fmt::format("group \"{}\" has no primary that accepts CREATE TABLE", group));
        }
    }
}

task<group_contents> deployment::read_contents(std::string group) {
    for (int i = 0; i < max_attempts; ++i) {
        const std::string primary = co_await read_primary(group);
        const auto connection = co_await connect(group, primary);
        if (connection != nullptr) {
            const pg_outcome outcome = co_await connection->run(
                batch_of(single_statement("SELECT id, count(*) FROM booking GROUP BY id"),
                         single_statement("SELECT log, entry FROM delivery ORDER BY place")),
                event_loop::now() + statement_timeout);
            if (outcome.succeeded(0) && outcome.succeeded(1)) {
                group_contents contents;
                for (const auto& row : outcome.segments[0][0].rows) {
                    contents.booking_row_counts[*row[0]] = std::stoi(*row[1]);
                }
                for (const auto& row : outcome.segments[1][0].rows) {
                    contents.log_entries[*row[0]].push_back(std::stoll(*row[1]));
                }
                co_return contents;
            }
        }
        co_await sleep_for(m_loop, retry_delay);
    }
    throw std::runtime_error(
        fmt::format("cannot read the rows of group \"{}\" after the run", group));
}

task<void> deployment::set_upstream_control(std::string group, std::string upstream,
                                            std::string name, std::string value) {
    const std::string statement = fmt::format("SELECT standin_control('{}', '{}')", name, value);
    co_await run_statement(group, upstream, statement);
}

task<void> deployment::set_replica_lag(std::string group, std::string lag_ms) {
    const database_group* configured_group = m_configuration.find_group(group);
    if (configured_group == nullptr) {
        co_return;
    }
    for (const auto& item : configured_group->upstreams) {
        co_await set_upstream_control(group, item.name, "lag_ms", lag_ms);
    }
}

task<void> deployment::set_platform_control(std::string body) {
    http_client client(m_loop, m_platform_address);
    co_await client.post("/control", {}, std::move(body), statement_timeout);
}

// Drops traffic in both directions between the domain and the other domains, and between the domain
// and the platform. The strings are named variables because GCC 12 destroys the temporary of a
// conditional expression inside co_await twice.
task<void> deployment::set_partition(std::string domain, bool partitioned) {
    std::string others;
    for (const auto& item : m_configuration.failure_domains) {
        others += item.name == domain ? "" : item.name + " ";
    }
    for (const auto& group : m_configuration.groups) {
        for (const auto& item : group.upstreams) {
            std::string dropped_domains = item.failure_domain == domain ? others : domain;
            if (!partitioned) {
                dropped_domains.clear();
            }
            co_await set_upstream_control(group.name, item.name, "cut", dropped_domains);
        }
    }
    const std::string cut_domains = partitioned ? internal::quoted(domain) : "";
    const std::string body = fmt::format(R"({{"cut_domains":[{}]}})", cut_domains);
    co_await set_platform_control(body);
}

task<void> deployment::set_domain_state(std::string domain, service_state state) {
    for (int i = 0; i < max_attempts; ++i) {
        const platform_read read = co_await m_platform.get("configuration", "current");
        if (read.status == platform_status::ok) {
            configuration next = read_configuration(read.object.value);
            for (auto& item : next.failure_domains) {
                item.state = item.name == domain ? state : item.state;
            }
            ++next.version;
            const platform_write written = co_await m_platform.put(
                "configuration", "current", read.object.version, write_configuration(next));
            if (written.status == platform_status::ok) {
                co_return;
            }
        }
        co_await sleep_for(m_loop, retry_delay);
    }
}

task<void> deployment::withdraw_key(std::string key) {
    const std::string digest = digest_of(key).hex;
    for (int i = 0; i < max_attempts; ++i) {
        const platform_read read = co_await m_platform.get("key", digest);
        if (read.status == platform_status::ok) {
            std::string value = read.object.value;
            const std::string given_state = "\"given\"";
            const auto at = value.find(given_state);
            if (at == std::string::npos) {
                co_return;
            }
            value.replace(at, given_state.size(), "\"withdrawn\"");
            co_await m_platform.put("key", digest, read.object.version, value);
        }
        co_await sleep_for(m_loop, retry_delay);
    }
}

task<void> deployment::inject_fault(fault injected) {
    const auto active_time_ms = std::to_string(to_milliseconds(injected.active_time));
    switch (injected.kind) {
    case fault_kind::crash_primary: {
        const std::string primary = co_await read_primary(injected.target);
        co_await set_upstream_control(injected.target, primary, "crash_ms", active_time_ms);
        break;
    }
    case fault_kind::lag_replicas:
        co_await set_replica_lag(injected.target, std::to_string(to_milliseconds(injected.delay)));
        if (injected.active_time > duration::zero()) {
            co_await sleep_for(m_loop, injected.active_time);
            co_await set_replica_lag(injected.target, "default");
        }
        break;
    case fault_kind::cut_domain:
        co_await set_partition(injected.target, true);
        co_await sleep_for(m_loop, injected.active_time);
        co_await set_partition(injected.target, false);
        break;
    case fault_kind::platform_down:
        co_await set_platform_control(R"({"down":true})");
        co_await sleep_for(m_loop, injected.active_time);
        co_await set_platform_control(R"({"down":false})");
        break;
    case fault_kind::platform_slow:
        co_await set_platform_control(
            fmt::format(R"({{"delay_ms":{}}})", to_milliseconds(injected.delay)));
        co_await sleep_for(m_loop, injected.active_time);
        co_await set_platform_control(R"({"delay_ms":0})");
        break;
    case fault_kind::platform_loses_answers:
        co_await set_platform_control(R"({"lose_answers":true})");
        co_await sleep_for(m_loop, injected.active_time);
        co_await set_platform_control(R"({"lose_answers":false})");
        break;
    case fault_kind::drain_domain:
        co_await set_domain_state(injected.target, service_state::draining);
        break;
    case fault_kind::restore_domain:
        co_await set_domain_state(injected.target, service_state::active);
        break;
    case fault_kind::withdraw_key:
        co_await withdraw_key(injected.key);
        break;
    }
}

} // namespace bronzeplank::load
