/// \file
/// A session host without peers and with a scripted gateway: group "g" with the primary "p" and the
/// replica "r", both in term 1.
#pragma once

#include "session/caller_session.hpp"
#include "session/session_service.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzeplank::model {

inline upstream_instance listed_instance(const std::string& id, bool says_primary) {
    upstream_instance instance;
    instance.id = id;
    instance.group = "g";
    instance.failure_domain = "a";
    instance.slots = 2;
    instance.says_primary = says_primary;
    return instance;
}

inline replication_status make_status(replication_role role, std::uint64_t term,
                                      std::uint64_t paused_by = 0) {
    return {role, term, {term, 27}, paused_by};
}

/// Callbacks of a host that has no state to report.
inline fleet_callbacks idle_callbacks() {
    fleet_callbacks callbacks;
    callbacks.pools = [] { return std::map<std::string, pool_status, std::less<>>(); };
    callbacks.usage = [] { return std::map<std::string, workspace_usage>(); };
    callbacks.primaries = [] { return std::map<std::string, reported_primary>(); };
    callbacks.acknowledged = [] { return std::map<std::string, log_position>(); };
    callbacks.snapshot_directory = [](bool) { return directory_snapshot(); };
    callbacks.platform_unreachable = [] { return false; };
    return callbacks;
}

/// Usage: `single_host host; ... host.answer(upstream_result::done);`
struct single_host {
    struct forwarded_work {
        upstream_work work;
        answer_handler on_answer;
    };

    event_loop loop;
    fleet_directory directory;
    upstream_router router{loop, "host", "a", directory};
    // Used by this fixture only; the tests of a program run one after another.
    fleet peers{loop, {"host", "a", {"127.0.0.1", 7590}, {}}, directory, idle_callbacks()};
    std::map<std::string, replication_status> reports;
    /// When the connection to an instance was opened, of those that tell.
    std::map<std::string, time_point> connected_since;
    std::map<std::string, pool_status> pools;
    std::vector<std::string> command_targets;
    std::vector<replication_command> commands;
    /// Commands that have no effect although the instance answers.
    std::set<std::pair<std::string, replication_command>> ignored_commands;
    /// Instances respond only when the test calls `deferred_reports`.
    bool defer_reports = false;
    std::deque<std::function<void()>> deferred_reports;
    std::deque<forwarded_work> sent;
    std::vector<transaction_key> ended_transactions;
    std::vector<work_key> dropped;
    /// The gateway has not started the statements that it was sent.
    bool drops_queued_work = false;
    std::unique_ptr<session_service> service;

    single_host() {
        local_gateway gateway;
        gateway.run = [this](upstream_work work, answer_handler on_answer) {
            sent.push_back({std::move(work), std::move(on_answer)});
        };
        gateway.end_transaction = [this](const std::string&, const transaction_key& key) {
            ended_transactions.push_back(key);
        };
        gateway.drop = [this](const std::string&, const work_key& key) {
            const auto queued =
                std::find_if(sent.begin(), sent.end(),
                             [&](const forwarded_work& work) { return work.work.key == key; });
            dropped.push_back(key);
            if (queued != sent.end() && drops_queued_work) {
                const auto on_answer = std::move(queued->on_answer);
                sent.erase(queued);
                on_answer({upstream_result::unsent, {}, {}, {}});
            }
        };
        gateway.send_command = [this](const std::string& id, replication_command command,
                                      std::uint64_t term, const status_handler& on_status) {
            command_targets.push_back(id);
            commands.push_back(command);
            if (!ignored_commands.contains({id, command})) {
                obey(id, command, term);
            }
            const auto report = [this, id, on_status] { on_status(report_of(id)); };
            if (defer_reports) {
                deferred_reports.push_back(report);
            } else {
                report();
            }
        };
        gateway.status = [this](const std::string& id) { return std::optional(pools[id]); };
        router.connect(peers, gateway);
        directory.apply_instance_list(
            {{"p", listed_instance("p", true)}, {"r", listed_instance("r", false)}},
            event_loop::now());
        reports["p"] = make_status(replication_role::primary, 1);
        reports["r"] = make_status(replication_role::replica, 1);
        configure(1, "key");
        service =
            std::make_unique<session_service>(loop, directory, router, peers, withdrawal_bounds{});
        service->observer = {[](const std::string&, const acknowledged_write&) {},
                             [](const std::string&, request_class, std::string_view, duration) {}};
    }

    /// What the instance answers to a status request now.
    std::optional<replication_status> report_of(const std::string& id) const {
        const auto found = reports.find(id);
        if (found == reports.end()) {
            return std::nullopt;
        }
        replication_status status = found->second;
        if (const auto since = connected_since.find(id); since != connected_since.end()) {
            status.connected_for = event_loop::now() - since->second;
        }
        return status;
    }

    /// Changes the report of an instance that takes the command.
    void obey(const std::string& id, replication_command command, std::uint64_t term) {
        const auto found = reports.find(id);
        if (found == reports.end()) {
            return;
        }
        replication_status& status = found->second;
        const bool is_replica = status.role == replication_role::replica;
        if (command == replication_command::pause && is_replica && term > status.term) {
            status.paused_by = std::max(status.paused_by, term);
        } else if (command == replication_command::resume && is_replica) {
            status.paused_by = 0;
        } else if (command == replication_command::demote && status.term < term) {
            status.role = replication_role::replica;
        }
    }

    bool was_commanded(const std::string& id, replication_command command) const {
        for (std::size_t i = 0; i < commands.size(); ++i) {
            if (command_targets[i] == id && commands[i] == command) {
                return true;
            }
        }
        return false;
    }

    void configure(std::uint64_t version, const std::string& key) {
        auto configuration = std::make_shared<fleet_configuration>();
        configuration->version = version;
        configuration->groups["g"] = {"g", 16, 1};
        configuration->workspace_by_key[key] = "desk";
        configuration->workspaces["desk"] = {"desk", 100, 100};
        const auto add = [&](const std::string& database, read_consistency consistency) {
            database_route route;
            route.database = database;
            route.group = "g";
            route.consistency = consistency;
            route.statement_timeout = std::chrono::milliseconds(800);
            route.latency_objective = std::chrono::milliseconds(400);
            route.max_staleness = std::chrono::milliseconds(1500);
            configuration->routes[database] = route;
        };
        add("strict", read_consistency::strict);
        add("bounded", read_consistency::bounded_staleness);
        add("own", read_consistency::read_your_writes);
        directory.accept(std::move(configuration));
    }

    /// Completes the oldest statement that a session has sent.
    void answer(upstream_result result, log_position position = {1, 30}) {
        forwarded_work oldest = std::move(sent.front());
        sent.pop_front();
        const bool done = result == upstream_result::done;
        oldest.on_answer({result,
                          done ? std::vector<std::string>{"row"} : std::vector<std::string>{},
                          done ? "signature" : "", position});
    }

    /// Runs the loop until the condition holds, for two seconds at most.
    template <class Condition>
    bool run_until(Condition condition) {
        const time_point deadline = event_loop::now() + std::chrono::seconds(2);
        while (!condition() && event_loop::now() < deadline) {
            const timer stop = loop.after(std::chrono::milliseconds(2), [this] { loop.stop(); });
            loop.run();
        }
        return condition();
    }
};

} // namespace bronzeplank::model
