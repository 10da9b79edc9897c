#include "gypsumhub/core/rcu_cell.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace gypsumhub {

namespace {

    struct pair_of_equals {
        int first;
        int second;
    };

} // namespace

TEST_CASE("readers of an rcu_cell always see a whole version, and versions never go back")
{
    constexpr auto versions = 500;
    auto cell = rcu_cell<pair_of_equals>(std::make_shared<pair_of_equals>(0, 0));
    auto broken = std::atomic<int> { 0 };
    auto readers = std::vector<std::jthread> {};
    for (auto reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            auto last = 0;
            while (last < versions) {
                auto current = cell.load();
                if (current->first != current->second || current->first < last)
                    ++broken;
                last = current->first;
            }
        });
    }
    for (auto version = 1; version <= versions; ++version)
        cell.store(std::make_shared<pair_of_equals>(version, version));
    readers.clear();
    CHECK(broken == 0);
}

} // namespace gypsumhub
