#include "platform/directory_follower.hpp"

#include "platform/store_standin.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::store_standin;
using std::chrono::milliseconds;

namespace {

std::string instance_spec(const std::string& state) {
    return fmt::format(R"({{"Service":"g","Address":"127.0.0.1:7000","Zone":"a","Slots":2,)"
                       R"("State":"{}","DbRole":"replica","Seq":1}})",
                       state);
}

std::string configuration_spec(int version) {
    return fmt::format(
        R"({{"Version":{},"Routes":[],"Services":[],"Tenants":[{{"Name":"t","ApiKeys":["k{}"]}}]}})",
        version, version);
}

/// A host that follows a store, both in one loop.
struct follower_in_test {
    event_loop loop;
    store_standin store{loop};
    fleet_directory directory;
    object_store client{loop, store_standin::address()};
    directory_follower follower{loop, client, directory, {"host", "a", {"127.0.0.1", 7001}}};

    follower_in_test() {
        store.write("config", "main", configuration_spec(1));
        store.write("servers", "i", instance_spec("ready"));
    }

    // Lets the loop turn until the condition holds; the limit only ends a test that fails.
    template <class Condition>
    bool until(Condition condition) {
        const time_point limit = event_loop::now() + std::chrono::seconds(20);
        while (!condition() && event_loop::now() < limit) {
            turn(milliseconds(2));
        }
        return condition();
    }
    void turn(duration time) {
        const timer stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }
    bool until_complete() {
        follower.start();
        return until([this] { return follower.complete(); });
    }
    bool until_version(std::uint64_t version) {
        return until([&] { return directory.configuration()->version == version; });
    }
};

} // namespace

TEST_CASE("a host that follows the store") {
    follower_in_test test;

    SECTION("is complete once it has heard of everything, and has registered") {
        REQUIRE_FALSE(test.follower.complete());
        REQUIRE(test.until_complete());
        REQUIRE(test.directory.workspace_for_key("k1") == "t");
        REQUIRE(test.directory.instance("i")->group == "g");
        REQUIRE(test.until([&] { return test.store.has("bronzeplank-hosts", "host"); }));
        REQUIRE(test.until([&] { return test.directory.hosts().contains("host"); }));
    }
    SECTION("reads a list of several pages whole") {
        test.store.page = 2;
        for (const char* name : {"j", "k", "l", "m"}) {
            test.store.write("servers", name, instance_spec("ready"));
        }
        REQUIRE(test.until_complete());
        REQUIRE(test.directory.instances().size() == 5);
    }
    SECTION("hears of changes") {
        REQUIRE(test.until_complete());
        test.store.write("config", "main", configuration_spec(2));
        REQUIRE(test.until_version(2));
        test.store.write("servers", "i", instance_spec("draining"));
        REQUIRE(test.until([&] { return test.directory.instance("i")->leaving; }));
        test.store.write("evacuations", "b", "{}");
        REQUIRE(test.until([&] { return test.directory.withdrawn_domains().contains("b"); }));
        test.store.remove("evacuations", "b");
        REQUIRE(test.until([&] { return test.directory.withdrawn_domains().empty(); }));
    }
    SECTION("takes many changes in a row with few calls") {
        REQUIRE(test.until_complete());
        REQUIRE(test.until([&] { return test.directory.hosts().contains("host"); }));
        const int before = test.store.calls;
        constexpr int changes = 20;
        for (int i = 0; i < changes; ++i) {
            test.store.write("servers", "i" + std::to_string(i), instance_spec("ready"));
            test.turn(milliseconds(2));
        }
        REQUIRE(test.until([&] { return test.directory.instances().size() == changes + 1; }));
        REQUIRE(test.store.calls - before <= changes / 4);
    }
    SECTION("treats an entry that it can't read as no instance") {
        REQUIRE(test.until_complete());
        const std::string spec =
            GENERATE(std::string("{}"), std::string(R"("text")"), std::string(R"({"Service":7})"),
                     instance_spec("resting"));
        test.store.write("servers", "i", spec);
        REQUIRE(test.until([&] {
            test.directory.remove_expired(event_loop::now() + fleet_directory::expiry_grace);
            return test.directory.instance("i") == nullptr;
        }));
    }
    SECTION("lists again when the store has forgotten its history") {
        REQUIRE(test.until_complete());
        test.store.cut_watches();
        test.store.write("config", "main", configuration_spec(3));
        test.store.forget_history();
        REQUIRE(test.until_version(3));
    }
}

TEST_CASE("a host whose store is away") {
    follower_in_test test;
    REQUIRE(test.until_complete());
    test.store.present = GENERATE(store_standin::mood::busy, store_standin::mood::silent);
    test.store.cut_watches();
    REQUIRE(test.until([&] { return !test.client.reachable(); }));

    SECTION("goes on with what it knows, and catches up when the store returns") {
        test.store.write("config", "main", configuration_spec(2));
        REQUIRE(test.directory.configuration()->version == 1);
        test.store.present = store_standin::mood::usual;
        REQUIRE(test.until_version(2));
        REQUIRE(test.client.reachable());
    }
    SECTION("keeps an instance whose entry has lapsed until it is back, or its grace is over") {
        test.store.remove("servers", "i");
        test.store.present = store_standin::mood::usual;
        REQUIRE(test.until([&] { return test.client.reachable(); }));
        REQUIRE(test.directory.instance("i") != nullptr);
        test.store.write("servers", "i", instance_spec("ready"));
        const std::uint64_t back = test.store.revision();
        REQUIRE(test.until([&] { return test.follower.copy(false).list_revision >= back; }));
        test.directory.remove_expired(event_loop::now() + fleet_directory::expiry_grace);
        REQUIRE(test.directory.instance("i") != nullptr);
    }
    SECTION("takes over what a peer knows newer, and never an older configuration") {
        directory_snapshot copy{5, configuration_spec(5), 1000, {}, {"c"}};
        test.follower.accept(copy);
        REQUIRE(test.directory.workspace_for_key("k5") == "t");
        REQUIRE(test.directory.withdrawn_domains().contains("c"));
        copy.configuration_version = 4;
        copy.configuration_text = configuration_spec(4);
        test.follower.accept(copy);
        REQUIRE(test.directory.configuration()->version == 5);
    }
}

TEST_CASE("a host whose registration is not acknowledged") {
    follower_in_test test;
    test.store.present = store_standin::mood::forgets_to_answer;
    test.follower.start();
    REQUIRE(test.until([&] { return test.store.has("bronzeplank-hosts", "host"); }));

    SECTION("finds it in the next list, and writes no second one") {
        test.store.present = store_standin::mood::usual;
        REQUIRE(test.until([&] { return test.directory.hosts().contains("host"); }));
        REQUIRE(test.directory.hosts().at("host").peer_endpoint == endpoint{"127.0.0.1", 7001});
    }
}
