#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/body_target.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

/// Callers in the middle of large requests, which they do not continue.
class open_uploads {
public:
    open_uploads(size_t count, size_t bytes)
    {
        auto head = raw_request { .id = "upload", .method = "POST", .path = "/unsafe/", .fields = "Content-Length: " + std::to_string(bytes) + "\r\n", .deadlineMs = 30'000 }.text();
        for (auto index = size_t { 0 }; index < count; ++index) {
            m_callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
            m_callers.back()->send(head + std::string(10'000, 'u'));
        }
    }

private:
    std::vector<std::unique_ptr<raw_caller>> m_callers;
};

auto allowLargeBodies(gateway_fixture& fleet, int version, const std::string& service, int moreRoutes = 0) -> void
{
    auto routeText = [&](const std::string& name, const std::string& kind) {
        return R"({"name":")" + name + R"(","host":"h.example","prefix":"/)" + name + R"(/","kind":")" + kind
            + R"(","time_limit":"4000ms","latency_target":"2000ms","priority":1,"service":")" + service + R"(","max_attempts":2})";
    };
    auto routes = routeText("safe", "safe") + "," + routeText("unsafe", "unsafe");
    for (auto index = 0; index < moreRoutes; ++index)
        routes += "," + routeText("more" + std::to_string(index), "safe");
    fleet.store.put("op/config", R"({"version":"0000000)" + std::to_string(version) + R"(","routes":[)" + routes + R"(],"services":[{"name":"bookdesk"},{"name":"empty"}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_read_limit":"3000ms","idle_limit":"15s"}})");
}

} // namespace

// Guards against a node whose memory is taken by requests that arrive, so that the answers to those that have run are lost.
TEST_CASE("LOST: while many uploads are open, the long answers of requests that run reach their callers")
{
    auto target = body_target(600'000);
    auto fleet = gateway_fixture {};
    target.registerIn(fleet);
    allowLargeBodies(fleet, 3, "empty");
    REQUIRE(eventually([&] { return fleet.metricOf(0, "configuration_version") == 3; }));
    auto uploads = open_uploads(60, 5'000'000);
    REQUIRE(eventually([&] { return fleet.metricOf(0, "buffered_bytes") > 50'000'000; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto callers = std::vector<std::unique_ptr<raw_caller>> {};
    for (auto index = 0; index < 10; ++index) {
        callers.push_back(std::make_unique<raw_caller>(gateway_fixture::callerAddress(0)));
        callers.back()->send(raw_request { .id = "work-" + std::to_string(index), .method = "POST", .path = "/unsafe/", .delayMs = 300, .body = "work" }.text());
    }
    for (auto& caller : callers)
        CHECK(caller->read().status == 200);
}

// Guards against a node that cannot read a configuration while requests arrive.
TEST_CASE("CONFIG: while many uploads are open, a configuration of 402 routes is followed in time")
{
    constexpr auto configurationTime = milliseconds(2'000);
    auto fleet = gateway_fixture {};
    allowLargeBodies(fleet, 2, "bookdesk");
    REQUIRE(eventually([&] { return fleet.metricOf(0, "configuration_version") == 2; }));
    auto uploads = open_uploads(200, 700'000);
    REQUIRE(eventually([&] { return fleet.metricOf(0, "buffered_bytes") > 50'000'000; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    allowLargeBodies(fleet, 3, "bookdesk", 400);
    auto ackedAt = bootClockNow();
    while (fleet.metricOf(0, "configuration_version") != 3 && bootClockNow() < ackedAt + seconds(5))
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK((bootClockNow() - ackedAt < configurationTime));
}
