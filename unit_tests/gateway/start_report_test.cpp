#include "unit_tests/gateway/gateway_fixture.h"

using namespace gypsumhub;

TEST_CASE("the log of a node that was not ready in time tells what its start waited for and what it waits for meanwhile")
{
    auto fleet = gateway_fixture();
    CHECK(eventually([&] { return fleet.linesOfEvent("ready") == 2; }));
    auto metrics = sendRequest(gateway_fixture::addressOf(0, gateway_fixture::portOf(5)), http::verb::get, "/metrics", "").body;
    CHECK(metrics.find("\ngypsumhub_start_seconds ") != std::string::npos);
    fleet.store.setUnavailable(true);
    fleet.startNode(2);
    CHECK(eventually([&] { return fleet.linesOfEvent("start_delayed") > 0; }));
    CHECK_FALSE(fleet.isReady(2));
    fleet.store.setUnavailable(false);
    REQUIRE(eventually([&] { return fleet.isReady(2); }));
    CHECK(eventually([&] { return fleet.linesOfEvent("ready") == 3; }));
}
