#include "unit_tests/proxy/proxy_fixture.h"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace gypsumhub {

TEST_CASE("invalid input is refused as not run and the connection is closed")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    // Invalid bytes and the status line that answers them.
    struct bad_input {
        const char* bytes;
        const char* status;
    };
    auto inputs = std::vector<bad_input> {
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400" },
        { "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n", "HTTP/1.1 400" },
        { "GET / HTTP/1.1\nHost: a\n\n", "HTTP/1.1 400" },
        { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n", "HTTP/1.1 413" },
        { "nonsense\r\n\r\n", "HTTP/1.1 400" },
    };
    for (auto& input : inputs) {
        CAPTURE(input.bytes);
        auto caller = fixture.caller();
        caller.sendRaw(input.bytes);
        auto text = caller.readToEnd();
        CHECK(text.starts_with(input.status));
        CHECK(text.find("Gypsumhub-Outcome: not-run") != std::string::npos);
    }
    CHECK(fixture.targets[0]->received() == 0);
}

TEST_CASE("a request that is not complete within the read limit is refused with status 408")
{
    auto settings = proxy_server_settings {};
    settings.requestReadLimit = milliseconds(50);
    auto fixture = proxy_fixture(1, settings);
    fixture.start();
    auto caller = fixture.caller();
    caller.sendRaw("GET / HTTP/1.1\r\nHos");
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 408"));
}

TEST_CASE("at the connection limit, a new connection evicts the one that has waited longest for a request")
{
    auto settings = proxy_server_settings {};
    settings.maxConnections = 4;
    settings.requestThreads = 1;
    auto fixture = proxy_fixture(1, settings);
    fixture.start();
    auto slow = std::vector<std::unique_ptr<test_caller>> {};
    for (auto count = 0; count < 4; ++count) {
        slow.push_back(std::make_unique<test_caller>(fixture.server->port()));
        slow.back()->sendRaw("GET / HTTP/1.1\r\n");
    }
    CHECK(fixture.caller().request("GET", "/find").result_int() == 200);
    CHECK(slow.front()->readToEnd().empty());
    CHECK(fixture.server->counters().connectionsEvicted.load() >= 1);
}

TEST_CASE("pipelined requests are answered in order")
{
    auto fixture = proxy_fixture(2);
    fixture.start();
    auto caller = fixture.caller();
    auto text = std::string {};
    for (auto number = 0; number < 20; ++number)
        text += "GET /n" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\nGypsumhub-Request-Id: id-" + std::to_string(number) + "\r\n\r\n";
    caller.sendRaw(text);
    for (auto number = 0; number < 20; ++number) {
        auto answer = caller.readAnswer();
        auto body = boost::json::parse(answer.body()).as_object();
        CHECK(body["path"].as_string() == "/n" + std::to_string(number));
        CHECK(answer["Gypsumhub-Request-Id"] == "id-" + std::to_string(number));
    }
}

TEST_CASE("a request with Expect: 100-continue receives status 100 before its body is read")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    auto caller = fixture.caller();
    caller.sendRaw("PUT /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(caller.readAnswer().result_int() == 100);
    caller.sendRaw("hi");
    CHECK(caller.readAnswer().result_int() == 200);
}

TEST_CASE("a request for a service that is served by another node is forwarded at most once")
{
    auto serving = proxy_fixture(1);
    serving.start();
    auto forwarding = proxy_fixture(0);
    forwarding.view.servedHere = false;
    forwarding.view.group = { { { 77 }, { "127.0.0.1", serving.server->port() }, 0, "dc-a" } };
    forwarding.start();
    auto answer = forwarding.caller().request("GET", "/find", "Gypsumhub-Request-Id: hop\r\n");
    CHECK(answer.result_int() == 200);
    CHECK(answer["Gypsumhub-Request-Id"] == "hop");
    CHECK(forwarding.server->counters().peerHops.load() == 1);
    auto second = forwarding.caller().request("GET", "/find", "Gypsumhub-Hop: 1\r\n");
    CHECK(second["Gypsumhub-Outcome"] == "not-run");
    CHECK(forwarding.server->counters().peerHops.load() == 1);

    serving.targets[0]->setFault(fake_fault::Cut);
    auto lost = forwarding.caller().request("POST", "/book", {}, "x");
    CHECK(lost["Gypsumhub-Result"] == "305 target-answer-cut");
    CHECK(serving.targets[0]->executed() == 2);

    serving.server.reset();
    auto unreachable = forwarding.caller().request("POST", "/book", {}, "x");
    CHECK(unreachable["Gypsumhub-Result"] == "700 peer-unreachable");
}

TEST_CASE("a member that has left the group declines a forwarded request, and another member is tried")
{
    auto serving = proxy_fixture(1);
    serving.start();
    auto former = proxy_fixture(0);
    former.view.servedHere = false;
    former.start();
    auto forwarding = proxy_fixture(0);
    forwarding.view.servedHere = false;
    forwarding.view.group = { { { 76 }, { "127.0.0.1", former.server->port() }, 0, "dc-a" }, { { 77 }, { "127.0.0.1", serving.server->port() }, 1, "dc-b" } };
    forwarding.start();
    for (auto method : { "GET", "POST" })
        CHECK(forwarding.caller().request(method, "/book", {}, "x").result_int() == 200);
    CHECK(serving.targets[0]->executed() == 2);
    CHECK(former.caller().request("GET", "/find", "Gypsumhub-Hop: 1\r\n")["Gypsumhub-Result"] == "204 node-not-ready");
}

TEST_CASE("during shutdown the node omits itself from its answers, finishes the requests in flight and then closes")
{
    auto settings = proxy_server_settings {};
    settings.answerLifetime = milliseconds(100);
    settings.shutdownPropagationLimit = milliseconds(50);
    auto fixture = proxy_fixture(1, settings);
    fixture.view.group.push_back({ { 8 }, { "10.0.0.8", 80 }, 1, "dc-b" });
    fixture.start();
    auto before = fixture.caller().request("GET", "/v1/nodes?service=desk");
    CHECK(boost::json::parse(before.body()).as_object()["addresses"].as_array().size() == 2);
    fixture.targets[0]->setFault(fake_fault::Silent);
    auto inFlight = fixture.caller();
    inFlight.sendRaw("POST /book HTTP/1.1\r\nHost: a\r\nGypsumhub-Deadline: "
        + std::to_string((wallClockNow() + milliseconds(800)).ns / 1'000'000) + "\r\nContent-Length: 0\r\n\r\n");
    while (fixture.targets[0]->executed() == 0)
        std::this_thread::yield();
    fixture.targets[0]->setFault(fake_fault::None);

    auto shutdownDeadline = wallClockNow() + seconds(60);
    fixture.server->beginShutdown(shutdownDeadline);
    fixture.server->beginShutdown(wallClockNow());
    auto during = fixture.caller().request("GET", "/v1/nodes?service=desk");
    CHECK(boost::json::parse(during.body()).as_object()["addresses"].as_array().size() == 1);
    CHECK(fixture.caller().request("GET", "/find").result_int() == 200);
    CHECK(inFlight.readAnswer()["Gypsumhub-Outcome"] == "unknown");
    fixture.server->join();
    CHECK(wallClockNow() < shutdownDeadline);
    CHECK_THROWS(fixture.caller());
}

TEST_CASE("during shutdown the node answers a pipelined request that it has read behind the one in flight")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    fixture.targets[0]->setFault(fake_fault::Silent);
    auto caller = fixture.caller();
    caller.sendRaw("POST /book HTTP/1.1\r\nHost: a\r\nGypsumhub-Deadline: " + std::to_string((wallClockNow() + milliseconds(800)).ns / 1'000'000)
        + "\r\nContent-Length: 0\r\n\r\nPOST /book HTTP/1.1\r\nHost: a\r\nGypsumhub-Request-Id: behind\r\nContent-Length: 0\r\n\r\n");
    while (fixture.targets[0]->executed() == 0)
        std::this_thread::yield();
    fixture.targets[0]->setFault(fake_fault::None);
    fixture.server->beginShutdown(wallClockNow() + seconds(10));
    auto text = caller.readToEnd();
    CAPTURE(text);
    CHECK(text.find("Gypsumhub-Request-Id: behind") != std::string::npos);
    fixture.server->join();
}

} // namespace gypsumhub
