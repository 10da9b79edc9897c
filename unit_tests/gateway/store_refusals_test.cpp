#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/gateway_fixture.h"

using namespace gypsumhub;

// Guards against a first node that takes its own refusals for an outage of the store, and then holds removals for the whole fleet.
TEST_CASE("DRAIN: when the store serves the first node again, which it had turned away alone, a target that leaves is dropped in time")
{
    constexpr auto drainTime = milliseconds(2'000);
    auto fleet = gateway_fixture {};
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    fleet.store.setTurnedAway(0, true);
    REQUIRE(eventually([&] { return fleet.linesOfEvent("store_lost") > 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(3'200));
    CHECK(fleet.metricOf(0, "registrations_age_seconds") >= 3);
    fleet.store.setTurnedAway(0, false);
    REQUIRE(eventually([&] { return fleet.metricOf(0, "registrations_age_seconds") == 0; }));
    fleet.store.remove("servers/" + gateway_fixture::targetId(2));
    auto removedAt = bootClockNow();
    auto number = 0;
    auto send = [&](const std::string& prefix) {
        auto id = prefix + std::to_string(number++);
        CHECK(sendRequest(gateway_fixture::callerAddress(number % 2), http::verb::get, "/safe/", id).status == 200);
        return fleet.targets[2]->runs(id);
    };
    auto lastReachedAt = removedAt;
    while (bootClockNow() < removedAt + drainTime + milliseconds(500)) {
        auto sentAt = bootClockNow();
        if (send("late-") > 0)
            lastReachedAt = sentAt;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CAPTURE((lastReachedAt - removedAt).milliseconds());
    CHECK((lastReachedAt <= removedAt + drainTime));
    CHECK(fleet.linesOfEvent("store_outage") == 0);
}
