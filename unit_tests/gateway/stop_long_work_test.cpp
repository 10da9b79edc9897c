#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <thread>

using namespace gypsumhub;

namespace {

constexpr auto grace = std::chrono::milliseconds(6'000);
// From the SIGTERM; a request that is sent until `lastSentMs` and whose target answers by `lastAnswerMs` is owed that answer.
constexpr auto lastSentMs = 3'000;
constexpr auto lastAnswerMs = 5'000;
// Until then a node serves whatever the deadline.
constexpr auto servesUntilMs = 2'800;
constexpr auto deadlineMs = 9'000;

/// Routes whose time limit is longer than the grace.
auto configureLongRoutes(gateway_fixture& fleet) -> void
{
    auto routeText = [](const std::string& name) {
        return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" + name
            + R"(","time_limit":"8000ms","latency_target":"5000ms","priority":1,"service":"bookdesk","max_attempts":2})";
    };
    fleet.store.put("op/config", R"({"version":"00000002","routes":[)" + routeText("safe") + "," + routeText("unsafe") + R"(],"services":[{"name":"bookdesk"}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_read_limit":"3000ms","idle_limit":"15s"}})");
    REQUIRE(eventually([&] { return fleet.metricOf(0, "configuration_version") == 2; }));
}

struct sent_request {
    std::string path;
    int workMs;
    std::string id {};
};

/// The requests that a caller sends at once on a kept connection, and their answers.
struct long_caller {
    int sentMs;
    std::vector<sent_request> requests;
    std::unique_ptr<raw_caller> connection {};
    std::vector<raw_answer> answers {};

    auto statusOf(const std::string& id) const -> unsigned
    {
        auto found = std::ranges::find(answers, id, &raw_answer::id);
        return found == answers.end() ? 0U : found->status;
    }
};

auto bytesOf(const std::vector<sent_request>& requests) -> std::string
{
    auto text = std::string {};
    for (auto& request : requests) {
        auto method = request.path == "/unsafe/" ? "POST" : "GET";
        text += raw_request { .id = request.id, .method = method, .path = request.path, .delayMs = request.workMs, .deadlineMs = deadlineMs }.text();
    }
    return text;
}

/// Connects the callers. Each has received an answer then.
auto connectAll(std::vector<long_caller>& callers) -> void
{
    auto count = 0;
    for (auto& caller : callers) {
        for (auto& request : caller.requests)
            request.id = "long-" + std::to_string(count++);
        caller.connection = std::make_unique<raw_caller>(gateway_fixture::callerAddress(0));
        caller.connection->send(raw_request { .id = caller.requests.front().id + "-first" }.text());
        REQUIRE(caller.connection->read().status == 200);
    }
}

/// Stops the first node, and sends each caller's requests at its time.
auto sendAround(gateway_fixture& fleet, std::vector<long_caller>& callers) -> void
{
    auto stopsAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(1'100);
    auto threads = std::vector<std::thread> {};
    for (auto& caller : callers) {
        threads.emplace_back([&caller, stopsAt] {
            std::this_thread::sleep_until(stopsAt + std::chrono::milliseconds(caller.sentMs));
            caller.connection->send(bytesOf(caller.requests));
            caller.answers = caller.connection->read(caller.requests.size());
        });
    }
    std::this_thread::sleep_until(stopsAt);
    fleet.nodes[0]->requestStop();
    for (auto& thread : threads)
        thread.join();
}

/// What holds for any request: a refusal is true, and a request that may not be repeated runs once at most.
auto checkTruth(gateway_fixture& fleet, const sent_request& request, unsigned status) -> void
{
    auto runs = fleet.executionsOf(request.id);
    CAPTURE(runs);
    CHECK((status != 503 || runs == 0));
    CHECK((request.path != "/unsafe/" || runs <= 1));
    CHECK((runs == 0 || status != 0));
    CHECK((runs > 0 || status == 503));
}

} // namespace

TEST_CASE("LOST: long work on kept connections is answered by its target or refused truly, from 1 s before SIGTERM to 3 s after it")
{
    auto fleet = gateway_fixture(milliseconds(grace.count()), 45);
    configureLongRoutes(fleet);
    auto callers = std::vector<long_caller> {};
    for (auto sentMs : { -1'000, -200, 0, 800, 1'900, 2'750, 3'000 }) {
        for (auto workMs : { 500, 1'500, 2'500, 4'500 }) {
            callers.push_back({ sentMs, { { "/safe/", workMs } } });
            callers.push_back({ sentMs, { { "/unsafe/", workMs } } });
            callers.push_back({ sentMs, { { "/safe/", workMs }, { "/safe/", 500 }, { "/unsafe/", 300 } } });
            callers.push_back({ sentMs, { { "/unsafe/", workMs }, { "/unsafe/", 500 } } });
        }
    }
    connectAll(callers);
    sendAround(fleet, callers);
    for (auto& caller : callers) {
        CAPTURE(caller.sentMs);
        CAPTURE(caller.requests.size());
        for (auto& request : caller.requests) {
            CAPTURE(request.path);
            CAPTURE(request.workMs);
            auto status = caller.statusOf(request.id);
            CAPTURE(status);
            checkTruth(fleet, request, status);
            auto isFirst = &request == &caller.requests.front();
            auto isInTime = caller.sentMs + request.workMs <= lastAnswerMs && caller.sentMs <= lastSentMs;
            // One behind others may begin later.
            CHECK((!isInTime || !isFirst || status == 200 || status == 503));
            CHECK((!isInTime || !isFirst || caller.sentMs >= servesUntilMs - 60 || status == 200));
            // Its target answers its last 200 ms before the node ends.
            CHECK((status == 200 || status == 503 || caller.sentMs + caller.requests.front().workMs > 5'300 || !isFirst));
        }
    }
}

TEST_CASE("LOST: requests that wait for a slot at SIGTERM are served when one is free, or refused truly")
{
    auto fleet = gateway_fixture(milliseconds(grace.count()), 2);
    configureLongRoutes(fleet);
    auto callers = std::vector<long_caller> {};
    for (auto workMs : { 1'600, 2'000, 2'500, 3'000, 3'500, 4'000, 4'500, 5'000 })
        callers.push_back({ -900, { { "/unsafe/", workMs } } });
    for (auto sentMs : { -300, -200, -100, 100, 1'000, 2'700 }) {
        callers.push_back({ sentMs, { { "/safe/", 400 } } });
        callers.push_back({ sentMs, { { "/unsafe/", 1'500 } } });
    }
    connectAll(callers);
    sendAround(fleet, callers);
    for (auto& caller : callers) {
        auto& request = caller.requests.front();
        CAPTURE(caller.sentMs);
        CAPTURE(request.path);
        CAPTURE(request.workMs);
        auto status = caller.statusOf(request.id);
        CAPTURE(status);
        checkTruth(fleet, request, status);
        CHECK((status == 200 || status == 503 || caller.sentMs > 0));
    }
}

TEST_CASE("LOST: retries during a stop, after a target that rejects and one that ends the connection, are answered truly")
{
    auto fleet = gateway_fixture(milliseconds(grace.count()), 6);
    configureLongRoutes(fleet);
    auto callers = std::vector<long_caller> {};
    for (auto sentMs : { -100, 300, 900, 1'500, 2'300, 2'600, 2'780, 2'900 }) {
        callers.push_back({ sentMs, { { "/safe/", 200 } } });
        callers.push_back({ sentMs, { { "/unsafe/", 200 } } });
        callers.push_back({ sentMs, { { "/safe/", 1'500 }, { "/unsafe/", 200 } } });
    }
    connectAll(callers);
    fleet.targets[0]->setBehaviour(target_behaviour::Sheds);
    fleet.targets[1]->setBehaviour(target_behaviour::Drops);
    fleet.targets[2]->setBehaviour(target_behaviour::Sheds);
    sendAround(fleet, callers);
    for (auto& caller : callers) {
        for (auto& request : caller.requests) {
            CAPTURE(caller.sentMs);
            CAPTURE(request.path);
            CAPTURE(request.workMs);
            auto status = caller.statusOf(request.id);
            CAPTURE(status);
            checkTruth(fleet, request, status);
        }
    }
}
