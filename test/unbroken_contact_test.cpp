#include "bronzeplank/unbroken_contact.hpp"

#include <catch2/catch.hpp>

using namespace bronzeplank;
using std::chrono::milliseconds;

TEST_CASE("contact with a group") {
    const time_point start{std::chrono::hours(1)};
    unbroken_contact contact;

    SECTION("is not established by a confirmation alone") {
        contact.record_confirmation(start, start);
        REQUIRE_FALSE(contact.unbroken(start));
    }
    SECTION("that was proved") {
        contact.restore(start);
        REQUIRE(contact.unbroken(start));
        SECTION("lasts while confirmations follow each other closely") {
            time_point now = start;
            for (int i = 0; i < 10; ++i) {
                const time_point requested = now + milliseconds(100);
                now += unbroken_contact::max_interval;
                contact.record_confirmation(requested, now);
                REQUIRE(contact.unbroken(now));
                now = requested;
            }
        }
        SECTION("breaks when a confirmation comes too late, and later ones don't restore it") {
            const time_point late = start + unbroken_contact::max_interval + milliseconds(1);
            contact.record_confirmation(start + milliseconds(10), late);
            REQUIRE_FALSE(contact.unbroken(late));
            contact.record_confirmation(late, late);
            REQUIRE_FALSE(contact.unbroken(late));
        }
        SECTION("is restored by a proof that arrives late, if confirmations have followed it") {
            const time_point asked = start + unbroken_contact::max_interval * 3;
            contact.record_confirmation(asked - milliseconds(1), asked);
            const time_point proved = asked + unbroken_contact::max_interval / 2;
            contact.record_confirmation(proved - milliseconds(1), proved);
            contact.restore(asked);
            REQUIRE(contact.unbroken(proved));
            SECTION("but not by one from before they began") {
                unbroken_contact other;
                other.record_confirmation(proved, proved);
                other.restore(start);
                REQUIRE_FALSE(other.unbroken(proved));
            }
        }
        SECTION("is forgotten with the primary") {
            contact.reset();
            REQUIRE_FALSE(contact.unbroken(start));
        }
        SECTION("needs a confirmation in time") {
            REQUIRE_FALSE(contact.needs_confirmation(start));
            REQUIRE(contact.needs_confirmation(start + unbroken_contact::max_interval / 2));
        }
    }
}
