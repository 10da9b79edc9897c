#include "gypsumhub/decision/request/retry_budget.h"
#include "gypsumhub/decision/request/target_chooser.h"

#include "gypsumhub/core/random_generator.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace gypsumhub {

TEST_CASE("request threads together never exceed a slot share")
{
    constexpr auto share = uint16_t { 3 };
    auto service = service_view {};
    for (auto key = uint64_t { 1 }; key <= 4; ++key)
        service.targets.push_back({ .key = { key }, .slotShare = share, .load = std::make_shared<target_load>() });
    auto running = std::array<std::atomic<int>, 5> {};
    auto exceeded = std::atomic<int> { 0 };
    auto threads = std::vector<std::jthread> {};
    for (auto seed = uint64_t { 1 }; seed <= 4; ++seed) {
        threads.emplace_back([&, seed] {
            auto random = random_generator(seed);
            for (auto round = 0; round < 5000; ++round) {
                auto chosen = chooseTarget(service, { .random = random() });
                if (!chosen)
                    continue;
                auto& counter = running[chosen->key.value];
                if (++counter > share)
                    ++exceeded;
                --counter;
            }
        });
    }
    threads.clear();
    CHECK(exceeded == 0);
    CHECK(freeSlots(service) == 4 * share);
}

TEST_CASE("request threads together take no more retries than the budget holds")
{
    auto budget = retry_budget {};
    auto taken = std::atomic<int64_t> { 0 };
    auto threads = std::vector<std::jthread> {};
    for (auto thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (auto request = 0; request < 1000; ++request) {
                budget.recordFirstAttempt(10);
                if (budget.take({ 0 }))
                    ++taken;
            }
        });
    }
    threads.clear();
    CHECK(taken + budget.left() <= 400 + retry_budget::reserve + 1);
    CHECK(taken + budget.left() >= 400);
}

} // namespace gypsumhub
