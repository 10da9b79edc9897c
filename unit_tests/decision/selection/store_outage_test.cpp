#include "gypsumhub/decision/selection/registration_view.h"
#include "gypsumhub/decision/selection/store_outage.h"
#include "unit_tests/decision/selection/member_nodes.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("DRAIN: a watch that is cut, or a call that is refused, is no outage of the store")
{
    auto outage = store_outage {};
    CHECK_FALSE(outage.recordAnswer(at(1'000), {}));
    // Another watch has waited for long when it is cut.
    outage.recordFailure(at(30'000));
    CHECK_FALSE(outage.recordAnswer(at(30'200), {}));
    // A node that is turned away three times in a row, each time after the pause of a failed call.
    for (auto ms : { 31'000, 31'200, 31'400 })
        outage.recordFailure(at(ms));
    CHECK_FALSE(outage.recordAnswer(at(31'600), {}));
}

TEST_CASE("DRAIN: the store is not out while it serves another node")
{
    auto outage = store_outage {};
    CHECK_FALSE(outage.recordAnswer(at(1'000), {}));
    for (auto ms = int64_t { 1'500 }; ms < 10'000; ms += 500)
        outage.recordFailure(at(ms));
    CHECK_FALSE(outage.recordAnswer(at(10'000), at(9'200)));
}

TEST_CASE("DRAIN: the store is not out while other nodes, which read in the place of the one that it turns away, say that it serves them")
{
    auto outage = store_outage {};
    CHECK_FALSE(outage.recordAnswer(at(1'000), {}));
    for (auto ms = int64_t { 1'500 }; ms < 10'000; ms += 500) {
        outage.recordFailure(at(ms));
        // The next node has read the store up to 1.1 s before its hello.
        outage.recordServed(at(ms - 600));
    }
    CHECK_FALSE(outage.recordAnswer(at(10'000), {}));
}

TEST_CASE("an outage is noticed also by a node that hears of the store's return from another one first")
{
    for (auto failsFromMs : { 1'200, 2'600 }) {
        CAPTURE(failsFromMs);
        auto outage = store_outage {};
        CHECK_FALSE(outage.recordAnswer(at(1'000), {}));
        outage.recordServed(at(1'050));
        for (auto ms = int64_t { failsFromMs }; ms < 6'000; ms += 200)
            outage.recordFailure(at(ms));
        // Hellos of nodes that the store does not serve either.
        for (auto count = 0; count < 5; ++count)
            outage.recordServed(at(1'050));
        outage.recordServed(at(5'950));
        CHECK(outage.recordAnswer(at(6'000), {}));
        CHECK_FALSE(outage.recordAnswer(at(6'200), {}));
    }
}

TEST_CASE("a store that serves nobody for longer is out, and its return is reported once")
{
    auto outage = store_outage {};
    CHECK_FALSE(outage.recordAnswer(at(1'000), at(900)));
    // The first call to the silent store fails at its time limit.
    outage.recordFailure(at(2'600));
    outage.recordFailure(at(4'100));
    CHECK(outage.recordAnswer(at(4'500), at(1'000)));
    CHECK_FALSE(outage.recordAnswer(at(4'600), at(1'000)));
}

TEST_CASE("an outage is noticed whatever its way, from the shortest in which the store loses entries of live targets")
{
    // Three heartbeat intervals of 1.2 s, of which one may have passed before.
    constexpr auto shortestMs = int64_t { 2'400 };
    constexpr auto silentCallMs = int64_t { 1'500 };
    constexpr auto readerPauseMs = int64_t { 440 };
    // Calls fail at once, or after their time limit; the outage begins at any moment between two calls.
    for (auto failsAfterMs : { int64_t { 0 }, silentCallMs }) {
        for (auto beginsMs = int64_t { 1'000 }; beginsMs < 1'500; beginsMs += 10) {
            auto outage = store_outage {};
            auto nextCall = int64_t { 0 };
            auto wasReported = false;
            while (nextCall < beginsMs + 10'000) {
                auto isOut = nextCall >= beginsMs && nextCall < beginsMs + shortestMs;
                if (isOut) {
                    nextCall += failsAfterMs;
                    outage.recordFailure(at(nextCall));
                    nextCall += 200;
                } else {
                    wasReported |= outage.recordAnswer(at(nextCall), {});
                    nextCall += readerPauseMs;
                }
            }
            CAPTURE(beginsMs);
            CHECK(wasReported);
        }
    }
}
