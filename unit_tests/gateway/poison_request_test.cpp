#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <numeric>

using namespace gypsumhub;

namespace {

constexpr auto targetCount = 8;
constexpr auto stopLimit = milliseconds(2'000);

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Restarts crashed targets after a while, as the platform does.
class target_restarter {
public:
    explicit target_restarter(gateway_fixture& fleet)
        : m_thread([this, &fleet] {
            while (!m_isStopping) {
                for (auto index = 0; index < targetCount; ++index) {
                    auto& target = *fleet.targets[static_cast<size_t>(index)];
                    if (target.isDown() && bootClockNow() > target.crashTimes().back() + milliseconds(500))
                        fleet.restartTarget(index);
                }
                sleepFor(10);
            }
        })
    {
    }

    ~target_restarter()
    {
        m_isStopping = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// A copy of the request that crashes targets, with its answer.
struct poison_copy {
    raw_request request;
    time_point sentAt;
    raw_answer answer;
};

auto makePoison(const std::string& method, const std::string& id) -> raw_request
{
    auto isPost = method == "POST";
    return { .id = id, .method = method, .path = isPost ? "/unsafe/poison" : "/safe/poison", .delayMs = 50, .body = isPost ? "poison" : "", .fields = std::string(fake_gateway_target::crashField) + ": 1\r\n", .deadlineMs = 2000 };
}

// An ended connection counts as answer 0.
auto ask(int node, const raw_request& request, const std::string& localAddress = {}) -> raw_answer
{
    auto caller = raw_caller(gateway_fixture::callerAddress(node), localAddress);
    caller.send(request.text());
    return caller.read();
}

// When targets crashed, in order.
auto crashTimes(gateway_fixture& fleet) -> std::vector<time_point>
{
    auto times = std::vector<time_point> {};
    for (auto& target : fleet.targets) {
        auto own = target->crashTimes();
        times.insert(times.end(), own.begin(), own.end());
    }
    std::ranges::sort(times);
    return times;
}

// Sends copies alternately to both nodes until `time` after the third crash, and waits for all answers. With `hasManyCallers` each comes
// from an address of its own.
auto sendCopies(gateway_fixture& fleet, const std::string& method, duration time, bool hasManyCallers = false) -> std::vector<poison_copy>
{
    constexpr auto mostCopies = size_t { 100 };
    auto copies = std::vector<poison_copy> {};
    copies.reserve(mostCopies);
    auto threads = std::vector<std::thread> {};
    auto isOver = [&] {
        auto crashes = crashTimes(fleet);
        return crashes.size() >= 3 && bootClockNow() > crashes[2] + time;
    };
    while (copies.size() < mostCopies && !isOver()) {
        auto node = static_cast<int>(copies.size() % 2);
        auto& copy = copies.emplace_back(makePoison(method, "poison-" + std::to_string(copies.size())), bootClockNow());
        auto localAddress = hasManyCallers ? "127.0.1." + std::to_string(copies.size()) : std::string {};
        threads.emplace_back([&copy, node, localAddress] { copy.answer = ask(node, copy.request, localAddress); });
        sleepFor(150);
    }
    for (auto& thread : threads)
        thread.join();
    return copies;
}

auto runsAfter(gateway_fixture& fleet, time_point begin) -> int64_t
{
    auto runs = int64_t { 0 };
    for (auto& target : fleet.targets)
        runs += std::ranges::count_if(target->arrivals(), [&](auto& arrival) { return arrival.isRun && arrival.at > begin && arrival.requestId.starts_with("poison-"); });
    return runs;
}

} // namespace

TEST_CASE("a request that crashes every target which runs it is kept from the targets after the third crash")
{
    for (auto& [method, hasManyCallers] : { std::pair("POST", false), std::pair("GET", false), std::pair("GET", true) }) {
        CAPTURE(method);
        CAPTURE(hasManyCallers);
        auto fleet = gateway_fixture(stopLimit, targetCount);
        auto restarter = target_restarter(fleet);
        auto copies = sendCopies(fleet, method, milliseconds(2'500), hasManyCallers);
        auto crashes = crashTimes(fleet);
        REQUIRE(crashes.size() >= 3);
        auto bound = crashes[2] + milliseconds(1'000);
        CHECK(runsAfter(fleet, bound) <= 3);
        for (auto& copy : copies) {
            CAPTURE(copy.request.id);
            auto runs = fleet.executionsOf(copy.request.id);
            if (copy.sentAt > bound && runs == 0)
                CHECK(copy.answer.status == 503);
            if (copy.answer.status == 503) {
                CHECK(runs == 0);
                CHECK(!copy.answer.retryAfter.empty());
            }
        }
    }
}

TEST_CASE("requests that were in flight when all targets of a service went down are served afterwards")
{
    auto fleet = gateway_fixture(stopLimit, targetCount);
    constexpr auto callers = 16;
    auto isUp = std::atomic<bool> { false };
    auto isOver = std::atomic<bool> { false };
    auto served = std::array<std::atomic<bool>, callers> {};
    auto threads = std::vector<std::thread> {};
    for (auto index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            // Half of the callers send the same request, the others one of their own.
            auto name = index % 2 == 0 ? std::string("popular") : "own-" + std::to_string(index);
            for (auto attempt = 0; !isOver && !served[static_cast<size_t>(index)]; ++attempt) {
                auto id = name + "-" + std::to_string(index) + "-" + std::to_string(attempt);
                auto answer = ask(index / 2 % 2, { .id = id, .path = "/safe/" + name, .delayMs = 700, .deadlineMs = 3000 });
                served[static_cast<size_t>(index)] = isUp && answer.status == 200;
                if (answer.status != 200)
                    sleepFor(100);
            }
        });
    }
    auto runs = [&] {
        return std::accumulate(fleet.targets.begin(), fleet.targets.end(), 0, [](auto sum, auto& target) { return sum + target->totalRuns(); });
    };
    for (auto round = 0; round < 2; ++round) {
        auto runsBefore = runs();
        sleepFor(500);
        CHECK(eventually([&] { return runs() >= runsBefore + callers; }));
        for (auto& target : fleet.targets)
            target->crash();
        sleepFor(500);
        for (auto index = 0; index < targetCount; ++index)
            fleet.restartTarget(index);
    }
    isUp = true;
    auto end = bootClockNow() + milliseconds(3'000);
    auto servedCount = [&] { return std::ranges::count_if(served, [](auto& isServed) { return isServed.load(); }); };
    while (servedCount() < callers && bootClockNow() < end)
        sleepFor(10);
    auto servedInTime = servedCount();
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    CHECK(servedInTime == callers);
}

TEST_CASE("a request that shares path, caller or body with one that crashes targets is served")
{
    auto fleet = gateway_fixture(stopLimit, targetCount);
    auto copies = [&] {
        auto restarter = target_restarter(fleet);
        auto sent = sendCopies(fleet, "POST", milliseconds(1'500));
        CHECK(eventually([&] { return std::ranges::none_of(fleet.targets, [](auto& target) { return target->isDown(); }); }));
        return sent;
    }();
    REQUIRE(crashTimes(fleet).size() >= 3);
    CHECK(copies.back().answer.status == 503);
    for (auto node = 0; node < 2; ++node) {
        CAPTURE(node);
        auto suffix = std::to_string(node);
        auto honest = makePoison("POST", "other-body-" + suffix);
        honest.fields.clear();
        honest.body = "honest";
        CHECK(ask(node, honest).status == 200);
        honest = makePoison("POST", "other-path-" + suffix);
        honest.fields.clear();
        honest.path = "/unsafe/honest";
        CHECK(ask(node, honest).status == 200);
        honest = makePoison("POST", "other-caller-" + suffix);
        honest.fields.clear();
        CHECK(ask(node, honest, "127.0.0.99").status == 200);
    }
    CHECK(ask(0, makePoison("POST", "poison-again")).status == 503);

    // A node that starts afterwards has seen no crash and receives the quarantines of the others.
    fleet.startNode(2);
    REQUIRE(eventually([&] { return fleet.isReady(2); }));
    sleepFor(1'500);
    CHECK(ask(2, makePoison("POST", "poison-late")).status == 503);
    CHECK(fleet.executionsOf("poison-late") == 0);
}

TEST_CASE("a request that succeeded at one node is not held back because targets crashed under it at another")
{
    auto fleet = gateway_fixture(stopLimit, targetCount);
    auto restarter = target_restarter(fleet);
    auto popular = raw_request { .method = "POST", .path = "/unsafe/popular" };
    popular.id = "proof";
    REQUIRE(ask(0, popular).status == 200);
    for (auto round = 0; round < 4; ++round) {
        auto lost = popular;
        lost.id = "lost-" + std::to_string(round);
        lost.delayMs = 2'000;
        auto caller = raw_caller(gateway_fixture::callerAddress(1));
        caller.send(lost.text());
        auto isAt = [&](auto& target) { return target->runs(lost.id) > 0; };
        REQUIRE(eventually([&] { return std::ranges::any_of(fleet.targets, isAt); }));
        (*std::ranges::find_if(fleet.targets, isAt))->crash();
        CHECK(caller.read().status == 502);
        sleepFor(300);
    }
    for (auto node = 0; node < 2; ++node) {
        popular.id = "again-" + std::to_string(node);
        CHECK(ask(node, popular).status == 200);
    }
}
