/// \file
/// A session host without peers, whose gateway a test plays: group "g" with the primary "p" and
/// the replica "r", both of term 1.
#pragma once

#include "session/caller_session.hpp"
#include "session/session_service.hpp"

#include <deque>
#include <map>
#include <memory>
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

inline replication_status report_of(replication_role role, std::uint64_t term,
                                    std::uint64_t paused_by = 0) {
    return {role, term, {term, 27}, paused_by};
}

/// Services of a host that has nothing to tell.
inline fleet_services idle_services() {
    fleet_services idle;
    idle.lanes = [] { return std::map<std::string, lane_state, std::less<>>(); };
    idle.demands = [] { return std::map<std::string, double>(); };
    idle.primaries = [] { return std::map<std::string, known_primary>(); };
    idle.acknowledged = [] { return std::map<std::string, log_position>(); };
    idle.copy_directory = [](bool) { return directory_copy(); };
    idle.platform_lost = [] { return false; };
    return idle;
}

struct lone_host {
    struct sent_work {
        upstream_work work;
        answer_handler answered;
    };

    event_loop loop;
    fleet_directory directory;
    upstream_router router{loop, "host", "a", directory};
    // The port is this fixture's own: tests of one program run one after the other.
    fleet peers{loop, {"host", "a", {"127.0.0.1", 7590}, {}}, directory, idle_services()};
    std::map<std::string, replication_status> reports;
    std::map<std::string, lane_state> lanes;
    std::vector<std::string> asked;
    std::vector<replication_order> orders;
    /// Instances answer only when the test calls what is held.
    bool holds_reports = false;
    std::deque<std::function<void()>> held_reports;
    std::deque<sent_work> sent;
    std::vector<transaction_key> ended;
    std::unique_ptr<session_service> service;

    lone_host() {
        local_gateway gateway;
        gateway.run = [this](upstream_work work, answer_handler answered) {
            sent.push_back({std::move(work), std::move(answered)});
        };
        gateway.end_transaction = [this](const std::string&, const transaction_key& key) {
            ended.push_back(key);
        };
        gateway.order = [this](const std::string& id, replication_order what, std::uint64_t,
                               const status_handler& reported) {
            asked.push_back(id);
            orders.push_back(what);
            const auto report = [this, id, reported] {
                const auto found = reports.find(id);
                reported(found == reports.end() ? std::nullopt : std::optional(found->second));
            };
            if (holds_reports) {
                held_reports.push_back(report);
            } else {
                report();
            }
        };
        gateway.state = [this](const std::string& id) { return std::optional(lanes[id]); };
        router.connect(peers, gateway);
        directory.list_instances(
            {{"p", listed_instance("p", true)}, {"r", listed_instance("r", false)}},
            event_loop::now());
        reports["p"] = report_of(replication_role::primary, 1);
        reports["r"] = report_of(replication_role::replica, 1);
        configure(1, "key");
        service =
            std::make_unique<session_service>(loop, directory, router, peers, withdrawal_bounds{});
        service->observer = {[](const std::string&, const log_position&) {},
                             [](const std::string&, request_class, std::string_view, duration) {}};
    }

    bool was_ordered(const std::string& id, replication_order what) const {
        for (std::size_t i = 0; i < orders.size(); ++i) {
            if (asked[i] == id && orders[i] == what) {
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

    /// Answers the oldest statement that a session has sent.
    void answer(upstream_result result, log_position position = {1, 30}) {
        sent_work oldest = std::move(sent.front());
        sent.pop_front();
        const bool done = result == upstream_result::done;
        oldest.answered({result,
                         done ? std::vector<std::string>{"row"} : std::vector<std::string>{},
                         done ? "signature" : "", position});
    }

    /// Runs the loop until the condition holds, for two seconds at most.
    template <class Condition>
    bool run_until(Condition condition) {
        const time_point limit = event_loop::now() + std::chrono::seconds(2);
        while (!condition() && event_loop::now() < limit) {
            const timer stop = loop.after(std::chrono::milliseconds(2), [this] { loop.stop(); });
            loop.run();
        }
        return condition();
    }
};

} // namespace bronzeplank::model
