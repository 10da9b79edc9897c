#include "gypsumhub/operator/request_trace.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

constexpr auto placed = R"({"time":100.0,"event":"request_placed","id":"r1","route":"a","routes_version":7,"target":"i-1","data_centre":"a1","target_revision":12,"attempt":1,"waited_ms":3,"probability_bad":0.2,"evidence_age_ms":640,"in_flight":2,"waiting":0})"
                        "\n";
constexpr auto ended = R"({"time":100.25,"event":"request_ended","id":"r1","status":502,"reason":"answer_lost,repeats_spent","sent":1,"took_ms":250,"left_ms":2250,"last_target":"i-1"})"
                       "\n";
constexpr auto ejected = R"({"time":98.0,"event":"target_set_aside","target":"i-1","service":"s","outcome":"error","seen_by":"n2","probability_before":0.2,"probability_after":0.8})"
                         "\n";
constexpr auto ejectedOther = R"({"time":99.0,"event":"target_set_aside","target":"i-2","service":"s","outcome":"error","seen_by":"n2","probability_before":0.2,"probability_after":0.8})"
                              "\n";

auto trace(const std::string& text) -> std::string
{
    auto sources = std::vector<log_source> { { "n1", text }, { "n2", "no JSON\n{}\n" } };
    return leaf::try_handle_all([&] { return traceRequest("r1", sources); }, [](const fault& found) { return "fault: " + found.message; },
        [](const fault_list& list) { return "fault: " + list.faults.front().message; }, [] { return std::string("unknown"); });
}

} // namespace

TEST_CASE("a trace lists the lines of a request by time, with the age of the evidence and the cause of the end")
{
    auto text = trace(std::string(ended) + ejectedOther + placed + ejected);
    CHECK(text.find("sent to target i-1") < text.find("ended with status 502"));
    CHECK(text.find("20 %, based on evidence 640 ms old") != std::string::npos);
    CHECK(text.find("may have run") != std::string::npos);
    CHECK(text.find("fleet's retry budget is exhausted") != std::string::npos);
    CHECK(text.find("-2000 ms  n1: target i-1 ejected after error observed by n2: 20 % -> 80 %") != std::string::npos);
    CHECK(text.find("i-2") == std::string::npos);
}

TEST_CASE("without the line that ends a request no cause is printed, and an unknown id is a fault")
{
    auto text = trace(std::string(placed) + ejected);
    CHECK(text.find("cause") == std::string::npos);
    CHECK(text.find("the end of the request is not in these logs") != std::string::npos);
    CHECK(trace(ejectedOther).find("no log line has the id \"r1\"") != std::string::npos);
}
