#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/network_partition.h"
#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace gypsumhub;

namespace {

constexpr auto stopLimit = milliseconds(2'000);
constexpr auto targetsPerDataCentre = 3;
constexpr auto allModes = { partition_mode::Silent, partition_mode::Reset, partition_mode::RefusesNew };

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Two nodes in data centre a1 and one in a2, with three targets in each.
class two_data_centres : public gateway_fixture {
public:
    static constexpr auto cutNode = 0;
    static constexpr auto helperNode = 1;
    static constexpr auto remoteNode = 2;

    two_data_centres()
        : gateway_fixture(stopLimit, targetsPerDataCentre, { "a1", "a2" })
    {
        for (auto index = targetsPerDataCentre; index < 2 * targetsPerDataCentre; ++index) {
            targets.push_back(std::make_unique<fake_gateway_target>("127.0.0.1", targetId(index)));
            registerTarget(index, "ready", "a2");
        }
        startNode(remoteNode, "a2");
        REQUIRE(eventually([&] { return isReady(remoteNode); }));
        // Until the nodes know each other.
        sleepFor(1'500);
    }

    auto cutFromTargets(int node, partition_mode mode) -> std::unique_ptr<network_partition>
    {
        auto ports = std::set<uint16_t> {};
        for (auto& target : targets)
            ports.insert(target->port());
        return std::make_unique<network_partition>(threadOf(node), std::move(ports), mode);
    }

    auto targetsServingIn(time_point from, time_point to) -> int
    {
        auto isServing = [&](auto& target) { return std::ranges::any_of(target->arrivals(), [&](auto& arrival) { return arrival.at >= from && arrival.at < to; }); };
        return static_cast<int>(std::ranges::count_if(targets, isServing));
    }
};

/// A request of a caller as it ended.
struct ended_request {
    time_point sentAt;
    duration took;
    unsigned status { 0 };
};

/// Sends requests to a node at a constant rate, each on a connection of its own, until it is destroyed.
class recorded_load {
public:
    recorded_load(int node, double perSecond, std::string method = "POST", std::string path = "/unsafe/")
    {
        auto pause = duration { static_cast<int64_t>(1e9 * laneCount / perSecond) };
        for (auto lane = 0; lane < laneCount; ++lane)
            m_threads.emplace_back([this, node, lane, pause, method, path] { send(node, lane, pause, method, path); });
    }

    ~recorded_load() { stop(); }

    auto stop() -> void
    {
        m_isStopping = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    auto sentIn(time_point from, time_point to) -> std::vector<ended_request>
    {
        auto lock = std::lock_guard(m_mutex);
        auto found = std::vector<ended_request> {};
        std::ranges::copy_if(m_ended, std::back_inserter(found), [&](auto& request) { return request.sentAt >= from && request.sentAt < to; });
        return found;
    }

private:
    static constexpr auto laneCount = 24;

    auto send(int node, int lane, duration pause, const std::string& method, const std::string& path) -> void
    {
        auto next = bootClockNow() + duration { pause.ns * lane / laneCount };
        for (auto count = 0; !m_isStopping; ++count) {
            while (bootClockNow() < next && !m_isStopping)
                sleepFor(2);
            next = std::max(next + pause, bootClockNow());
            auto request = raw_request { .id = std::to_string(node) + "-" + std::to_string(lane) + "-" + std::to_string(count), .method = method, .path = path, .delayMs = 20 };
            auto sentAt = bootClockNow();
            auto caller = raw_caller(gateway_fixture::callerAddress(node));
            caller.send(request.text());
            auto status = caller.read().status;
            auto lock = std::lock_guard(m_mutex);
            m_ended.push_back({ sentAt, bootClockNow() - sentAt, status });
        }
    }

    std::mutex m_mutex;
    std::vector<ended_request> m_ended;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

auto servedCount(const std::vector<ended_request>& requests) -> int64_t
{
    return std::ranges::count(requests, 200U, &ended_request::status);
}

} // namespace

TEST_CASE("while a node that is sent the callers of a data centre reaches no target, the targets of that data centre keep serving")
{
    constexpr auto window = seconds(2);
    constexpr auto minServingShare = 0.7;
    constexpr auto maxUnservedShare = 0.1;
    for (auto mode : allModes) {
        CAPTURE(static_cast<int>(mode));
        auto fleet = two_data_centres();
        auto cutLoad = recorded_load(two_data_centres::cutNode, 30);
        auto remoteLoad = recorded_load(two_data_centres::remoteNode, 30);
        sleepFor(2'000);
        auto cutAt = bootClockNow();
        auto partition = fleet.cutFromTargets(two_data_centres::cutNode, mode);
        sleepFor(7'000);
        partition.reset();
        cutLoad.stop();
        remoteLoad.stop();
        for (auto from = cutAt; from < cutAt + seconds(5); from = from + milliseconds(250)) {
            CAPTURE((from - cutAt).milliseconds());
            auto requests = cutLoad.sentIn(from, from + window);
            std::ranges::copy(remoteLoad.sentIn(from, from + window), std::back_inserter(requests));
            auto unserved = 1 - static_cast<double>(servedCount(requests)) / static_cast<double>(requests.size());
            auto serving = fleet.targetsServingIn(from, from + window);
            auto isBelowFloor = serving < minServingShare * 2 * targetsPerDataCentre && unserved > maxUnservedShare;
            CHECK_MESSAGE(!isBelowFloor, serving, " of 6 targets served, ", unserved, " of the requests were not served");
        }
    }
}
