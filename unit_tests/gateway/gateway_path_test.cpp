#include "gypsumhub/operator/request_trace.h"
#include "unit_tests/gateway/gateway_fixture.h"

#include <sstream>

using namespace gypsumhub;

namespace {

auto traceOf(const std::string& id, std::string lines) -> std::string
{
    auto sources = std::vector<log_source> { { "nodes", std::move(lines) } };
    return leaf::try_handle_all([&] { return traceRequest(id, sources); }, [] { return std::string {}; });
}

auto withoutEnd(const std::string& lines) -> std::string
{
    auto kept = std::string {};
    auto stream = std::istringstream(lines);
    for (auto line = std::string {}; std::getline(stream, line);)
        kept += line.find("request_ended") == std::string::npos ? line + "\n" : "";
    return kept;
}

} // namespace

TEST_CASE("a gateway serves a request end to end: directory, route, target, answer")
{
    auto fleet = gateway_fixture {};
    auto directory = sendRequest(gateway_fixture::addressOf(0, gateway_fixture::portOf(3)), http::verb::get, "/gypsumhub/resolve?name=h.example&region=a&data_centre=a1", "");
    CHECK(directory.status == 200);
    CHECK(directory.body.find("127.0.7.") != std::string::npos);
    for (auto node = 0; node < 2; ++node) {
        auto id = "calm-" + std::to_string(node);
        auto answer = sendRequest(gateway_fixture::callerAddress(node), http::verb::post, "/unsafe/x?y=1", id);
        CHECK(answer.status == 200);
        CHECK(answer.body.find("from i-target") == 0);
        CHECK(fleet.executionsOf(id) == 1);
    }
    CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/none/", "none").status == 404);
}

TEST_CASE("a request that may not be retried runs at most once, and is answered 503 only when it did not run")
{
    auto fleet = gateway_fixture {};
    auto node = gateway_fixture::callerAddress(0);
    fleet.setBehaviour(target_behaviour::Fails);
    CHECK(sendRequest(node, http::verb::post, "/unsafe/", "u-fails").status == 500);
    CHECK(fleet.executionsOf("u-fails") == 1);
    fleet.setBehaviour(target_behaviour::Drops);
    CHECK(sendRequest(node, http::verb::post, "/unsafe/", "u-drops").status == 502);
    CHECK(fleet.executionsOf("u-drops") == 1);
    fleet.setBehaviour(target_behaviour::Cuts);
    CHECK(sendRequest(node, http::verb::post, "/unsafe/", "u-cuts").status == 502);
    CHECK(fleet.executionsOf("u-cuts") == 1);
    fleet.setBehaviour(target_behaviour::Sheds);
    auto refused = sendRequest(node, http::verb::post, "/unsafe/", "u-sheds");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(fleet.executionsOf("u-sheds") == 0);
    fleet.setBehaviour(target_behaviour::AnswersOtherRequest);
    auto own = sendRequest(node, http::verb::post, "/unsafe/", "u-strays");
    CHECK(own.status == 200);
    CHECK(own.body.find("another") == std::string::npos);
    CHECK(fleet.executionsOf("u-strays") == 1);
}

TEST_CASE("a retryable request is retried on another target")
{
    auto fleet = gateway_fixture {};
    fleet.targets[0]->setBehaviour(target_behaviour::Fails);
    fleet.targets[1]->setBehaviour(target_behaviour::Drops);
    // A process may send few retries in the first window of the retry budget, since it does not know what its node has spent before.
    std::this_thread::sleep_for(std::chrono::nanoseconds(gateway_settings {}.retryWindow.ns));
    auto served = 0;
    for (auto count = 0; count < 10; ++count)
        served += sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/", "s-" + std::to_string(count)).status == 200 ? 1 : 0;
    CHECK(served >= 9);
}

TEST_CASE("all nodes stop sending requests to a draining or removed target, and all apply a new configuration")
{
    auto fleet = gateway_fixture {};
    fleet.registerTarget(0, "draining");
    fleet.store.remove("servers/" + gateway_fixture::targetId(1));
    // Only the third target is left. Whether a node has the new registrations shows in which targets answer.
    auto answersFromLast = [&](int node) {
        auto answer = sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", "d");
        return answer.body == "from " + gateway_fixture::targetId(2);
    };
    for (auto node = 0; node < 2; ++node) {
        auto inRow = 0;
        CHECK(eventually([&] { return (inRow = answersFromLast(node) ? inRow + 1 : 0) >= 20; }));
    }
    fleet.configure(2, "empty");
    for (auto node = 0; node < 2; ++node)
        CHECK(eventually([&] { return sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", "c").status == 503; }));
}

TEST_CASE("nodes keep serving during a store outage and apply changes made after it")
{
    auto fleet = gateway_fixture {};
    fleet.store.setUnavailable(true);
    for (auto count = 0; count < 20; ++count)
        CHECK(sendRequest(gateway_fixture::callerAddress(count % 2), http::verb::get, "/safe/", "away-" + std::to_string(count)).status == 200);
    fleet.store.setUnavailable(false);
    fleet.configure(2, "empty");
    CHECK(eventually([&] { return sendRequest(gateway_fixture::callerAddress(1), http::verb::get, "/safe/", "back").status == 503; }));
}

TEST_CASE("a node that shuts down becomes unready and leaves the directory at once, and still serves requests")
{
    auto fleet = gateway_fixture {};
    fleet.nodes[0]->requestStop();
    CHECK(eventually([&] { return !fleet.isReady(0); }));
    CHECK(sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", "late").status == 200);
    auto isListed = [&](int asked) {
        auto answer = sendRequest(gateway_fixture::addressOf(asked, gateway_fixture::portOf(3)), http::verb::get, "/gypsumhub/resolve?name=h.example&region=a&data_centre=a1", "");
        return answer.body.find("127.0.7.1") != std::string::npos;
    };
    CHECK(eventually([&] { return !isListed(1); }));
}

TEST_CASE("the log of a failed request names its cause")
{
    auto fleet = gateway_fixture {};
    auto node = gateway_fixture::callerAddress(0);
    fleet.setBehaviour(target_behaviour::Drops);
    sendRequest(node, http::verb::post, "/unsafe/", "why-lost");
    auto lost = fleet.linesOf("why-lost");
    CHECK(lost.find("\"answer_lost\"") != std::string::npos);
    CHECK(lost.find("\"evidence_age_ms\"") != std::string::npos);
    fleet.setBehaviour(target_behaviour::Sheds);
    sendRequest(node, http::verb::post, "/unsafe/", "why-shed");
    CHECK(fleet.linesOf("why-shed").find("\"status\":503") != std::string::npos);
    fleet.setBehaviour(target_behaviour::Fails);
    sendRequest(node, http::verb::post, "/unsafe/", "why-failed");
    CHECK(fleet.linesOf("why-failed").find("\"target_failed\"") != std::string::npos);
}

TEST_CASE("the trace of a failed request names its cause, and names none without the request_ended line")
{
    // A failure of the targets and the cause that the trace must name.
    struct failure_kind {
        target_behaviour behaviour;
        std::string_view cause;
    };
    auto fleet = gateway_fixture {};
    auto count = 0;
    for (auto& kind : { failure_kind { target_behaviour::Drops, "the connection to the target ended" }, failure_kind { target_behaviour::Sheds, "declined to run it" },
             failure_kind { target_behaviour::Fails, "an error of its own" } }) {
        auto id = "trace-" + std::to_string(++count);
        fleet.setBehaviour(kind.behaviour);
        sendRequest(gateway_fixture::callerAddress(0), http::verb::post, "/unsafe/", id);
        auto lines = fleet.linesOf(id);
        CHECK(traceOf(id, lines).find(kind.cause) != std::string::npos);
        CHECK(traceOf(id, withoutEnd(lines)).find("cause") == std::string::npos);
    }
}
