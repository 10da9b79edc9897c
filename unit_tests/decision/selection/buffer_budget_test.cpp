#include "gypsumhub/decision/selection/buffer_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace gypsumhub;

TEST_CASE("forty answers without end occupy no more than the budget, and leave it when they are given up")
{
    constexpr auto limit = size_t { 48 * 1024 * 1024 }, step = size_t { 64 * 1024 };
    auto budget = buffer_budget(limit);
    auto answers = std::vector<std::unique_ptr<buffer_budget::reservation>> {};
    for (auto index = 0; index < 40; ++index)
        answers.push_back(std::make_unique<buffer_budget::reservation>(budget));
    auto refused = 0;
    for (auto bytes = step; bytes <= 4 * 1024 * 1024; bytes += step) {
        for (auto& answer : answers)
            refused += answer && !answer->resize(bytes) ? 1 : 0;
        CHECK(budget.used() <= limit);
    }
    CHECK(refused > 0);
    answers.clear();
    CHECK(budget.used() == 0);
}

TEST_CASE("an answer that becomes smaller returns its bytes")
{
    auto budget = buffer_budget(100);
    auto first = buffer_budget::reservation(budget), second = buffer_budget::reservation(budget);
    CHECK(first.resize(80));
    CHECK_FALSE(second.resize(30));
    CHECK(first.resize(50));
    CHECK(second.resize(30));
}
