#include "gypsumhub/decision/selection/transfer_limit.h"

#include <doctest/doctest.h>
#include <vector>

using namespace gypsumhub;

TEST_CASE("a node sends as many large listings at once as its link carries in time, and any number of small ones")
{
    constexpr auto large = size_t { 400 * 1024 };
    auto limit = transfer_limit(20);
    auto held = std::vector<std::shared_ptr<void>> {};
    for (auto transfer = limit.acquire(large); transfer && held.size() < 100; transfer = limit.acquire(large))
        held.push_back(std::move(transfer));
    // Two copies at 20 Mbit/s take a third of a second.
    CHECK(held.size() == 2);
    CHECK(limit.acquire(1000));
    held.pop_back();
    CHECK(limit.acquire(large));
}

TEST_CASE("the slowest node sends one large listing at a time, and a permission may outlive the limit")
{
    auto limit = std::make_unique<transfer_limit>(1);
    auto held = limit->acquire(400 * 1024);
    CHECK(held);
    CHECK_FALSE(limit->acquire(400 * 1024));
    limit.reset();
    held.reset();
}

TEST_CASE("a large change reaches a data centre of sixty nodes in a few rounds of transfers")
{
    // Three nodes of 200 Mbit/s, the others of 20 Mbit/s; the first one has the change.
    constexpr auto large = size_t { 400 * 1024 };
    auto limits = std::vector<transfer_limit> {};
    for (auto index = 0; index < 60; ++index)
        limits.emplace_back(index < 3 ? 200.0 : 20.0);
    auto holders = size_t { 1 };
    auto rounds = 0;
    for (; holders < limits.size() && rounds < 10; ++rounds) {
        auto held = std::vector<std::shared_ptr<void>> {};
        for (auto index = size_t { 0 }; index < holders; ++index) {
            for (auto transfer = limits[index].acquire(large); transfer; transfer = limits[index].acquire(large))
                held.push_back(std::move(transfer));
        }
        holders += held.size();
    }
    CHECK(rounds <= 2);
}
