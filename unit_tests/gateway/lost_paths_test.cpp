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
// From the beginning of a partition until callers of the nodes concerned must be served.
constexpr auto contactTime = seconds(3);
// Until the nodes of a data centre know a new one: the reader reads the registrations every 2.5 s at most and sends them on.
constexpr auto discoveryTime = milliseconds(3'000);
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

    auto cutFromTargets(const std::vector<int>& nodeIndices, partition_mode mode) -> std::unique_ptr<network_partition>
    {
        auto threads = std::vector<pthread_t> {};
        for (auto node : nodeIndices)
            threads.push_back(threadOf(node));
        auto ports = std::set<uint16_t> {};
        for (auto& target : targets)
            ports.insert(target->port());
        return std::make_unique<network_partition>(std::move(threads), std::move(ports), mode);
    }

    /// Starts more nodes in a1, with the indices from 3 on, and waits until all know each other.
    auto startMoreNodes(int count) -> std::vector<int>
    {
        auto started = std::vector<int> {};
        for (auto index = remoteNode + 1; index <= remoteNode + count; ++index) {
            startNode(index);
            started.push_back(index);
        }
        for (auto index : started)
            REQUIRE(eventually([&] { return isReady(index); }));
        sleepFor(discoveryTime.milliseconds());
        return started;
    }

    /// The addresses in a node's answer to callers in a1, as text.
    static auto directoryAnswer(int node) -> std::string
    {
        return sendRequest(addressOf(node, portOf(3)), http::verb::get, "/gypsumhub/resolve?name=h.example&region=a&data_centre=a1", "").body;
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
        auto partition = fleet.cutFromTargets({ two_data_centres::cutNode }, mode);
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

TEST_CASE("callers of nodes that reach no target are served, also while most nodes of the data centre are cut")
{
    constexpr auto minServedShare = 2.0 / 3;
    for (auto mode : allModes) {
        CAPTURE(static_cast<int>(mode));
        auto fleet = two_data_centres();
        auto cutNodes = fleet.startMoreNodes(5);
        cutNodes.push_back(two_data_centres::cutNode);
        auto loads = std::vector<std::unique_ptr<recorded_load>> {};
        for (auto node : cutNodes)
            loads.push_back(std::make_unique<recorded_load>(node, 6));
        auto otherLoad = recorded_load(two_data_centres::helperNode, 6);
        sleepFor(1'500);
        auto cutAt = bootClockNow();
        auto partition = fleet.cutFromTargets(cutNodes, mode);
        sleepFor(8'000);
        auto until = bootClockNow() - milliseconds(1'000);
        auto sent = std::vector<ended_request> {};
        for (auto& load : loads)
            std::ranges::copy(load->sentIn(cutAt + contactTime, until), std::back_inserter(sent));
        auto others = otherLoad.sentIn(cutAt + contactTime, until);
        auto shareOf = [](auto& requests) { return static_cast<double>(servedCount(requests)) / static_cast<double>(requests.size()); };
        CHECK(shareOf(others) > 0.9);
        CHECK_MESSAGE(shareOf(sent) >= minServedShare * shareOf(others), "served ", servedCount(sent), " of ", sent.size());
    }
}

TEST_CASE("callers are not sent to a node that reaches no target, and are sent there again after the cut")
{
    auto fleet = two_data_centres();
    auto ownAddress = gateway_fixture::callerAddress(two_data_centres::cutNode).address + ":";
    auto isNamed = [&] { return two_data_centres::directoryAnswer(two_data_centres::helperNode).find(ownAddress) != std::string::npos; };
    REQUIRE(eventually(isNamed));
    auto load = recorded_load(two_data_centres::cutNode, 20);
    sleepFor(500);
    auto cutAt = bootClockNow();
    auto partition = fleet.cutFromTargets({ two_data_centres::cutNode }, partition_mode::Silent);
    CHECK(eventually([&] { return !isNamed(); }));
    CHECK((bootClockNow() - cutAt).milliseconds() < contactTime.milliseconds());
    CHECK(two_data_centres::directoryAnswer(two_data_centres::cutNode).find(ownAddress) == std::string::npos);
    partition.reset();
    auto endedAt = bootClockNow();
    CHECK(eventually(isNamed));
    CHECK((bootClockNow() - endedAt).milliseconds() < contactTime.milliseconds());
}

TEST_CASE("a relayed request runs once and its answer is complete; one that meets a failing target is not run again")
{
    auto fleet = two_data_centres();
    auto load = std::make_unique<recorded_load>(two_data_centres::cutNode, 20);
    auto partition = fleet.cutFromTargets({ two_data_centres::cutNode }, partition_mode::Silent);
    sleepFor(contactTime.milliseconds());
    load.reset();
    auto node = gateway_fixture::callerAddress(two_data_centres::cutNode);
    for (auto count = 0; count < 20; ++count) {
        auto id = "relayed-" + std::to_string(count);
        auto answer = sendRequest(node, http::verb::post, "/unsafe/", id);
        CHECK(answer.status == 200);
        CHECK(answer.body.starts_with("from i-target"));
        CHECK(fleet.executionsOf(id) == 1);
    }
    // Both nodes log its end, the one that relayed it possibly later.
    CHECK(eventually([&] { return fleet.linesOf("relayed-0").find("\"relayed_to\":\"n2\"") != std::string::npos; }));
    // The target has run the request, so 503 would be wrong.
    fleet.setBehaviour(target_behaviour::Drops);
    CHECK(sendRequest(node, http::verb::post, "/unsafe/", "dropped").status == 502);
    CHECK(fleet.executionsOf("dropped") == 1);
    fleet.setBehaviour(target_behaviour::Fails);
    CHECK(sendRequest(node, http::verb::post, "/unsafe/", "failed").status == 500);
    CHECK(fleet.executionsOf("failed") == 1);
    fleet.setBehaviour(target_behaviour::Fails);
    CHECK(sendRequest(node, http::verb::get, "/safe/", "repeated").status == 500);
    CHECK(fleet.executionsOf("repeated") <= 2);
    // What can't be served is refused at once.
    fleet.setBehaviour(target_behaviour::Sheds);
    auto sentAt = bootClockNow();
    auto refused = sendRequest(node, http::verb::post, "/unsafe/", "shed");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(fleet.executionsOf("shed") == 0);
    CHECK((bootClockNow() - sentAt).milliseconds() < 2'500);
}

TEST_CASE("a relayed request that targets reject is not relayed again to other nodes")
{
    auto fleet = two_data_centres();
    fleet.startMoreNodes(2);
    auto load = std::make_unique<recorded_load>(two_data_centres::cutNode, 20);
    auto partition = fleet.cutFromTargets({ two_data_centres::cutNode }, partition_mode::Silent);
    sleepFor(contactTime.milliseconds());
    load.reset();
    fleet.setBehaviour(target_behaviour::Sheds);
    CHECK(sendRequest(gateway_fixture::callerAddress(two_data_centres::cutNode), http::verb::post, "/unsafe/", "rejected").status == 503);
    auto arrivals = int64_t { 0 };
    for (auto& target : fleet.targets)
        arrivals += std::ranges::count(target->arrivals(), "rejected", &recorded_request::requestId);
    CHECK(arrivals >= 1);
    // The route allows two targets.
    CHECK(arrivals <= 2);
}

TEST_CASE("a caller that leaves ends a relayed request that may be repeated")
{
    auto fleet = two_data_centres();
    auto load = std::make_unique<recorded_load>(two_data_centres::cutNode, 20);
    auto partition = fleet.cutFromTargets({ two_data_centres::cutNode }, partition_mode::Silent);
    sleepFor(contactTime.milliseconds());
    load.reset();
    auto request = raw_request { .id = "left", .delayMs = 1'500 };
    {
        auto caller = raw_caller(gateway_fixture::callerAddress(two_data_centres::cutNode));
        caller.send(request.text());
        sleepFor(300);
    }
    CHECK(eventually([&] { return fleet.linesOf("left").find("\"caller_left\":true") != std::string::npos; }));
    CHECK(fleet.executionsOf("left") == 1);
}
