#include "gypsumhub/operator/json_log_sink.h"

#include <doctest/doctest.h>

namespace gypsumhub {

TEST_CASE("a log line is one JSON object, whatever the message contains")
{
    auto line = formatLogLine(1.5, "INFO", "node.cpp:12", "a \"quoted\"\nmessage");
    CHECK(line == R"({"time":1.5E0,"severity":"INFO","source":"node.cpp:12","message":"a \"quoted\"\nmessage"})");
}

TEST_CASE("a message that is a JSON object keeps its fields")
{
    auto line = formatLogLine(2, "WARNING", "node.cpp:12", R"({"event":"ejected","vm":"bookdesk-01"})");
    CHECK(line.find(R"("fields":{"event":"ejected","vm":"bookdesk-01"})") != std::string::npos);
    CHECK(line.find("message") == std::string::npos);
}

TEST_CASE("a message that starts like an object but does not parse is logged as text")
{
    auto line = formatLogLine(2, "INFO", "node.cpp:12", "{broken");
    CHECK(line.find(R"("message":"{broken")") != std::string::npos);
}

} // namespace gypsumhub
