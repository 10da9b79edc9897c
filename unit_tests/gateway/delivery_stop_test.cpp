#include "unit_tests/gateway/body_target.h"
#include "unit_tests/gateway/slow_caller.h"

#include <memory>

using namespace gypsumhub;

namespace {

using wait_ms = std::chrono::milliseconds;

using answer_list = std::vector<std::pair<unsigned, size_t>>;

auto stopLimit(int64_t ms) -> duration
{
    return milliseconds(ms);
}

auto sleepFor(int64_t ms) -> void
{
    std::this_thread::sleep_for(wait_ms(ms));
}

auto node() -> endpoint
{
    return gateway_fixture::callerAddress(0);
}

} // namespace

TEST_CASE("a caller that takes a second to read the last answer of a stopping node gets all of it, and what it sends meanwhile is served")
{
    for (auto bytes : { size_t { 100'000 }, size_t { 500'000 } }) {
        CAPTURE(bytes);
        auto target = body_target(bytes);
        auto fleet = gateway_fixture(stopLimit(6'000)); // ends 5.6 s after the stop
        target.registerIn(fleet);
        auto caller = slow_caller(node());
        caller.send(raw_request { .id = "long", .delayMs = 700 }.text());
        REQUIRE(eventually([&] { return target.received("long") == 1; }));
        fleet.nodes[0]->requestStop();
        // 500 ms after the answer.
        sleepFor(1'200);
        CHECK(caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text()));
        auto received = caller.readToEnd(bytes / 40, wait_ms(20));
        CHECK((received.answers == answer_list { { 200, bytes }, { 200, bytes } }));
        CHECK(received.isWhole);
        CHECK(received.endedCleanly);
        CHECK(target.received("behind") == 1);
    }
}

TEST_CASE("the last three pipelined answers of a stopping node reach a caller that reads them slowly")
{
    constexpr auto bytes = size_t { 150'000 };
    auto target = body_target(bytes);
    auto fleet = gateway_fixture(stopLimit(6'000));
    target.registerIn(fleet);
    auto caller = slow_caller(node());
    caller.send(raw_request { .id = "p-1", .delayMs = 500 }.text() + raw_request { .id = "p-2" }.text() + raw_request { .id = "p-3", .delayMs = 300 }.text());
    REQUIRE(eventually([&] { return target.received("p-3") == 1; }));
    fleet.nodes[0]->requestStop();
    sleepFor(1'000);
    auto received = caller.readToEnd(bytes / 20, wait_ms(20));
    CHECK((received.answers == answer_list { { 200, bytes }, { 200, bytes }, { 200, bytes } }));
    CHECK(received.isWhole);
    CHECK(received.endedCleanly);
}

TEST_CASE("an answer on its way when a stopping node ends is not destroyed, whether or not the caller has sent more")
{
    constexpr auto bytes = size_t { 300'000 };
    for (auto [delayMs, sendsBehind] : { std::pair { 1'200, false }, { 1'200, true }, { 400, true } }) {
        CAPTURE(delayMs);
        CAPTURE(sendsBehind);
        auto target = body_target(bytes);
        auto fleet = std::make_unique<gateway_fixture>(stopLimit(2'000)); // leaves bytes unread from 1.54 s on, ends at 1.6 s
        target.registerIn(*fleet);
        auto caller = slow_caller(node());
        caller.send(raw_request { .id = "long", .delayMs = delayMs }.text());
        REQUIRE(eventually([&] { return target.received("long") == 1; }));
        fleet->nodes[0]->requestStop();
        if (sendsBehind) {
            sleepFor(1'550);
            CHECK(caller.send(raw_request { .id = "behind" }.text()));
        }
        fleet.reset();
        auto received = caller.readToEnd();
        REQUIRE(!received.answers.empty());
        CHECK((received.answers.front() == std::pair { 200U, bytes }));
        CHECK(received.endedCleanly);
    }
}

TEST_CASE("a body in pieces whose last byte reaches a stopping node in time is answered, also behind another request")
{
    constexpr auto bodyBytes = size_t { 200'000 };
    auto target = body_target(100);
    auto fleet = gateway_fixture(stopLimit(6'000)); // serves requests of any deadline for 2.8 s
    target.registerIn(fleet);
    auto callers = std::vector<std::thread> {};
    auto results = std::vector<received_bytes>(12);
    auto isTaken = std::vector<char>(results.size());
    constexpr auto pieces = std::to_array<size_t>({ 1, 7, 400, 2'000 });
    for (auto index = size_t { 0 }; index < results.size(); ++index) {
        callers.emplace_back([&, index] {
            auto caller = slow_caller(node(), 64 * 1024);
            auto id = "body-" + std::to_string(index);
            auto text = raw_request { .id = id, .method = "POST", .path = "/unsafe/", .body = std::string(bodyBytes, 'b') }.text();
            if (index % 3 == 1) {
                text = raw_request { .id = id, .method = "POST", .path = "/unsafe/", .fields = "Transfer-Encoding: chunked\r\n" }.text();
                for (auto chunk = 0; chunk < 100; ++chunk)
                    text += "7d0\r\n" + std::string(2'000, 'c') + "\r\n";
                text += "0\r\n\r\n";
            } else if (index % 3 == 2)
                text = raw_request { .id = id + "-before", .delayMs = 300 }.text() + text;
            auto count = pieces[index % pieces.size()];
            // All bytes are sent within about 1.6 s. The node stops meanwhile.
            isTaken[index] = caller.sendInPieces(text, count, std::chrono::microseconds(1'200'000 / count));
            results[index] = caller.readToEnd();
        });
    }
    sleepFor(600);
    fleet.nodes[0]->requestStop();
    for (auto& caller : callers)
        caller.join();
    for (auto index = size_t { 0 }; index < results.size(); ++index) {
        CAPTURE(index);
        CHECK(isTaken[index]);
        REQUIRE(results[index].answers.size() == (index % 3 == 2 ? 2U : 1U));
        for (auto& answer : results[index].answers)
            CHECK((answer == std::pair { 200U, size_t { 100 } }));
        CHECK(results[index].endedCleanly);
    }
}

TEST_CASE("a request behind an answer that the end of a stopping node cuts stays unread, so that its caller may send it elsewhere")
{
    // More than the buffers of a connection hold.
    constexpr auto bytes = size_t { 6'000'000 };
    auto target = body_target(bytes);
    auto fleet = std::make_unique<gateway_fixture>(stopLimit(2'000)); // ends 1.6 s after the stop
    target.registerIn(*fleet);
    auto caller = slow_caller(node());
    caller.send(raw_request { .id = "long", .method = "POST", .path = "/unsafe/", .delayMs = 300 }.text());
    REQUIRE(eventually([&] { return target.received("long") == 1; }));
    fleet->nodes[0]->requestStop();
    sleepFor(800);
    CHECK(caller.send(raw_request { .id = "behind", .method = "POST", .path = "/unsafe/" }.text()));
    fleet.reset();
    auto received = caller.readToEnd();
    CHECK_FALSE(received.endedCleanly);
    CHECK(target.received("behind") == 0);
}
