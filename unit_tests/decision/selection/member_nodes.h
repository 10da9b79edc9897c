#pragma once

#include "gypsumhub/decision/selection/membership_view.h"

namespace gypsumhub {

inline auto at(int64_t ms) -> time_point
{
    return time_point {} + milliseconds(ms);
}

inline auto makeNode(const std::string& name, const std::string& dataCentre = "a1") -> node_registration
{
    return { name, dataCentre, { name, 80 }, { name, 90 } };
}

inline auto makeHello(const std::string& name) -> node_hello
{
    auto hello = node_hello {};
    hello.name = name;
    hello.isReady = true;
    return hello;
}

} // namespace gypsumhub
