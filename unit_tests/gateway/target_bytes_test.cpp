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
    for (auto behaviour : { target_behaviour::CutsChunks, target_behaviour::SpoilsChunk, target_behaviour::ResetsUnframed }) {
        fleet.setBehaviour(behaviour);
        auto id = "broken-" + std::to_string(static_cast<int>(behaviour));
        CAPTURE(id);
        CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", id).status == 502);
        CHECK(fleet.executionsOf(id) == 1);
    }
}

TEST_CASE("a target that sends interim answers, a head or a body without end is given up before the deadline, and others are served")
{
    auto fleet = gateway_fixture {};
    auto node = gateway_fixture::callerAddress(0);
    for (auto behaviour : { target_behaviour::EndlessInterim, target_behaviour::EndlessHead, target_behaviour::EndlessBody }) {
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
