#include "platform/caller_listener.hpp"

#include "model/single_host.hpp"
#include "platform/line_codec.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fmt/format.h>

using namespace bronzeplank;
using namespace bronzeplank::platform;
using model::single_host;

namespace {

// No other fixture listens on this port. Tests that listen on a port are run one at a time.
const endpoint callers_endpoint{"127.0.0.1", 7596};

/// A caller's connection, in the event loop of the host.
class line_caller {
public:
    explicit line_caller(event_loop& loop)
        : m_stream(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(callers_endpoint.port);
        inet_pton(AF_INET, callers_endpoint.address.c_str(), &address.sin_addr);
        bufferevent_setcb(m_stream, nullptr, nullptr, &line_caller::on_event, this);
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
        bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr*>(&address), sizeof address);
    }
    ~line_caller() { bufferevent_free(m_stream); }
    line_caller(const line_caller&) = delete;
    line_caller& operator=(const line_caller&) = delete;

    void send(const std::string& bytes) const {
        bufferevent_write(m_stream, bytes.data(), bytes.size());
    }
    /// All that was received since the last call.
    std::string take_received() const {
        evbuffer* input = bufferevent_get_input(m_stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        return bytes;
    }
    std::size_t received_bytes() const {
        return evbuffer_get_length(bufferevent_get_input(m_stream));
    }
    bool closed() const { return m_closed; }

private:
    static void on_event(bufferevent*, short events, void* self) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<line_caller*>(self)->m_closed = true;
        }
    }

    bufferevent* m_stream;
    bool m_closed = false;
};

/// A host with one session of a caller.
struct listener_fixture {
    single_host host;
    memory_guard guard{host.loop, 16U << 20U};
    caller_limits limits{std::chrono::milliseconds(500), std::chrono::milliseconds(500)};
    caller_listener listener{*host.service, callers_endpoint, 10, guard, limits};
    line_caller caller{host.loop};

    explicit listener_fixture(const std::string& database = "strict") {
        REQUIRE(exchange("START " + database + " key") == "READY I -\r\n");
    }

    std::string exchange(const std::string& line) {
        caller.send(line + "\r\n");
        return next_answer();
    }
    std::string next_answer() {
        REQUIRE(host.run_until([&] { return caller.received_bytes() > 0; }));
        return caller.take_received();
    }
    /// Sends a statement that is passed on to an instance.
    void start(const std::string& text) {
        caller.send("QUERY 1 " + text + "\r\n");
        REQUIRE(host.run_until([&] { return !host.sent.empty(); }));
    }
    std::string complete(const std::string& text) {
        start(text);
        host.answer(upstream_result::done);
        return next_answer();
    }
    bool until_closed() {
        return host.run_until([&] { return caller.closed(); });
    }
};

} // namespace

// The rest of a text after a line feed ran as a statement that its caller had not sent.
TEST_CASE("a caller's text with a line feed") {
    listener_fixture test;
    const std::string data = GENERATE(as<std::string>(), "one\nQUERY 2 WRITE 2b7 two", "one\n",
                                      "\n", "one\rtwo", "one\n\rtwo");

    SECTION("is passed on unchanged, as one statement") {
        test.start("WRITE 1a4 " + data);
        REQUIRE(test.host.sent.front().work.request.text == "WRITE 1a4 " + data);
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE_FALSE(test.host.run_until([&] { return !test.host.sent.empty(); }));
    }
}

// Statements of open transactions got no answer when a host stopped.
TEST_CASE("a host that stops and has a transaction open") {
    listener_fixture test;
    REQUIRE(test.exchange("QUERY 1 BEGIN") == "COMPLETE -\r\nREADY T -\r\n");

    SECTION("keeps it open at first") {
        test.listener.end_idle_sessions();
        REQUIRE(test.complete("WRITE 2b7 x") == "ROW row\r\nCOMPLETE signature\r\nREADY T -\r\n");
        REQUIRE(test.complete("COMMIT") == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("then lets its running statement end, and fails the next one") {
        test.start("READ 1a4");
        test.listener.end_transactions();
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY T -\r\n");
        REQUIRE(test.exchange("QUERY 1 READ 2b7") ==
                "ERROR ABORTED the host is stopping\r\nREADY E -\r\n");
        REQUIRE(test.host.ended_transactions.size() == 1);
        REQUIRE(test.exchange("QUERY 1 ROLLBACK") == "COMPLETE -\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("still commits it") {
        test.complete("WRITE 2b7 x");
        test.listener.end_transactions();
        REQUIRE(test.complete("COMMIT") == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("at last answers of a running read that nothing is kept, and rolls back") {
        test.start("READ 1a4");
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR ABORTED the host is stopping\r\nREADY E -\r\n");
        REQUIRE(test.host.ended_transactions.size() == 1);
        REQUIRE(test.until_closed());
        SECTION("and drops an answer that comes later") {
            test.host.answer(upstream_result::done);
            REQUIRE(test.caller.received_bytes() == 0);
        }
    }
    SECTION("at last answers of a running commit that it may have taken effect") {
        test.complete("WRITE 2b7 x");
        test.start("COMMIT");
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR INDOUBT the host is stopping\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("at last closes it, although its caller rests") {
        test.complete("WRITE 2b7 x");
        test.listener.end_all_sessions();
        REQUIRE(test.until_closed());
        REQUIRE(test.host.ended_transactions.size() == 1);
    }
}

TEST_CASE("a host that stops and runs a single statement") {
    listener_fixture test;

    SECTION("closes the session after its answer") {
        test.start("WRITE 2b7 x");
        test.listener.end_idle_sessions();
        test.listener.end_transactions();
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("at last answers that a write may have taken effect") {
        test.start("WRITE 2b7 x");
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR INDOUBT the host is stopping\r\nREADY I -\r\n");
    }
    SECTION("at last answers that nothing is kept of a read") {
        test.start("READ 2b7");
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR ABORTED the host is stopping\r\nREADY I -\r\n");
    }
    SECTION("at last answers that one has not run which waits for a primary") {
        test.host.directory.apply_instance_list({}, event_loop::now());
        test.host.directory.remove_expired(event_loop::now() + fleet_directory::expiry_grace);
        test.caller.send("QUERY 1 WRITE 2b7 x\r\n");
        test.host.run_until([&, calls = 0]() mutable { return ++calls > 5; });
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR BUSY the host is stopping\r\nREADY I -\r\n");
        REQUIRE(test.host.sent.empty());
    }
    SECTION("begins no transaction that it would have to end") {
        test.listener.end_transactions();
        REQUIRE(test.until_closed());
        line_caller late(test.host.loop);
        late.send("START strict key\r\nQUERY 1 BEGIN\r\n");
        const std::string refused = "READY I -\r\nERROR BUSY the host is stopping\r\nREADY I -\r\n";
        REQUIRE(test.host.run_until([&] { return late.received_bytes() == refused.size(); }));
        REQUIRE(late.take_received() == refused);
    }
}

// A statement that had been received behind a running one was dropped without an answer.
TEST_CASE("a host that stops and has received a statement ahead") {
    listener_fixture test;
    const std::string answer = "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n";
    test.start("READ 1a4");
    test.caller.send("QUERY 2 READ 1a5\r\nQUERY 3 READ 1a6\r\nQUERY 4 RE");
    REQUIRE(test.host.run_until([&] { return test.guard.budget().used(memory_use::input) > 40; }));

    SECTION("answers it after the one before, then closes") {
        test.listener.end_idle_sessions();
        for (const char* text : {"READ 1a4", "READ 1a5", "READ 1a6"}) {
            REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
            REQUIRE(test.host.sent.front().work.request.text == text);
            test.host.answer(upstream_result::done);
            REQUIRE(test.next_answer() == answer);
        }
        REQUIRE(test.until_closed());
    }
    SECTION("at last answers that it has not run") {
        test.listener.end_idle_sessions();
        test.listener.end_all_sessions();
        const std::string refused = "ERROR BUSY the host is stopping\r\nREADY I -\r\n";
        const std::string all =
            "ERROR ABORTED the host is stopping\r\nREADY I -\r\n" + refused + refused;
        REQUIRE(test.until_closed());
        REQUIRE(test.caller.take_received() == all);
        REQUIRE(test.host.sent.size() == 1);
    }
}

// Callers that never completed a line held their sessions for ever.
TEST_CASE("a caller that is late with a line") {
    listener_fixture test;

    SECTION("is closed if it is the first one") {
        line_caller silent(test.host.loop);
        REQUIRE(test.host.run_until([&] { return silent.closed(); }));
        REQUIRE(silent.take_received() == "ERROR TIMEOUT no first line was received in time\r\n");
        REQUIRE_FALSE(test.caller.closed());
    }
    SECTION("is closed if it stops half-way through a later one") {
        test.caller.send("QUERY 1 WRI");
        REQUIRE(test.until_closed());
        REQUIRE(test.caller.take_received() ==
                "ERROR TIMEOUT the line was not complete in time\r\n");
        REQUIRE(test.guard.budget().used(memory_use::input) == 0);
    }
    SECTION("is not closed while its statement runs") {
        test.start("WRITE 2b7 x");
        const time_point until = event_loop::now() + std::chrono::seconds(2);
        test.host.run_until([&] { return event_loop::now() > until; });
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
    }
}

// A hundred lines of 1 MiB at once filled a host's memory.
TEST_CASE("a caller whose statement doesn't fit into the budget") {
    listener_fixture test;
    const auto other = test.guard.add();
    test.guard.set(other, memory_use::statements, 6U << 20U);
    const std::string data(max_line_bytes - 100, 'x');
    test.caller.send("QUERY 1 WRITE 1a4 " + data + "\r\n");
    REQUIRE_FALSE(test.host.run_until([&] { return !test.host.sent.empty(); }));

    SECTION("waits until others have ended, and is served then") {
        test.guard.remove(other);
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
        REQUIRE(test.host.sent.front().work.request.text == "WRITE 1a4 " + data);
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE(test.guard.budget().used(memory_use::statements) == 0);
    }
    // It had been read, and was dropped without an answer.
    SECTION("is served although the host stops meanwhile") {
        test.listener.end_idle_sessions();
        test.listener.end_transactions();
        REQUIRE_FALSE(test.until_closed());
        test.guard.remove(other);
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
        test.host.answer(upstream_result::done);
        REQUIRE(test.next_answer() == "ROW row\r\nCOMPLETE signature\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
    }
    SECTION("is told at last that the statement has not run, if the host stops") {
        test.listener.end_all_sessions();
        REQUIRE(test.next_answer() == "ERROR BUSY the host is stopping\r\nREADY I -\r\n");
        REQUIRE(test.until_closed());
        REQUIRE(test.host.sent.empty());
    }
}

// They were resumed in the order of their sessions' addresses, so that some waited for seconds
// while others were served again and again.
TEST_CASE("callers whose statements don't fit into the budget are served in turn") {
    listener_fixture test;
    std::vector<std::unique_ptr<line_caller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<line_caller>(test.host.loop));
        callers.back()->send("START strict key\r\n");
        REQUIRE(test.host.run_until([&] { return callers.back()->received_bytes() > 0; }));
    }
    const auto other = test.guard.add();
    test.guard.set(other, memory_use::statements, 6U << 20U);
    const std::string data(max_line_bytes - 100, 'x');
    const std::vector<std::string> order{"WRITE 2 ", "WRITE 0 ", "WRITE 3 ", "WRITE 1 "};
    for (const auto& text : order) {
        const auto index = static_cast<std::size_t>(text.at(6) - '0');
        const std::size_t before = test.guard.budget().used(memory_use::input);
        callers.at(index)->send(fmt::format("QUERY 1 {}{}\r\n", text, data));
        REQUIRE(test.host.run_until(
            [&] { return test.guard.budget().used(memory_use::input) >= before + data.size(); }));
    }
    test.guard.remove(other);
    std::vector<std::string> served;
    while (served.size() < order.size()) {
        REQUIRE(test.host.run_until([&] { return !test.host.sent.empty(); }));
        served.push_back(test.host.sent.front().work.request.text.substr(0, 8));
        test.host.answer(upstream_result::done);
    }
    REQUIRE(served == order);
}

// 256 values of 1 MiB each were kept for a session.
TEST_CASE("a session whose values are too large") {
    listener_fixture test;
    test.host.service->limits.session_bytes = 1000;
    const std::string value(600, 'x');
    const std::string done = "COMPLETE -\r\nREADY I -\r\n";
    REQUIRE(test.exchange("QUERY 1 SET a " + value) == done);

    SECTION("keeps those that fit, and replaces them") {
        REQUIRE(test.exchange("QUERY 1 SET b " + value) ==
                "ERROR TOOBIG the session's values and prepared statements are too large\r\n"
                "READY I -\r\n");
        REQUIRE(test.exchange("QUERY 1 SET a " + value) == done);
        REQUIRE(test.guard.budget().used(memory_use::sessions) == 601);
    }
    SECTION("counts prepared statements until they are closed") {
        REQUIRE(test.exchange("QUERY 1 PREPARE s READ " + std::string(200, 'x')) == done);
        REQUIRE(test.exchange("QUERY 1 SET b " + std::string(300, 'x')) != done);
        REQUIRE(test.exchange("QUERY 1 CLOSE s") == done);
        REQUIRE(test.exchange("QUERY 1 SET b " + std::string(300, 'x')) == done);
    }
}
