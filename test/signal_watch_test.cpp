#include "runtime/signal_watch.hpp"

#include <catch2/catch.hpp>
#include <poll.h>

using namespace bronzeplank;

// A host was ended by a signal while it started or ended, and by a call that a signal interrupted.
TEST_CASE("a signal that is blocked") {
    const int number = GENERATE(SIGTERM, SIGHUP);
    event_loop loop;
    const blocked_signals signals({SIGTERM, SIGHUP});

    SECTION("is received once the loop watches it, if it arrived before") {
        std::raise(number);
        std::vector<int> received;
        {
            const signal_watch watch(loop, signals, [&](int signal) {
                received.push_back(signal);
                loop.stop();
            });
            loop.run();
            REQUIRE(received == std::vector<int>{number});
            SECTION("and each time after that") {
                std::raise(number);
                loop.run();
                REQUIRE(received == std::vector<int>{number, number});
            }
        }
        SECTION("and has no effect when the loop watches it no more") {
            std::raise(number);
            REQUIRE(received.size() == 1);
        }
    }
    SECTION("interrupts no system call") {
        const signal_watch watch(loop, signals, [](int) {});
        std::raise(number);
        REQUIRE(poll(nullptr, 0, 1) == 0);
    }
    // What is pending must not reach the test program.
    std::signal(number, SIG_IGN);
    pthread_sigmask(SIG_UNBLOCK, &signals.set(), nullptr);
    std::signal(number, SIG_DFL);
}
