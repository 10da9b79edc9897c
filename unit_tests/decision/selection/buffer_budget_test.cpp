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

TEST_CASE("LOST: uploads leave memory to the answers of requests that are at work, and to what the node learns of the store")
{
    constexpr auto limit = size_t { 143 * 1024 * 1024 };
    constexpr auto uploadBytes = size_t { 5 * 1024 * 1024 }, answerBytes = size_t { 1'300'000 };
    auto budget = buffer_budget(limit);
    auto uploads = std::vector<std::unique_ptr<buffer_budget::reservation>> {};
    auto taken = 0;
    for (auto index = 0; index < 40; ++index) {
        uploads.push_back(std::make_unique<buffer_budget::reservation>(budget, memory_use::Request));
        taken += uploads.back()->resize(uploadBytes) ? 1 : 0;
    }
    CHECK(taken >= 16);
    CHECK(taken < 40);
    // Many smaller requests leave it as well.
    auto small = std::vector<std::unique_ptr<buffer_budget::reservation>> {};
    for (auto index = 0; index < 1'000; ++index) {
        small.push_back(std::make_unique<buffer_budget::reservation>(budget, memory_use::Request));
        small.back()->resize(200'000);
    }
    auto answers = std::vector<std::unique_ptr<buffer_budget::reservation>> {};
    for (auto index = 0; index < 12; ++index) {
        answers.push_back(std::make_unique<buffer_budget::reservation>(budget));
        CHECK(answers.back()->resize(answerBytes));
    }
    auto state = buffer_budget::reservation(budget, memory_use::State);
    CHECK(state.resize(8 * 1024 * 1024));
    CHECK(budget.used() <= limit);
    uploads.clear();
    small.clear();
    answers.clear();
    CHECK(state.resize(0));
    CHECK(budget.used() == 0);
}

TEST_CASE("one body of the greatest size is received on the smallest machine, and small requests beside it")
{
    auto budget = buffer_budget(size_t { 160 } * 1024 * 1024 / 100 * 55);
    auto large = buffer_budget::reservation(budget, memory_use::Request), second = buffer_budget::reservation(budget, memory_use::Request);
    CHECK(large.resize(67'108'864));
    CHECK_FALSE(second.resize(1'000'000));
    auto small = std::vector<std::unique_ptr<buffer_budget::reservation>> {};
    for (auto index = 0; index < 100; ++index) {
        small.push_back(std::make_unique<buffer_budget::reservation>(budget, memory_use::Request));
        CHECK(small.back()->resize(100'000));
    }
    // A request that grows is counted once, by its size.
    CHECK(large.resize(0));
    CHECK(second.resize(100'000));
    CHECK(second.resize(50'000'000));
    CHECK(large.resize(1'000));
    CHECK_FALSE(large.resize(10'000'000));
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
