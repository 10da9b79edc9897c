#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/gateway_fixture.h"

using namespace gypsumhub;

namespace {

constexpr auto pauseTime = milliseconds(3'000);
// Of the users' rule: requests that are on their way when the target asks for the pause.
constexpr auto slack = milliseconds(500);

auto send(int node, const std::string& id) -> received_answer
{
    return sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", id);
}

} // namespace

// Guards against a node that asks a target again that has asked for a pause.
TEST_CASE("BUDGET: a target that asks one node for a pause gets nothing from it until the pause ends, and requests of the other node")
{
    auto fleet = gateway_fixture {};
    auto& paused = *fleet.targets[0];
    paused.setBehaviour(target_behaviour::Sheds);
    paused.setRetryAfter("3");
    auto count = 0;
    CHECK(eventually([&] { return send(0, "before-" + std::to_string(count++)).status == 200 && !paused.arrivals().empty(); }));
    auto pausedAt = paused.arrivals().front().at;
    paused.setBehaviour(target_behaviour::Normal);
    while (bootClockNow() < pausedAt + pauseTime - milliseconds(100))
        CHECK(send(0, "during-" + std::to_string(count++)).status == 200);
    auto inside = 0;
    for (auto& arrival : paused.arrivals())
        inside += arrival.at > pausedAt + slack && arrival.at < pausedAt + pauseTime ? 1 : 0;
    CHECK(inside == 0);
    CHECK(eventually([&] { return send(0, "after-" + std::to_string(count++)).status == 200 && paused.arrivals().size() > 1; }));
    auto last = paused.arrivals().back();
    CHECK(last.at >= pausedAt + pauseTime);
}

TEST_CASE("a pause is that of one node: the others go on, and a new incarnation of the target has none")
{
    auto fleet = gateway_fixture {};
    auto& paused = *fleet.targets[0];
    paused.setBehaviour(target_behaviour::Sheds);
    paused.setRetryAfter("30");
    auto count = 0;
    CHECK(eventually([&] { return send(0, "before-" + std::to_string(count++)).status == 200 && !paused.arrivals().empty(); }));
    paused.setBehaviour(target_behaviour::Normal);
    CHECK(eventually([&] { return send(1, "other-" + std::to_string(count++)).status == 200 && paused.totalRuns() > 0; }));
    paused.setRetryAfter({});
    paused.crash();
    auto before = paused.arrivals().size();
    fleet.restartTarget(0);
    CHECK(eventually([&] { return send(0, "new-" + std::to_string(count++)).status == 200 && paused.arrivals().size() > before; }));
}

TEST_CASE("when all targets ask for a pause, requests are refused at once until the earliest pause ends")
{
    auto fleet = gateway_fixture {};
    fleet.setBehaviour(target_behaviour::Sheds);
    for (auto& target : fleet.targets)
        target->setRetryAfter("3");
    auto count = 0;
    auto arrivals = [&] { return fleet.targets[0]->arrivals().size() + fleet.targets[1]->arrivals().size() + fleet.targets[2]->arrivals().size(); };
    CHECK(eventually([&] { send(0, "before-" + std::to_string(count++)); return !fleet.targets[0]->arrivals().empty() && !fleet.targets[1]->arrivals().empty() && !fleet.targets[2]->arrivals().empty(); }));
    auto before = arrivals();
    auto sentAt = bootClockNow();
    auto refused = send(0, "refused");
    CHECK(refused.status == 503);
    CHECK(bootClockNow() - sentAt < milliseconds(500));
    REQUIRE_FALSE(refused.retryAfter.empty());
    // Callers come back spread over half as much again.
    CHECK(std::stod(refused.retryAfter) > 1.0);
    CHECK(std::stod(refused.retryAfter) <= 4.5);
    CHECK(arrivals() == before);
}
