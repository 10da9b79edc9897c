#include "unit_tests/gateway/raw_caller.h"

#include <algorithm>
#include <atomic>

using namespace gypsumhub;

TEST_CASE("no request that a stopping node has read ends without an answer, although targets are slow and callers keep coming")
{
    auto fleet = gateway_fixture(milliseconds(4'000));
    // Some requests take longer than the grace time leaves when they arrive late. The time limit is longer than the grace time.
    constexpr auto callers = 40;
    auto results = std::vector<std::pair<std::string, raw_answer>>(callers);
    fleet.nodes[0]->requestStop();
    auto threads = std::vector<std::thread> {};
    for (auto index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            std::this_thread::sleep_for(std::chrono::milliseconds(index * 100));
            auto id = "stop-" + std::to_string(index);
            try {
                auto caller = raw_caller(gateway_fixture::callerAddress(0));
                caller.send(raw_request { .id = id, .method = "POST", .path = "/unsafe/", .delayMs = 1600, .deadlineMs = 8000 }.text());
                results[static_cast<size_t>(index)] = { id, caller.read() };
            } catch (const boost::system::system_error&) {
                // The node has closed its listener: the request was not read.
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto refused = 0;
    for (auto& [id, answer] : results) {
        if (answer.status == 0)
            CHECK(fleet.executionsOf(id) == 0);
        if (answer.status == 503)
            CHECK(fleet.executionsOf(id) == 0);
        refused += answer.status == 503 ? 1 : 0;
    }
    CHECK(results.front().second.status == 200);
    CHECK(refused > 0);
}
