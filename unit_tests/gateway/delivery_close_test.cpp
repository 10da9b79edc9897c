#include "unit_tests/gateway/body_target.h"
#include "unit_tests/gateway/slow_caller.h"

using namespace gypsumhub;

namespace {

using wait_ms = std::chrono::milliseconds;

using answer_list = std::vector<std::pair<unsigned, size_t>>;

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(wait_ms(ms));
}

auto node() -> endpoint
{
    return gateway_fixture::callerAddress(0);
}

} // namespace

TEST_CASE("a caller that asked for a close gets the whole answer, although it reads slowly and sends more")
{
    constexpr auto bytes = size_t { 300'000 };
    auto target = body_target(bytes);
    auto fleet = gateway_fixture {};
    target.registerIn(fleet);
    auto sendsMore = false;
    SUBCASE("it sends nothing more") { sendsMore = false; }
    SUBCASE("it sends more after 500 ms") { sendsMore = true; }
    CAPTURE(sendsMore);
    auto caller = slow_caller(node());
    caller.send(raw_request { .id = "last", .fields = "Connection: close\r\n" }.text());
    sleepFor(500);
    if (sendsMore)
        CHECK(caller.send(raw_request { .id = "behind" }.text()));
    auto received = caller.readToEnd(bytes / 50, wait_ms(20));
    CHECK((received.answers == answer_list { { 200, bytes } }));
    CHECK(received.isWhole);
    CHECK(received.endedCleanly);
    CHECK(target.received("behind") == 0);
}

TEST_CASE("a caller that goes on sending behind a closing answer and reads only then is not reset")
{
    auto target = body_target(20'000);
    auto fleet = gateway_fixture {};
    target.registerIn(fleet);
    auto caller = slow_caller(node());
    caller.send(raw_request { .id = "last", .fields = "Connection: close\r\n" }.text());
    // 1.5 s; in 30 pieces.
    CHECK(caller.sendInPieces(std::string(200'000, 'm'), 30, wait_ms(50)));
    auto received = caller.readToEnd();
    CHECK((received.answers == answer_list { { 200, 20'000 } }));
    CHECK(received.endedCleanly);
}

TEST_CASE("a caller that writes a whole body before it reads gets the refusal that was sent at its beginning, and is not reset")
{
    auto fleet = gateway_fixture {}; // bodies of up to 65,536 bytes
    struct refused_input {
        std::string head;
        unsigned status;
        int pauseMs;
    };
    auto inputs = std::vector<refused_input> {
        { "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n", 413, 0 },
        { "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, 0 },
        // Nothing more for longer than the limit for reading a head.
        { "POST /unsafe/ HTTP/1.1\r\nHost: h.exa", 408, 3'300 },
    };
    for (auto& input : inputs) {
        CAPTURE(input.status);
        auto caller = slow_caller(node());
        CHECK(caller.send(input.head));
        sleepFor(input.pauseMs);
        CHECK(caller.sendInPieces(std::string(200'000, 'b'), 4, wait_ms(400)));
        auto received = caller.readToEnd();
        REQUIRE(received.answers.size() == 1);
        CHECK(received.answers.front().first == input.status);
        CHECK(received.endedCleanly);
    }
}

TEST_CASE("a caller that reads an answer for longer than 10 s gets all of it, and the answer behind it")
{
    constexpr auto bytes = size_t { 8'000'000 };
    auto target = body_target(bytes);
    auto fleet = gateway_fixture {};
    target.registerIn(fleet);
    auto caller = slow_caller(node(), 64 * 1024);
    caller.send(raw_request { .id = "long" }.text() + raw_request { .id = "behind", .fields = "Connection: close\r\n" }.text());
    caller.readFor(wait_ms(11'500), 20'000, wait_ms(100));
    auto received = caller.readToEnd();
    CHECK((received.answers == answer_list { { 200, bytes }, { 200, bytes } }));
    CHECK(received.isWhole);
    CHECK(received.endedCleanly);
}

TEST_CASE("an Expect: 100-continue behind an open request gets its interim answer when the open one is answered")
{
    auto target = body_target(10);
    auto fleet = gateway_fixture {};
    target.registerIn(fleet);
    auto caller = raw_caller(node());
    caller.send(raw_request { .id = "open", .delayMs = 300 }.text());
    REQUIRE(eventually([&] { return target.received("open") == 1; }));
    caller.send("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: waits\r\nDeadline-Ms: 5000\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(caller.read().status == 200);
    auto interim = caller.read();
    CHECK(interim.status == 100);
    caller.send("body");
    auto answer = caller.read();
    CHECK(answer.status == 200);
    CHECK(answer.id == "waits");
}

TEST_CASE("a request that arrives at the same time as the idle limit ends is served")
{
    auto fleet = gateway_fixture {};
    fleet.store.put("op/config", R"({"version":"00000002","routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe","time_limit":"4000ms","latency_target":"2000ms","priority":1,"service":"bookdesk","max_attempts":2}],"services":[{"name":"bookdesk"},{"name":"empty"}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_read_limit":"3000ms","idle_limit":"1s"}})");
    REQUIRE(eventually([&] { return fleet.metricOf(0, "configuration_version") == 2; }));
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto index = 0; index < 10; ++index) {
        callers.push_back(std::make_unique<raw_caller>(node()));
        callers.back()->send(raw_request { .id = "first" }.text());
        REQUIRE(callers.back()->read().status == 200);
    }
    sleepFor(700);
    // The limit ends and the requests arrive while the node does not run.
    fleet.pauseNode(0, wait_ms(900));
    sleepFor(100);
    for (auto& caller : callers)
        caller->send(raw_request { .id = "late" }.text());
    for (auto& caller : callers)
        CHECK(caller->read().status == 200);
}
