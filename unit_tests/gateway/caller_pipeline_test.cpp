#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>

using namespace gypsumhub;

namespace {

auto idsOf(const std::vector<raw_answer>& answers) -> std::vector<std::string>
{
    auto ids = std::vector<std::string> {};
    for (auto& answer : answers)
        ids.push_back(answer.id);
    return ids;
}

// When a target received the request, or zero.
auto arrivalOf(gateway_fixture& fleet, const std::string& id) -> time_point
{
    for (auto& target : fleet.targets) {
        for (auto& arrival : target->arrivals()) {
            if (arrival.requestId == id)
                return arrival.at;
        }
    }
    return {};
}

auto arrived(gateway_fixture& fleet, const std::string& id) -> bool
{
    return arrivalOf(fleet, id) != time_point {};
}

} // namespace

TEST_CASE("pipelined retryable requests run at the same time and are answered in order of arrival")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "p-1", .delayMs = 900 }.text() + raw_request { .id = "p-2", .delayMs = 10 }.text() + raw_request { .id = "p-3", .delayMs = 500 }.text());
    auto answers = caller.read(3);
    CHECK(idsOf(answers) == std::vector<std::string> { "p-1", "p-2", "p-3" });
    for (auto& answer : answers)
        CHECK(answer.status == 200);
    // The second and the third were sent while the first still ran.
    CHECK(arrivalOf(fleet, "p-2") < arrivalOf(fleet, "p-1") + milliseconds(900));
    CHECK(arrivalOf(fleet, "p-3") < arrivalOf(fleet, "p-1") + milliseconds(900));
}

TEST_CASE("a pipelined request that may not run twice starts after the earlier ones are answered, and holds back later ones")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "o-1", .delayMs = 300 }.text() + raw_request { .id = "o-2", .method = "POST", .path = "/unsafe/", .delayMs = 300, .body = "x" }.text()
        + raw_request { .id = "o-3" }.text());
    CHECK(idsOf(caller.read(3)) == std::vector<std::string> { "o-1", "o-2", "o-3" });
    CHECK(arrivalOf(fleet, "o-2") >= arrivalOf(fleet, "o-1") + milliseconds(300));
    CHECK(arrivalOf(fleet, "o-3") >= arrivalOf(fleet, "o-2") + milliseconds(300));
    CHECK(fleet.executionsOf("o-2") == 1);
}

TEST_CASE("a refusal between pipelined requests keeps its place")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "r-1", .delayMs = 200 }.text() + raw_request { .id = "r-2", .path = "/none/" }.text() + raw_request { .id = "r-3" }.text());
    auto answers = caller.read(3);
    REQUIRE(answers.size() == 3);
    CHECK(idsOf(answers) == std::vector<std::string> { "r-1", "r-2", "r-3" });
    CHECK(answers[0].status == 200);
    CHECK(answers[1].status == 404);
    CHECK(answers[2].status == 200);
}

TEST_CASE("many small pipelined requests are all answered in order")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    constexpr auto count = 2000;
    auto sender = std::thread([&] {
        auto bytes = std::string {};
        for (auto index = 0; index < count; ++index)
            bytes += raw_request { .id = "m-" + std::to_string(index), .path = "/none/" }.text();
        caller.send(bytes);
    });
    for (auto index = 0; index < count; ++index) {
        auto answer = caller.read();
        REQUIRE(answer.id == "m-" + std::to_string(index));
    }
    sender.join();
}

TEST_CASE("a caller that leaves behind unread pipelined bytes is noticed within half a second")
{
    auto fleet = gateway_fixture {};
    // Fits into the receive buffer of the connection but not into what the node reads ahead.
    for (auto& [name, filler] : { std::pair<std::string, size_t> { "few", 10 }, { "many", 900 } }) {
        auto id = "left-" + name;
        {
            auto caller = raw_caller(gateway_fixture::callerAddress(0));
            auto bytes = raw_request { .id = id, .delayMs = 3000 }.text();
            for (auto index = size_t { 0 }; index < filler; ++index)
                bytes += raw_request { .id = id + "-behind", .method = "POST", .path = "/unsafe/" }.text();
            caller.send(bytes);
            REQUIRE(eventually([&] { return arrived(fleet, id); }));
            // Otherwise the close would wait behind bytes for which the node has no space, and not reach it.
            REQUIRE(eventually([&] { return caller.unacknowledgedBytes() == 0; }));
            caller.close();
        }
        auto closedAt = bootClockNow();
        CHECK(fleet.linesOf(id).find("caller_left") != std::string::npos);
        CHECK(bootClockNow() <= closedAt + milliseconds(1000)); // half a second, and the interval at which logs are written
        CHECK_FALSE(arrived(fleet, id + "-behind"));
    }
}

TEST_CASE("nothing is read behind an answer that closes the connection, and the answer is not lost to a reset")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    auto bytes = raw_request { .id = "c-1", .delayMs = 100, .fields = "Connection: close\r\n" }.text();
    for (auto index = 0; index < 500; ++index)
        bytes += raw_request { .id = "c-2" }.text();
    caller.send(bytes);
    auto first = caller.read();
    CHECK(first.status == 200);
    CHECK(first.isClosing);
    CHECK(caller.read().status == 0);
    CHECK(caller.endedCleanly());
    CHECK_FALSE(arrived(fleet, "c-2"));
}

TEST_CASE("a malformed pipelined request is refused in its place and ends the connection")
{
    auto fleet = gateway_fixture {};
    auto malformed = std::to_array<std::pair<std::string, std::string>>({
        { "both-lengths", "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        { "no-request", "this is no request\r\n\r\n" },
        { "bare-line-feed", "GET /safe/ HTTP/1.1\nHost: h.example\n\n" },
    });
    for (auto& [name, text] : malformed) {
        auto caller = raw_caller(gateway_fixture::callerAddress(0));
        caller.send(raw_request { .id = name + "-1", .delayMs = 200 }.text() + text + raw_request { .id = name + "-3" }.text());
        auto answers = caller.read(3);
        REQUIRE(answers.size() == 3);
        CHECK(answers[0].status == 200);
        CHECK(answers[1].status == 400);
        CHECK(answers[1].isClosing);
        CHECK(answers[2].status == 0);
        CHECK(caller.endedCleanly());
        CHECK_FALSE(arrived(fleet, name + "-3"));
    }
}

TEST_CASE("a request inside the body of another one is not run")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    auto hidden = raw_request { .id = "hidden" }.text();
    caller.send(raw_request { .id = "outer", .method = "POST", .body = hidden }.text() + raw_request { .id = "next" }.text());
    CHECK(idsOf(caller.read(2)) == std::vector<std::string> { "outer", "next" });
    CHECK_FALSE(arrived(fleet, "hidden"));
}

TEST_CASE("a stopping node answers all pipelined requests that it has read, the last one with a closing answer")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    caller.send(raw_request { .id = "s-1", .delayMs = 400 }.text() + raw_request { .id = "s-2", .delayMs = 200 }.text()
        + raw_request { .id = "s-3", .method = "POST", .path = "/unsafe/" }.text());
    REQUIRE(eventually([&] { return arrived(fleet, "s-2"); }));
    fleet.nodes[0]->requestStop();
    auto answers = caller.read(3);
    REQUIRE(answers.size() == 3);
    CHECK(idsOf(answers) == std::vector<std::string> { "s-1", "s-2", "s-3" });
    for (auto& answer : answers)
        CHECK(answer.status == 200);
    CHECK_FALSE(answers[0].isClosing);
    CHECK_FALSE(answers[1].isClosing);
    CHECK(answers[2].isClosing);
    CHECK(caller.read().status == 0);
    CHECK(caller.endedCleanly());
    CHECK(fleet.executionsOf("s-3") == 1);
}
