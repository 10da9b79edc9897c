#include "gypsumhub/decision/selection/weighted_round_robin.h"

#include <doctest/doctest.h>
#include <map>

using namespace gypsumhub;

TEST_CASE("any run of requests follows the weights")
{
    auto services = std::vector<weighted_service> { { "a", 90 }, { "b", 10 }, { "none", 0 } };
    auto roundRobins = weighted_round_robin(services, 0.4);
    auto counts = std::map<std::string, int> {};
    for (auto count = 0; count < 200; ++count)
        ++counts[std::string(roundRobins.next())];
    CHECK(counts["a"] == 180);
    CHECK(counts["b"] == 20);
    CHECK(counts["none"] == 0);
}

TEST_CASE("new weights are noticed")
{
    auto services = std::vector<weighted_service> { { "a", 1 } };
    auto roundRobins = weighted_round_robin(services, 0);
    CHECK(roundRobins.matches(services));
    services.front().weight = 2;
    CHECK_FALSE(roundRobins.matches(services));
}
