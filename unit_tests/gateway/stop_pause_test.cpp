#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <thread>

using namespace gypsumhub;

namespace {

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

TEST_CASE("a node that is paused when its signal comes still ends before it is killed, and answers what is open")
{
    // The platform kills the node 3 s after the signal.
    auto fleet = gateway_fixture(milliseconds(3'000), 6);
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto workMs : { 1'000, 2'000, 3'800 }) {
        auto id = "open-" + std::to_string(workMs);
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        callers.back()->send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = workMs }.text());
        REQUIRE(eventually([&] { return fleet.executionsOf(id) == 1; }));
    }
    fleet.pauseNode(0, std::chrono::milliseconds(1'200));
    sleepFor(100);
    auto signalledAt = bootClockNow();
    fleet.nodes[0]->requestStop();
    auto statuses = std::vector<unsigned> {};
    for (auto& caller : callers)
        statuses.push_back(caller->read().status);
    auto took = bootClockNow() - signalledAt;
    CAPTURE(took.milliseconds());
    CHECK(statuses == std::vector<unsigned> { 200, 200, 504 });
    CHECK((took < milliseconds(2'950)));
}

TEST_CASE("a stopping node that is paused until its end delivers the answers that arrived meanwhile")
{
    // Ends 1.6 s after the signal and is killed after 2 s.
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(2'000), 6);
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto workMs : { 900, 1'000, 1'100, 1'200 }) {
        auto id = "open-" + std::to_string(workMs);
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        callers.back()->send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = workMs }.text());
        REQUIRE(eventually([&] { return fleet->executionsOf(id) == 1; }));
    }
    fleet->nodes[0]->requestStop();
    sleepFor(400);
    fleet->pauseNode(0, std::chrono::milliseconds(1'350));
    auto statuses = std::vector<unsigned> {};
    auto reader = std::thread([&] {
        for (auto& caller : callers)
            statuses.push_back(caller->read().status);
    });
    fleet.reset();
    reader.join();
    CHECK(statuses == std::vector<unsigned> { 200, 200, 200, 200 });
}

TEST_CASE("a node that was paused for longer than its stop limit before its signal came answers what is open")
{
    auto fleet = gateway_fixture(milliseconds(1'500), 6);
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .method = "POST", .path = "/unsafe/", .delayMs = 2'900 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    fleet.pauseNode(0, std::chrono::milliseconds(2'400));
    sleepFor(2'300);
    fleet.nodes[0]->requestStop();
    CHECK(caller.read().status == 200);
}
