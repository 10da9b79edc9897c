#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

// More than half of what the fixture's nodes have for large messages.
constexpr auto largeBytes = size_t { 48 * 1024 * 1024 };

auto sendBody(const std::string& id, bool isChunked) -> unsigned
{
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    if (!isChunked)
        caller.send(raw_request { .id = id, .method = "PUT", .path = "/unsafe/", .body = std::string(largeBytes, 'x'), .deadlineMs = 60'000 }.text());
    else {
        caller.send(raw_request { .id = id, .method = "PUT", .path = "/unsafe/", .fields = "Transfer-Encoding: chunked\r\n", .deadlineMs = 60'000 }.text());
        auto chunk = "100000\r\n" + std::string(0x100000, 'x') + "\r\n";
        for (auto sent = size_t { 0 }; sent < largeBytes; sent += 0x100000)
            caller.send(chunk);
        caller.send("0\r\n\r\n");
    }
    return caller.read().status;
}

} // namespace

// Guards against a node that holds several large bodies at a time, more than its machine has memory.
TEST_CASE("large bodies at the same time are received one after the other, and small requests are served meanwhile")
{
    auto fleet = gateway_fixture {};
    fleet.configure(2, "bookdesk", 67'108'864);
    REQUIRE(eventually([&] { return fleet.linesOfEvent("configuration_taken") >= 4; }));
    auto statuses = std::array<unsigned, 3> {};
    auto senders = std::vector<std::thread> {};
    for (auto index = size_t { 0 }; index < statuses.size(); ++index)
        senders.emplace_back([&, index] { statuses[index] = sendBody("large-" + std::to_string(index), index == 2); });
    auto most = size_t { 0 };
    auto isServed = true;
    auto isDone = std::atomic<bool> { false };
    auto watcher = std::thread([&] {
        for (auto count = 0; !isDone; ++count) {
            isServed = isServed && sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "small-" + std::to_string(count)).status == 200;
            most = std::max(most, fleet.metricOf(0, "buffered_bytes"));
        }
    });
    for (auto& sender : senders)
        sender.join();
    isDone = true;
    watcher.join();
    for (auto status : statuses)
        CHECK(status == 200);
    CHECK(isServed);
    // One body is held at a time.
    CHECK(most >= largeBytes);
    CHECK(most < 2 * largeBytes);
    for (auto index = size_t { 0 }; index < statuses.size(); ++index)
        CHECK(fleet.executionsOf("large-" + std::to_string(index)) == 1);
    CHECK(eventually([&] { return fleet.metricOf(0, "buffered_bytes") < largeBytes; }));
}

// Guards against a request that waits for memory which its machine does not have.
TEST_CASE("a body that does not fit into the memory of the node is refused at once")
{
    auto fleet = gateway_fixture {};
    fleet.configure(2, "bookdesk", 200'000'000);
    REQUIRE(eventually([&] { return fleet.linesOfEvent("configuration_taken") >= 4; }));
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    auto sentAt = bootClockNow();
    caller.send(raw_request { .id = "huge", .method = "PUT", .path = "/unsafe/", .fields = "Content-Length: 150000000\r\n" }.text() + std::string(4'096, 'x'));
    CHECK(caller.read().status == 413);
    CHECK((bootClockNow() - sentAt).milliseconds() < 1'000);
}

// Guards against large bodies that never fit beside many idle connections.
TEST_CASE("idle connections of callers take nothing of the memory for requests")
{
    auto fleet = gateway_fixture {};
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto index = 0; index < 100; ++index) {
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        callers.back()->send(raw_request { .id = "idle-" + std::to_string(index) }.text());
        CHECK(callers.back()->read().status == 200);
    }
    // Calls to the store and the request for the metric hold some. The connections are idle for less than their limit.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(fleet.metricOf(0, "buffered_bytes") < 100 * 1024);
}
