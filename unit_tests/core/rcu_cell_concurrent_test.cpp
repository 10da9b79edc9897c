#include "gypsumhub/core/rcu_cell.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace gypsumhub {

namespace {

    /// A version whose members are equal; different members show a torn read.
    struct equal_pair {
        int first;
        int second;
    };

} // namespace

TEST_CASE("rcu_cell readers load complete versions in increasing order")
{
    constexpr auto versions = 500;
    auto cell = rcu_cell<equal_pair>(std::make_shared<equal_pair>(0, 0));
    auto violations = std::atomic<int> { 0 };
    auto readers = std::vector<std::jthread> {};
    for (auto reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            auto last = 0;
            while (last < versions) {
                auto current = cell.load();
                if (current->first != current->second || current->first < last)
                    ++violations;
                last = current->first;
            }
        });
    }
    for (auto version = 1; version <= versions; ++version)
        cell.store(std::make_shared<equal_pair>(version, version));
    readers.clear();
    CHECK(violations == 0);
}

} // namespace gypsumhub
