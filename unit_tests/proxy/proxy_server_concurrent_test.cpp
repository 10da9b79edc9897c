#include "unit_tests/proxy/proxy_fixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

namespace gypsumhub {

TEST_CASE("several request threads serve callers while snapshots are replaced")
{
    constexpr auto callers = 4;
    constexpr auto requestsPerCaller = 40;
    auto settings = proxy_server_settings {};
    settings.requestThreads = 3;
    auto fixture = proxy_fixture(2, settings);
    fixture.slotShare = 1;
    fixture.start();
    auto answered = std::atomic<int> { 0 };
    auto threads = std::vector<std::jthread> {};
    for (auto number = 0; number < callers; ++number) {
        threads.emplace_back([&, port = fixture.server->port()] {
            auto caller = test_caller(port);
            for (auto request = 0; request < requestsPerCaller; ++request)
                answered += caller.request("GET", "/find")["Gypsumhub-Outcome"] == "answered" ? 1 : 0;
        });
    }
    for (auto round = 0; round < 20; ++round) {
        fixture.publish();
        std::this_thread::yield();
    }
    threads.clear();
    CHECK(answered == callers * requestsPerCaller);
}

} // namespace gypsumhub
