#include "unit_tests/proxy/proxy_fixture.h"

#include "gypsumhub/proxy/trace_context.h"

#include <boost/json/parse.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <map>

namespace gypsumhub {

TEST_CASE("request, queue and attempt each write a span of the caller's trace")
{
    auto path = std::string("build/request_span_test.jsonl");
    std::remove(path.c_str());
    auto settings = proxy_server_settings {};
    settings.spanLog = path;
    {
        auto fixture = proxy_fixture(1, settings);
        fixture.start();
        auto fields = "traceparent: 00-0123456789abcdef0123456789abcdef-00f067aa0ba902b7-01\r\n";
        CHECK(fixture.caller().request("GET", "/find", fields).result_int() == 200);
    }
    auto spans = std::map<std::string, boost::json::object> {};
    auto file = std::ifstream(path);
    for (auto line = std::string {}; std::getline(file, line);) {
        auto span = boost::json::parse(line).as_object();
        CHECK(span["trace"].as_string() == "0123456789abcdef0123456789abcdef");
        spans[std::string(span["name"].as_string())] = span;
    }
    REQUIRE(spans.size() == 3);
    CHECK(spans["caller"]["parent"].as_string() == "00f067aa0ba902b7");
    CHECK(spans["queue"]["parent"] == spans["caller"]["span"]);
    CHECK(spans["attempt"]["parent"] == spans["caller"]["span"]);
    CHECK(spans["attempt"]["tags"].as_object()["result"].as_string() == "success");
    std::remove(path.c_str());
}

TEST_CASE("an invalid traceparent is rejected, and a valid one is formatted unchanged")
{
    CHECK_FALSE(trace_context::parse("00-00000000000000000000000000000000-00f067aa0ba902b7-01").has_value());
    CHECK_FALSE(trace_context::parse("00-0123456789abcdef0123456789abcdeg-00f067aa0ba902b7-01").has_value());
    auto text = "00-0123456789abcdef0123456789abcdef-00f067aa0ba902b7-01";
    auto parsed = trace_context::parse(text);
    REQUIRE(parsed.has_value());
    CHECK(parsed->format() == text);
}

} // namespace gypsumhub
