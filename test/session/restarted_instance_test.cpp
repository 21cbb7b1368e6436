#include "model/failover_fixture.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using model::failover_fixture;
using model::make_status;

namespace {

upstream_instance replica_at(const std::string& id, const std::string& address) {
    upstream_instance instance = model::listed_instance(id, false);
    instance.address = {address, 8300};
    return instance;
}

} // namespace

// The id that a crashed instance had before its restart kept a group without a primary for minutes.
TEST_CASE("a group whose replica has crashed") {
    failover_fixture test;
    auto& host = test.host;
    host.pools["p"].reachable = true;
    host.reports["p"] = make_status(replication_role::primary, 1);
    host.directory.upsert_instance(replica_at("s", "10.0.0.1"));
    host.reports["s"] = make_status(replication_role::replica, 1);
    test.service->start();
    run_for(test, std::chrono::milliseconds(300));
    host.reports.erase("s");
    host.directory.remove_instance("s", event_loop::now());

    const auto lose_primary = [&] {
        run_for(test, established_replicas::probation + std::chrono::milliseconds(2500));
        host.pools["p"].reachable = false;
        host.reports.erase("p");
        host.run_until([&] { return !test.promoted.empty(); });
    };

    SECTION("replaces its primary if the replica has started again under another id") {
        host.directory.upsert_instance(replica_at("t", "10.0.0.1"));
        host.reports["t"] = make_status(replication_role::replica, 1);
        lose_primary();
        REQUIRE(test.promoted.size() == 1);
    }
    SECTION("doesn't replace it while the replica may run on, out of the platform's reach") {
        host.directory.upsert_instance(replica_at("t", "10.0.0.2"));
        host.reports["t"] = make_status(replication_role::replica, 1);
        lose_primary();
        REQUIRE(test.promoted.empty());
    }
}
