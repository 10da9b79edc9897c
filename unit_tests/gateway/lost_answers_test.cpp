#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

// The bounds of the users' rules: how long the store has to be sound for them to hold, and when a configuration must be in force.
constexpr auto contactTime = milliseconds(3'000);
constexpr auto configurationTime = milliseconds(2'000);

auto sleepUntilTime(time_point when) -> void
{
    while (bootClockNow() < when)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

} // namespace

// Guards against a fleet that keeps the old configuration when the store loses the answers that tell of a new one.
TEST_CASE("CONFIG: when the store loses the answers to the watches on the configuration, the nodes learn of it all the same")
{
    auto fleet = gateway_fixture {};
    auto isOld = [&](int node, const std::string& id) { return sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", id).status == 200; };
    REQUIRE(isOld(0, "before"));
    fleet.store.loseWatchAnswers("op/config");
    fleet.configure(2, "empty");
    auto ackedAt = bootClockNow();
    // Both watches of the two nodes, or the first one if the second node hears of the configuration only from it.
    REQUIRE(eventually([&] { return fleet.store.lostAnswers() > 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fleet.store.loseWatchAnswers({});
    auto soundAt = bootClockNow();
    sleepUntilTime(std::max(soundAt + contactTime, ackedAt + configurationTime));
    for (auto node : { 0, 1 }) {
        CAPTURE(node);
        CHECK_FALSE(isOld(node, "after-" + std::to_string(node)));
    }
}

// Guards against nodes that do not know of a new node, since the answer that told of it was lost.
TEST_CASE("when the store loses the answer to the watch on the nodes, a new node is known all the same")
{
    auto fleet = gateway_fixture {};
    auto group = [&] {
        auto answer = sendRequest(gateway_fixture::addressOf(0, gateway_fixture::portOf(3)), http::verb::get, "/gypsumhub/resolve?name=h.example&region=a&data_centre=a1", "");
        return answer.body;
    };
    REQUIRE(eventually([&] { return group().find(gateway_fixture::callerAddress(1).address) != std::string::npos; }));
    // The first seconds of a node, in which it reads the nodes more often.
    std::this_thread::sleep_for(std::chrono::milliseconds(6'500));
    fleet.store.loseWatchAnswers("gypsumhub/nodes/");
    fleet.startNode(2);
    REQUIRE(eventually([&] { return fleet.store.lostAnswers() > 0; }));
    fleet.store.loseWatchAnswers({});
    auto soundAt = bootClockNow();
    auto isKnown = [&] { return group().find(gateway_fixture::callerAddress(2).address) != std::string::npos; };
    while (!isKnown() && bootClockNow() < soundAt + seconds(10))
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(bootClockNow() < soundAt + seconds(10));
}
