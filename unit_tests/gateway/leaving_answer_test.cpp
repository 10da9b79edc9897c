#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/gateway_fixture.h"

#include <thread>

using namespace gypsumhub;

namespace {

// By the pages a request may still reach the target for so long after its answer.
constexpr auto drainTime = std::chrono::milliseconds(3'000);
constexpr auto reportTime = std::chrono::milliseconds(2'500);

auto sendAll(int node, const std::string& prefix, int count) -> int
{
    auto served = 0;
    for (auto index = 0; index < count; ++index)
        served += sendRequest(gateway_fixture::callerAddress(node), index % 2 == 0 ? http::verb::post : http::verb::get, index % 2 == 0 ? "/unsafe/" : "/safe/", prefix + std::to_string(index)).status == 200 ? 1 : 0;
    return served;
}

} // namespace

TEST_CASE("DRAIN: a target whose answers say that it leaves gets no more requests, although its entry says that it is ready")
{
    auto fleet = gateway_fixture {};
    auto& leaving = *fleet.targets[0];
    leaving.setLeaving(true);
    // Until it has answered one request at least. The other node is told, again after 1 s, since it may have just started.
    CHECK(eventually([&] { return sendAll(0, "before-", 4) == 4 && leaving.totalRuns() > 0; }));
    std::this_thread::sleep_for(reportTime);
    auto before = leaving.arrivals().size();
    CHECK(before == 1);
    CHECK(sendAll(0, "at-once-", 30) == 30);
    CHECK(sendAll(1, "other-node-", 30) == 30);
    // The heartbeat of the target repeats its entry.
    fleet.registerTarget(0, "ready");
    std::this_thread::sleep_for(drainTime);
    CHECK(sendAll(0, "later-", 30) == 30);
    CHECK(leaving.arrivals().size() == before);
    // A new incarnation at the same address is used.
    leaving.setLeaving(false);
    leaving.crash();
    fleet.restartTarget(0);
    CHECK(eventually([&] { return sendAll(0, "again-", 4) == 4 && leaving.arrivals().size() > before; }));
}

TEST_CASE("DRAIN: a refusal that says that the target leaves counts like an answer")
{
    auto fleet = gateway_fixture {};
    auto& leaving = *fleet.targets[1];
    leaving.setLeaving(true);
    leaving.setBehaviour(target_behaviour::Sheds);
    CHECK(eventually([&] { return sendAll(1, "before-", 4) == 4 && !leaving.arrivals().empty(); }));
    leaving.setBehaviour(target_behaviour::Normal);
    auto before = leaving.arrivals().size();
    CHECK(sendAll(1, "after-", 30) == 30);
    CHECK(leaving.arrivals().size() == before);
}

TEST_CASE("DRAIN: when all targets say that they leave, requests are refused at once as not run")
{
    auto fleet = gateway_fixture {};
    for (auto& target : fleet.targets)
        target->setLeaving(true);
    CHECK(eventually([&] { return sendAll(0, "before-", 6) == 0; }));
    auto sentAt = bootClockNow();
    auto refused = sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", "refused");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(bootClockNow() - sentAt < milliseconds(500));
    CHECK(fleet.executionsOf("refused") == 0);
}
