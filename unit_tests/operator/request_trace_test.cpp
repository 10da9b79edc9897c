#include "gypsumhub/operator/request_trace.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

constexpr auto placed = R"({"time":100.0,"event":"request_placed","id":"r1","route":"a","routes_version":7,"target":"i-1","data_centre":"a1","target_revision":12,"attempt":1,"waited_ms":3,"probability_bad":0.2,"evidence_age_ms":640,"in_flight":2,"waiting":0})"
                        "\n";
constexpr auto ended = R"({"time":100.25,"event":"request_ended","id":"r1","status":502,"reason":"answer_lost,repeats_spent","sent":1,"took_ms":250,"left_ms":2250,"last_target":"i-1"})"
                       "\n";
constexpr auto aside = R"({"time":98.0,"event":"target_set_aside","target":"i-1","service":"s","outcome":"error","seen_by":"n2","probability_before":0.2,"probability_after":0.8})"
                       "\n";
constexpr auto other = R"({"time":99.0,"event":"target_set_aside","target":"i-2","service":"s","outcome":"error","seen_by":"n2","probability_before":0.2,"probability_after":0.8})"
                       "\n";

auto trace(const std::string& text) -> std::string
{
    auto sources = std::vector<log_source> { { "n1", text }, { "n2", "no JSON\n{}\n" } };
    return leaf::try_handle_all([&] { return traceRequest("r1", sources); }, [](const fault& found) { return "fault: " + found.message; },
        [](const fault_list& list) { return "fault: " + list.faults.front().message; }, [] { return std::string("unknown"); });
}

} // namespace

TEST_CASE("a request's lines are told in order of time, with the age of what decided them and the cause")
{
    auto text = trace(std::string(ended) + other + placed + aside);
    CHECK(text.find("sent to target i-1") < text.find("ended with status 502"));
    CHECK(text.find("20 %, on evidence 640 ms old") != std::string::npos);
    CHECK(text.find("may have run") != std::string::npos);
    CHECK(text.find("share of repeats is used up") != std::string::npos);
    CHECK(text.find("-2000 ms  n1: target i-1 set aside after error seen by n2: 20 % -> 80 %") != std::string::npos);
    CHECK(text.find("i-2") == std::string::npos);
}

TEST_CASE("without the line that decides it no cause is named, and an unknown id is a fault")
{
    auto text = trace(std::string(placed) + aside);
    CHECK(text.find("cause") == std::string::npos);
    CHECK(text.find("its end is not in these logs") != std::string::npos);
    CHECK(trace(other).find("no line bears the id \"r1\"") != std::string::npos);
}
