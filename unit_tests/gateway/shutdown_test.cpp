#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace gypsumhub;

namespace {

// A request that the node has read must be answered. One that it has not read makes it reset the connection when it ends, and the
// caller may send it again elsewhere.
auto isAnsweredOrUnread(const raw_answer& answer, const raw_caller& caller) -> bool
{
    return answer.status != 0 || !caller.endedCleanly();
}

} // namespace

TEST_CASE("no request that a stopping node has read ends without an answer, although targets are slow and callers keep coming")
{
    auto fleet = gateway_fixture(milliseconds(4'000));
    // Some requests take longer than the grace time leaves when they arrive late. The time limit is longer than the grace time.
    constexpr auto callers = 40;
    auto results = std::vector<std::pair<std::string, raw_answer>>(callers);
    fleet.nodes[0]->requestStop();
    auto threads = std::vector<std::thread> {};
    for (auto index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            std::this_thread::sleep_for(std::chrono::milliseconds(index * 100));
            auto id = "stop-" + std::to_string(index);
            try {
                auto caller = raw_caller(gateway_fixture::callerAddress(0));
                caller.send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = 1600, .deadlineMs = 8000 }.text());
                results[static_cast<size_t>(index)] = { id, caller.read() };
            } catch (const boost::system::system_error&) {
                // The node has closed its listener: the request was not read.
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto refused = 0;
    for (auto& [id, answer] : results) {
        if (answer.status == 0)
            CHECK(fleet.executionsOf(id) == 0);
        if (answer.status == 503)
            CHECK(fleet.executionsOf(id) == 0);
        refused += answer.status == 503 ? 1 : 0;
    }
    CHECK(results.front().second.status == 200);
    CHECK(refused > 0);
}

TEST_CASE("a request that arrives behind an open one of a stopping node is not dropped when the open one is answered")
{
    auto fleet = gateway_fixture(milliseconds(4'000));
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .delayMs = 600 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    fleet.nodes[0]->requestStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text() + raw_request { .id = "last" }.text());
    auto answers = caller.read(3);
    REQUIRE(answers.size() == 3);
    for (auto& answer : answers)
        CHECK(answer.status == 200);
    CHECK(answers[0].id == "open");
    CHECK(answers[1].id == "behind");
    CHECK(answers[2].id == "last");
    CHECK_FALSE(answers[1].isClosing);
    CHECK(answers[2].isClosing);
}

TEST_CASE("a request that reaches a stopping node just before its end is not read and then dropped")
{
    constexpr auto callers = 32;
    auto fleet = std::make_unique<gateway_fixture>(milliseconds(2'000));
    auto kept = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto index = 0; index < callers; ++index) {
        kept.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        kept.back()->send(raw_request { .id = "first-" + std::to_string(index) }.text());
        REQUIRE(kept.back()->read().status == 200);
    }
    fleet->nodes[0]->requestStop();
    auto answers = std::vector<raw_answer>(callers);
    auto threads = std::vector<std::thread> {};
    for (auto index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            // Requests arrive for the last 160 ms before the end of the process and shortly after it.
            std::this_thread::sleep_for(std::chrono::milliseconds(1'460 + index * 5));
            auto& caller = *kept[static_cast<size_t>(index)];
            caller.send(raw_request { .id = "late-" + std::to_string(index), .method = "POST", .path = "/unsafe/" }.text());
            answers[static_cast<size_t>(index)] = caller.read();
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1'900));
    // Closes the connections, as the end of the process does.
    fleet.reset();
    for (auto& thread : threads)
        thread.join();
    for (auto index = 0; index < callers; ++index) {
        CAPTURE(index);
        CHECK(isAnsweredOrUnread(answers[static_cast<size_t>(index)], *kept[static_cast<size_t>(index)]));
    }
}

TEST_CASE("a pipelined request that a stopping node can no longer serve is refused and not run")
{
    auto fleet = gateway_fixture(milliseconds(3'000));
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "open", .method = "POST", .path = "/unsafe/", .delayMs = 2'000 }.text());
    REQUIRE(eventually([&] { return fleet.executionsOf("open") == 1; }));
    fleet.nodes[0]->requestStop();
    caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text());
    auto answers = caller.read(2);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 200);
    CHECK(answers[1].status == 503);
    CHECK(answers[1].isClosing);
    CHECK(fleet.executionsOf("behind") == 0);
}

TEST_CASE("a stopping node that refuses a request says that it closes the connection, and closes it")
{
    auto fleet = gateway_fixture(milliseconds(3'000)); // serves requests of any deadline for 1.5 s
    auto isWithoutRoute = false;
    SUBCASE("a request that the node can no longer serve in time") { isWithoutRoute = false; }
    SUBCASE("a request without a route") { isWithoutRoute = true; }
    CAPTURE(isWithoutRoute);
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "first" }.text());
    REQUIRE(caller.read().status == 200);
    fleet.nodes[0]->requestStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(1'700));
    caller.send(raw_request { .id = "late", .path = isWithoutRoute ? "/none/" : "/safe/" }.text());
    auto refusal = caller.read();
    CHECK(refusal.status == (isWithoutRoute ? 404 : 503));
    CHECK(refusal.isClosing);
    CHECK(caller.read().status == 0);
    CHECK(caller.endedCleanly());
}
