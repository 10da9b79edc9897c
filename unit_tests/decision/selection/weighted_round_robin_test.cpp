#include "gypsumhub/decision/selection/weighted_round_robin.h"

#include <doctest/doctest.h>
#include <map>

using namespace gypsumhub;

TEST_CASE("a sequence of requests follows the weights")
{
    auto services = std::vector<weighted_service> { { "a", 90 }, { "b", 10 }, { "none", 0 } };
    auto roundRobin = weighted_round_robin(services, 0.4);
    auto counts = std::map<std::string, int> {};
    for (auto count = 0; count < 200; ++count)
        ++counts[std::string(roundRobin.next())];
    CHECK(counts["a"] == 180);
    CHECK(counts["b"] == 20);
    CHECK(counts["none"] == 0);
}

TEST_CASE("changed weights no longer match")
{
    auto services = std::vector<weighted_service> { { "a", 1 } };
    auto roundRobin = weighted_round_robin(services, 0);
    CHECK(roundRobin.matches(services));
    services.front().weight = 2;
    CHECK_FALSE(roundRobin.matches(services));
}
