#include "fakes/fake_raw_server.h"
#include "gypsumhub/core/clock.h"
#include "unit_tests/proxy/proxy_fixture.h"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

namespace gypsumhub {

namespace {

    constexpr auto shortDeadline = milliseconds(300);

    auto deadlineField(duration left) -> std::string
    {
        return "Gypsumhub-Deadline: " + std::to_string((wallClockNow() + left).ns / 1'000'000) + "\r\n";
    }

    // A target fault with the outcome and result that the caller receives and the reported attempt result.
    struct failure_case {
        fake_fault fault;
        const char* outcome;
        const char* result;
        attempt_result reported;
    };

} // namespace

TEST_CASE("a non-idempotent request is sent once and its outcome matches the failure")
{
    auto cases = std::vector<failure_case> {
        { fake_fault::Errors, "answered", "0 ok", attempt_result::ErrorAnswer },
        { fake_fault::Wrong, "unknown", "306 target-answer-mismatched", attempt_result::MismatchedAnswer },
        { fake_fault::Cut, "unknown", "305 target-answer-cut", attempt_result::CutAnswer },
        { fake_fault::Silent, "unknown", "304 target-timeout", attempt_result::Silent },
        { fake_fault::Hang, "unknown", "304 target-timeout", attempt_result::HungAfterHeader },
    };
    for (auto& expected : cases) {
        CAPTURE(expected.result);
        auto fixture = proxy_fixture(2);
        fixture.start();
        for (auto& target : fixture.targets)
            target->setFault(expected.fault);
        auto answer = fixture.caller().request("POST", "/book", deadlineField(shortDeadline), "x");
        CHECK(answer["Gypsumhub-Outcome"] == expected.outcome);
        CHECK(answer["Gypsumhub-Result"] == expected.result);
        CHECK(fixture.targets[0]->executed() + fixture.targets[1]->executed() == 1);
        CHECK(fixture.listener.count(expected.reported) == 1);
    }
}

// Guards against a server that holds all bytes of an answer without end until its machine has no memory left.
TEST_CASE("an answer whose chunk header or trailer does not end is given up before the deadline")
{
    auto head = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (auto& begin : { head + "1;", head + "0\r\nField: " }) {
        CAPTURE(begin);
        auto target = fake_raw_server("127.0.0.1", begin, std::string(64 * 1024, 'x'));
        auto fixture = proxy_fixture(0);
        fixture.addresses.push_back({ "127.0.0.1", target.port() });
        fixture.start();
        auto sentAt = steadyClockNow();
        auto answer = fixture.caller().request("POST", "/book", deadlineField(seconds(10)), "x");
        CHECK(answer["Gypsumhub-Outcome"] == "unknown");
        CHECK(steadyClockNow() - sentAt < seconds(2));
    }
}

// Guards against statuses of failing targets that reach callers as answers, and against such targets that count as sound.
TEST_CASE("a status outside 200 to 599 is no answer, and counts against the target")
{
    for (auto& text : std::vector<std::string> { "000 X", "099 X", "101 X", "600 X", "999 X", "", "X", "2000 X" }) {
        CAPTURE(text);
        auto target = fake_raw_server("127.0.0.1", "HTTP/1.1 " + text + "\r\nContent-Length: 2\r\n\r\nok", {});
        auto fixture = proxy_fixture(0);
        fixture.addresses.push_back({ "127.0.0.1", target.port() });
        fixture.start();
        auto answer = fixture.caller().request("POST", "/book", deadlineField(seconds(10)), "x");
        CHECK(answer["Gypsumhub-Outcome"] == "unknown");
        CHECK(answer["Gypsumhub-Result"] == "305 target-answer-cut");
        CHECK(answer.result_int() == 502);
        CHECK(fixture.listener.count(attempt_result::CutAnswer) == 1);
    }
}

TEST_CASE("an idempotent request is retried on another target when the first one answers with an invalid status")
{
    for (auto& text : std::vector<std::string> { "000 X", "099 X", "101 X", "600 X", "999 X" }) {
        CAPTURE(text);
        auto target = fake_raw_server("127.0.0.1", "HTTP/1.1 " + text + "\r\nContent-Length: 2\r\n\r\nok", {});
        auto fixture = proxy_fixture(1);
        fixture.addresses.push_back({ "127.0.0.1", target.port() });
        fixture.start();
        for (auto round = 0; round < 4; ++round)
            CHECK(fixture.caller().request("GET", "/find").result_int() == 200);
        CHECK(fixture.listener.count(attempt_result::CutAnswer) >= 1);
    }
}

// Guards against invalid lines that reach callers, and against bodies that such a line frames in another way.
TEST_CASE("an answer whose head has a field name with a blank or a control byte is no answer, and counts against the target")
{
    using namespace std::string_literals;
    for (auto& line : { " Field: x"s, "\tField: x"s, "Fi eld: x"s, "Field : x"s, "Field\t: x"s, "\0Field: x"s, "F\x01: x"s, "Field\x7f: x"s, " Content-Length: 1"s,
             "Content-Length : 1"s }) {
        for (auto& head : { line + "\r\nContent-Length: 2\r\n", "Content-Length: 2\r\n" + line + "\r\n",
                 "Content-Length: 2\r\nServer: s\r\n" + line + "\r\n" }) {
            CAPTURE(head);
            auto target = fake_raw_server("127.0.0.1", "HTTP/1.1 200 X\r\n" + head + "\r\nok", {});
            auto fixture = proxy_fixture(0);
            fixture.addresses.push_back({ "127.0.0.1", target.port() });
            fixture.start();
            auto answer = fixture.caller().request("POST", "/book", deadlineField(seconds(10)), "x");
            CHECK(answer["Gypsumhub-Outcome"] == "unknown");
            CHECK(answer.result_int() == 502);
            CHECK(fixture.listener.count(attempt_result::CutAnswer) == 1);
        }
    }
}

// Guards against a server that ends itself when the last bytes of an empty answer arrive one by one.
TEST_CASE("an empty answer in chunks is read also when its bytes arrive one by one")
{
    auto target = fake_raw_server("127.0.0.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", {}, std::chrono::milliseconds(5));
    auto fixture = proxy_fixture(0);
    fixture.addresses.push_back({ "127.0.0.1", target.port() });
    fixture.start();
    CHECK(fixture.caller().request("POST", "/book", deadlineField(seconds(10)), "x")["Gypsumhub-Result"] == "0 ok");
}

TEST_CASE("an idempotent request is retried on another target when the first one fails")
{
    for (auto fault : { fake_fault::Errors, fake_fault::Wrong, fake_fault::Cut, fake_fault::Shed, fake_fault::Drain }) {
        CAPTURE(static_cast<int>(fault));
        auto fixture = proxy_fixture(2);
        fixture.start();
        fixture.targets[0]->setFault(fault);
        for (auto round = 0; round < 4; ++round) {
            auto answer = fixture.caller().request("GET", "/find");
            CHECK(answer.result_int() == 200);
            CHECK(answer["Gypsumhub-Outcome"] == "answered");
        }
        CHECK(fixture.targets[1]->executed() >= 4);
    }
}

TEST_CASE("when every target declines, the request is refused as not run and no target runs it")
{
    auto fixture = proxy_fixture(2);
    fixture.start();
    for (auto& target : fixture.targets)
        target->setFault(fake_fault::Shed);
    auto answer = fixture.caller().request("POST", "/book", {}, "x");
    CHECK(answer.result_int() == 503);
    CHECK(answer["Gypsumhub-Outcome"] == "not-run");
    CHECK(fixture.targets[0]->executed() + fixture.targets[1]->executed() == 0);
}

TEST_CASE("requests with a passed deadline or to an unreachable target are refused as not run")
{
    auto fixture = proxy_fixture(0);
    // The port of a target that has been closed; no process listens on it.
    fixture.addresses.push_back({ "127.0.0.1", std::make_unique<fake_target>(fake_target::settings {})->port() });
    fixture.start();
    auto late = fixture.caller().request("GET", "/find", "Gypsumhub-Deadline: 1000\r\n");
    CHECK(late["Gypsumhub-Result"] == "200 deadline-before-send");
    CHECK(late["Gypsumhub-Outcome"] == "not-run");
    auto unreachable = fixture.caller().request("POST", "/book", {}, "x");
    CHECK(unreachable["Gypsumhub-Outcome"] == "not-run");
    CHECK(fixture.caller().request("GET", "/find", "Gypsumhub-Deadline: soon\r\n")["Gypsumhub-Result"] == "104 deadline-invalid");
}

TEST_CASE("a streamed answer that is cut fails at the caller")
{
    auto settings = proxy_server_settings {};
    settings.bufferedAnswerBytes = 1000;
    auto fixture = proxy_fixture(1, settings);
    fixture.start();
    for (auto path : { "/large?bytes=200000", "/large?bytes=200000&chunked=1" }) {
        CHECK(fixture.caller().request("GET", path).body().size() > 200000);
        fixture.targets[0]->setFault(fake_fault::Cut);
        CHECK_THROWS(fixture.caller().request("GET", path));
        fixture.targets[0]->setFault(fake_fault::None);
    }
    CHECK(fixture.server->counters().streamedAnswersCut.load() == 2);
}

TEST_CASE("an idempotent request on a silent reused connection is retried on a new one, and the connection is reported as reused")
{
    auto fixture = proxy_fixture(1);
    fixture.view.overdueAfter = milliseconds(20);
    fixture.start();
    auto caller = fixture.caller();
    CHECK(caller.request("GET", "/find").result_int() == 200);
    fixture.targets[0]->setFault(fake_fault::DeadConnections);
    CHECK(caller.request("GET", "/find").result_int() == 200);
    CHECK(fixture.listener.count(attempt_result::Overdue) >= 1);
    auto isSilentOnReused = [](auto& report) { return report.result == attempt_result::Silent && report.reusedConnection; };
    CHECK(std::ranges::count_if(fixture.listener.reports(), isSilentOnReused) == 1);
}

TEST_CASE("the work at the target is cancelled when the caller disconnects")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    fixture.targets[0]->setFault(fake_fault::Silent);
    {
        auto caller = fixture.caller();
        caller.sendRaw("POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        while (fixture.targets[0]->executed() == 0)
            std::this_thread::yield();
    }
    while (fixture.targets[0]->cancelled() == 0)
        std::this_thread::yield();
    while (fixture.listener.count(attempt_result::Cancelled) == 0)
        std::this_thread::yield();
    CHECK(fixture.targets[0]->executed() == 1);
}

TEST_CASE("the result of a claimed request is reported to the claim port, and a stored answer is returned to a repeated request")
{
    auto fixture = proxy_fixture(1);
    fixture.start();
    auto answer = fixture.caller().request("POST", "/book", "Idempotency-Key: k\r\n", "x");
    CHECK(answer.result_int() == 200);
    REQUIRE(fixture.claims.recordedEnds() == std::vector { claim_end::Answered });
    REQUIRE(fixture.claims.answers.front());
    fixture.claims.verdict = { claim_decision::Replay, result_code::Ok, fixture.claims.answers.front() };
    auto repeated = fixture.caller().request("POST", "/book", "Idempotency-Key: k\r\n", "x");
    CHECK(repeated.body() == answer.body());
    CHECK(repeated["Gypsumhub-Outcome"] == "answered");
    CHECK(fixture.targets[0]->executed() == 1);

    fixture.claims.verdict = { claim_decision::Refuse, result_code::IdempotencyOutcomeUnknown, nullptr };
    CHECK(fixture.caller().request("POST", "/book", "Idempotency-Key: k\r\n", "x")["Gypsumhub-Outcome"] == "unknown");
    fixture.claims.verdict = { claim_decision::Dispatch, result_code::Ok, nullptr };
    fixture.targets[0]->setFault(fake_fault::Shed);
    fixture.caller().request("POST", "/book", "Idempotency-Key: l\r\n", "x");
    fixture.targets[0]->setFault(fake_fault::Cut);
    fixture.caller().request("POST", "/book", "Idempotency-Key: m\r\n", "x");
    CHECK(fixture.claims.recordedEnds() == std::vector { claim_end::Answered, claim_end::NotRun, claim_end::Unknown });
}

TEST_CASE("requests wait for a free slot until their deadline, and slots are never oversubscribed")
{
    auto fixture = proxy_fixture(1);
    fixture.slotShare = 1;
    fixture.start();
    fixture.targets[0]->setFault(fake_fault::Silent);
    auto first = fixture.caller();
    first.sendRaw("POST /book HTTP/1.1\r\nHost: a\r\n" + deadlineField(seconds(2)) + "Content-Length: 0\r\n\r\n");
    while (fixture.targets[0]->executed() == 0)
        std::this_thread::yield();
    auto second = fixture.caller().request("POST", "/book", deadlineField(shortDeadline));
    CHECK(second["Gypsumhub-Outcome"] == "not-run");
    CHECK(fixture.targets[0]->maxInFlight() == 1);
    CHECK(first.readAnswer()["Gypsumhub-Outcome"] == "unknown");
}

} // namespace gypsumhub
