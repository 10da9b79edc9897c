#include "gypsumhub/platform/stated_rate.h"

#include <doctest/doctest.h>

using namespace gypsumhub;
using enum stated_rate::field_state;

TEST_CASE("the limit that a target states is read as a plain decimal number")
{
    auto read = [](const std::string& value) {
        auto head = http::fields {};
        head.set("server-limit", value);
        return readStatedRate(head);
    };
    CHECK(readStatedRate({}).state == Absent);
    for (auto& [text, rate] : { std::pair("1", 1.0), std::pair("0.25", 0.25), std::pair("0", 0.0), std::pair("300", 300.0), std::pair("12.", 12.0) }) {
        CAPTURE(text);
        CHECK(read(text).state == Valid);
        CHECK(read(text).requestsPerSecond == rate);
    }
    for (auto* text : { "", " ", "-1", "+1", "inf", "nan", "1e3", "0x10", "1,5", "1.2.3", "5 requests", "." }) {
        CAPTURE(text);
        CHECK(read(text).state == Malformed);
    }
}

TEST_CASE("a limit that is stated twice in one answer is malformed")
{
    auto head = http::fields {};
    head.insert("Server-Limit", "5");
    head.insert("Server-Limit", "7");
    CHECK(readStatedRate(head).state == Malformed);
}
