#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/gateway_fixture.h"

#include <array>

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

// Guards against nodes that wait for the ones that watch the configuration for longer than the users allow.
TEST_CASE("CONFIG: while the store answers nothing to the two nodes that watch the configuration, the others follow a new one in time")
{
    constexpr auto configurationTime = milliseconds(2'000);
    auto fleet = gateway_fixture {};
    for (auto node : { 2, 3 })
        fleet.startNode(node);
    REQUIRE(eventually([&] { return fleet.isReady(2) && fleet.isReady(3); }));
    // The first seconds of a node, in which it reads more often.
    std::this_thread::sleep_for(std::chrono::milliseconds(5'000));
    for (auto round = 0; round < 4; ++round) {
        CAPTURE(round);
        auto isOld = [&](int node) {
            auto status = sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", "r" + std::to_string(round)).status;
            return status == (round % 2 == 0 ? 200U : 503U);
        };
        for (auto node : { 0, 1 })
            fleet.store.setSilent(static_cast<size_t>(node), true);
        fleet.configure(2 + round, round % 2 == 0 ? "empty" : "bookdesk");
        auto ackedAt = bootClockNow();
        auto lastOldAt = std::array<time_point, 2> { ackedAt, ackedAt };
        while (bootClockNow() < ackedAt + configurationTime + milliseconds(1'000)) {
            for (auto node : { 2, 3 }) {
                auto sentAt = bootClockNow();
                if (isOld(node))
                    lastOldAt[static_cast<size_t>(node - 2)] = sentAt;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        for (auto node : { 0, 1 })
            fleet.store.setSilent(static_cast<size_t>(node), false);
        for (auto node : { 2, 3 }) {
            CAPTURE(node);
            CAPTURE((lastOldAt[static_cast<size_t>(node - 2)] - ackedAt).milliseconds());
            CHECK((lastOldAt[static_cast<size_t>(node - 2)] <= ackedAt + configurationTime));
            CHECK_FALSE(isOld(node));
        }
        // The nodes are in touch with the store again.
        std::this_thread::sleep_for(std::chrono::milliseconds(4'000));
    }
}
