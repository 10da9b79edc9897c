#include "unit_tests/proxy/proxy_fixture.h"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("a request is forwarded to a target and the complete answer is returned")
{
    auto fixture = proxy_fixture(2);
    fixture.start();
    auto caller = fixture.caller();
    for (auto path : { "/first", "/second", "/third?chunked=1", "/fourth?bytes=5000" }) {
        auto answer = caller.request("GET", path, "Gypsumhub-Request-Id: r-1\r\n");
        CHECK(answer.result_int() == 200);
        CHECK(answer["Gypsumhub-Outcome"] == "answered");
        CHECK(answer["Gypsumhub-Result"] == "0 ok");
        CHECK(answer["Gypsumhub-Request-Id"] == "r-1");
        auto body = boost::json::parse(answer.body()).as_object();
        CHECK(body["requestId"].as_string() == "r-1");
    }
    auto post = caller.request("POST", "/book", {}, "{\"sitter\":7}");
    CHECK(post.result_int() == 200);
    CHECK(caller.request("HEAD", "/first").result_int() == 200);
    CHECK(fixture.listener.count(attempt_result::Success) == 6);
}

TEST_CASE("GET /v1/nodes returns the group's addresses, nearest first, and an absolute expiry time")
{
    auto fixture = proxy_fixture(1);
    fixture.view.group.push_back({ { 7 }, { "10.0.0.7", 80 }, 2, "dc-c" });
    fixture.view.group.push_back({ { 8 }, { "10.0.0.8", 80 }, 1, "dc-b" });
    fixture.start();
    auto answer = fixture.caller().request("GET", "/v1/nodes?service=desk");
    REQUIRE(answer.result_int() == 200);
    auto body = boost::json::parse(answer.body()).as_object();
    auto& addresses = body["addresses"].as_array();
    REQUIRE(addresses.size() == 3);
    CHECK(addresses[1].as_string() == "10.0.0.8:80");
    CHECK(addresses[2].as_string() == "10.0.0.7:80");
    CHECK(body["validUntil"].as_int64() > wallClockNow().ns / 1'000'000);
    CHECK(fixture.caller().request("GET", "/v1/nodes?service=nobody")["Gypsumhub-Result"] == "103 unknown-service");
}

TEST_CASE("without a configuration every request is refused as not run")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    fixture.snapshot.store(nullptr);
    auto answer = fixture.caller().request("GET", "/first");
    CHECK(answer.result_int() == 503);
    CHECK(answer["Gypsumhub-Outcome"] == "not-run");
    CHECK(answer["Gypsumhub-Result"] == "204 node-not-ready");
}

} // namespace gypsumhub
