#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

TEST_CASE("an answer without the id of the request is not taken for its answer")
{
    auto fleet = gateway_fixture {};
    auto node = gateway_fixture::callerAddress(0);
    fleet.setBehaviour(target_behaviour::AnswersWithoutId);
    auto answer = sendRequest(node, http::verb::post, "/unsafe/", "no-id");
    CHECK(answer.body.find("late copy") == std::string::npos);
    CHECK(fleet.executionsOf("no-id") == 1);
}

TEST_CASE("an answer that breaks off does not reach the caller as a success, and the request is neither run again nor called not run")
{
    auto fleet = gateway_fixture {};
    for (auto behaviour : { target_behaviour::CutsChunks, target_behaviour::SpoilsChunk, target_behaviour::ResetsUnframed,
             target_behaviour::CutsStatusLine, target_behaviour::CutsField, target_behaviour::CutsHead }) {
        fleet.setBehaviour(behaviour);
        auto id = "broken-" + std::to_string(static_cast<int>(behaviour));
        CAPTURE(id);
        CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", id).status == 502);
        CHECK(fleet.executionsOf(id) == 1);
    }
}

// Guards against a node that holds all bytes of an answer without end until its machine has no memory left.
TEST_CASE("a target that sends interim answers, a head, a body, a chunk's header or a trailer without end is given up before the deadline, and others are served")
{
    auto fleet = gateway_fixture {};
    auto node = gateway_fixture::callerAddress(0);
    for (auto behaviour : { target_behaviour::EndlessInterim, target_behaviour::EndlessHead, target_behaviour::EndlessBody,
             target_behaviour::EndlessChunkHeader, target_behaviour::EndlessTrailer }) {
        fleet.setBehaviour(behaviour);
        auto id = "endless-" + std::to_string(static_cast<int>(behaviour));
        auto sentAt = bootClockNow();
        // It has run, so that 503 would be wrong.
        CHECK(sendRequest(node, http::verb::post, "/unsafe/", id).status == 502);
        auto tookMs = (bootClockNow() - sentAt).milliseconds();
        CAPTURE(id);
        CHECK(tookMs < 3'500);
        CHECK(fleet.executionsOf(id) == 1);
    }
    fleet.setBehaviour(target_behaviour::Normal);
    auto served = 0;
    for (auto count = 0; count < 20; ++count)
        served += sendRequest(node, http::verb::get, "/safe/", "after-" + std::to_string(count)).status == 200 ? 1 : 0;
    CHECK(served == 20);
}

TEST_CASE("a head that breaks off on a connection in use again does not reach the caller as a success")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    for (auto behaviour : { target_behaviour::CutsStatusLine, target_behaviour::CutsField, target_behaviour::CutsHead }) {
        auto id = "kept-" + std::to_string(static_cast<int>(behaviour));
        CAPTURE(id);
        fleet.setBehaviour(target_behaviour::Normal);
        REQUIRE(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", id + "-before").status == 200);
        fleet.setBehaviour(behaviour);
        CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", id).status == 502);
        CHECK(fleet.executionsOf(id) == 1);
    }
}

TEST_CASE("a rejection that a target writes once more is not taken for the answer to a request that it runs, also if the caller repeats the id")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    fleet.setBehaviour(target_behaviour::RepeatsRejection);
    auto node = gateway_fixture::callerAddress(0);
    REQUIRE(sendRequest(node, http::verb::post, "/unsafe/", "first").status == 503);
    auto send = [&](const std::string& id) {
        auto runsBefore = fleet.executionsOf(id);
        auto status = sendRequest(node, http::verb::post, "/unsafe/", id).status;
        auto hasRun = fleet.executionsOf(id) > runsBefore;
        CAPTURE(id);
        CHECK_FALSE((status == 503 && hasRun));
        return status;
    };
    // The backoff of a target that was full ends.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    send("first");
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    send("first");
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    send("second");
    // Without an id, nothing tells a late answer from the right one.
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    send("");
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    send("");
}

// Guards against a node that ends itself when the last bytes of an empty answer arrive one by one.
TEST_CASE("an empty answer in chunks is complete also when its last bytes arrive one by one")
{
    auto fleet = gateway_fixture {};
    fleet.setBehaviour(target_behaviour::DripsLastChunk);
    CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", "dripped").status == 200);
    CHECK(fleet.executionsOf("dripped") == 1);
}
