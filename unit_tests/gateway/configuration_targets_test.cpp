#include "gypsumhub/core/clock.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

auto registration(uint16_t port, int64_t born) -> std::string
{
    return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","born":)" + std::to_string(born)
        + R"(,"info":{"service":"bookdesk","version":"v1","data_centre":"a1","slots":8},"status":{"state":"ready","sequence":1,"warm_up_left":"0ms"}})";
}

auto get(int node, const std::string& id) -> unsigned
{
    return sendRequest(gateway_fixture::callerAddress(node), http::verb::get, "/safe/", id).status;
}

} // namespace

TEST_CASE("LOST: open requests are answered while registrations vanish for a moment and come back as other incarnations")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 4);
    auto hasEnded = std::atomic<bool> { false };
    auto churn = std::thread([&] {
        for (auto born = int64_t { 1'000 }; !hasEnded; ++born) {
            auto& target = *fleet.targets[static_cast<size_t>(born) % 4];
            fleet.store.remove("servers/" + target.id());
            std::this_thread::sleep_for(std::chrono::milliseconds(born % 3 == 0 ? 60 : 5));
            fleet.store.put("servers/" + target.id(), registration(target.port(), born / 8));
            std::this_thread::sleep_for(std::chrono::milliseconds(60));
        }
    });
    auto unanswered = std::atomic<int> { 0 }, wrong = std::atomic<int> { 0 }, served = std::atomic<int> { 0 };
    auto threads = std::vector<std::thread> {};
    for (auto index = 0; index < 6; ++index) {
        threads.emplace_back([&, index] {
            auto caller = raw_caller(gateway_fixture::callerAddress(index % 2));
            for (auto round = 0; round < 6; ++round) {
                auto id = "churn-" + std::to_string(index) + "-" + std::to_string(round);
                auto isUnsafe = index % 2 == 0;
                caller.send(raw_request { .id = id, .method = isUnsafe ? "POST" : "GET", .path = isUnsafe ? "/unsafe/" : "/safe/", .delayMs = 300 + 100 * round }.text());
                auto status = caller.read().status;
                unanswered += status == 0 ? 1 : 0;
                wrong += status != 200 && fleet.executionsOf(id) > 0 ? 1 : 0;
                served += status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    hasEnded = true;
    churn.join();
    CHECK(unanswered == 0);
    CHECK(wrong == 0);
    CHECK(served > 0);
}

TEST_CASE("LOST: a target that has started again elsewhere under its id gets the requests at its new address only")
{
    auto fleet = gateway_fixture(milliseconds(2'000), 1);
    auto& before = *fleet.targets[0];
    auto moved = fake_gateway_target("127.0.0.1", before.id());
    for (auto count = 0; count < 8; ++count)
        REQUIRE(get(0, "before-" + std::to_string(count)) == 200);
    fleet.store.put("servers/" + before.id(), registration(moved.port(), 2));
    REQUIRE(eventually([&] { return fleet.linesOfEvent("target_registered") >= 4; }));
    auto runsBefore = before.totalRuns();
    for (auto count = 0; count < 8; ++count)
        CHECK(get(0, "after-" + std::to_string(count)) == 200);
    CHECK(before.totalRuns() == runsBefore);
    CHECK(moved.totalRuns() == 8);
}
