/// \file
/// A host that runs the failover service on the group "g" with a fake platform.
#pragma once

#include "model/single_host.hpp"
#include "session/failover_service.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bronzeplank::model {

/// What the platform's store holds.
struct stored_objects {
    stored_claim claim;
    stored_members members;
};

/// A host that can't reach the primary "p", with a fake platform.
struct failover_fixture {
    single_host host;
    stored_claim stored;
    stored_members members;
    int reads = 0;
    store_era era;
    std::vector<failover_claim> written;
    std::vector<std::string> promoted;
    bool promotes_immediately = true;
    promotion_result promotion_result_to_give = promotion_result::done;
    duration write_delay{0};
    std::vector<time_point> written_at;

    stored_objects objects() const { return {stored, members}; }
    void restore(const stored_objects& objects) {
        stored = objects.claim;
        members = objects.members;
    }
    bool finished() const {
        return !written.empty() && written.back().finished && !written.back().successor.empty();
    }
    std::function<void()> on_refresh = [] {};
    std::function<void()> on_written = [] {};
    std::function<void(const std::string& instance)> on_promotion = [](const std::string&) {};
    std::unique_ptr<failover_service> service;

    failover_fixture() {
        stored.succeeded = true;
        members.succeeded = true;
        host.directory.primary_tracker_for("g").record_primary("p", 1, primary_evidence::status);
        host.directory.remove_expired(event_loop::now());
        host.pools["p"].reachable = false;
        host.reports.erase("p");
        failover_platform platform;
        platform.reachable = [] { return true; };
        platform.era = [this] { return era; };
        platform.refresh_instances = [this]() -> task<bool> {
            on_refresh();
            co_return true;
        };
        platform.read = [this](std::string) -> task<stored_claim> {
            ++reads;
            co_return stored;
        };
        platform.write = [this](std::string, store_position,
                                failover_claim claim) -> task<stored_claim> {
            if (write_delay > duration(0)) {
                co_await sleep_for(host.loop, write_delay);
            }
            written.push_back(claim);
            written_at.push_back(event_loop::now());
            stored = {true, {stored.position.era, stored.position.revision + 1}, claim};
            on_written();
            co_return stored;
        };
        platform.read_members = [this](std::string) -> task<stored_members> { co_return members; };
        platform.write_members = [this](std::string, store_position expected,
                                        group_members next) -> task<stored_members> {
            if (expected != members.position) {
                co_return stored_members{};
            }
            members = {true, {era.number, members.position.revision + 1}, std::move(next)};
            co_return members;
        };
        platform.promote = [this](std::string, std::string instance, std::uint64_t,
                                  time_point) -> task<promotion_result> {
            promoted.push_back(instance);
            on_promotion(instance);
            if (promotion_result_to_give != promotion_result::done) {
                co_return promotion_result_to_give;
            }
            if (promotes_immediately) {
                host.reports[instance] = make_status(replication_role::primary, 2);
            }
            co_return promotion_result::done;
        };
        service = std::make_unique<failover_service>(host.loop, host.directory, host.router,
                                                     host.peers, std::move(platform));
    }
};

/// Lists a replica that has received all that "r" has.
inline void list_replica(failover_fixture& test, const std::string& id) {
    test.host.directory.upsert_instance(listed_instance(id, false));
    test.host.reports[id] = make_status(replication_role::replica, 1);
}

/// Lists the primary "p" as leaving, though hosts reach it. Returns its entry.
inline upstream_instance list_leaving_primary(failover_fixture& test) {
    test.host.pools["p"].reachable = true;
    test.host.reports["p"] = make_status(replication_role::primary, 1);
    upstream_instance leaving = listed_instance("p", true);
    leaving.leaving = true;
    test.host.directory.upsert_instance(leaving);
    return leaving;
}

/// Runs the fixture's loop for that time.
inline void run_for(failover_fixture& test, duration time) {
    const time_point end = event_loop::now() + time;
    while (event_loop::now() < end) {
        test.host.run_until([&] { return event_loop::now() >= end; });
    }
}

} // namespace bronzeplank::model
