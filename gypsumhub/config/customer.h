#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// A customer of the operator: its API keys, and what it may ask of the fleet.
struct customer {
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route. 0 is the highest.
    std::optional<uint32_t> priority;
    /// Requests per second over all nodes; 0 for no limit.
    double requestsPerSecond { 0 };
    /// Requests above the rate that it may send at once.
    double burst { 0 };

    auto isLimited() const -> bool { return requestsPerSecond > 0; }
};

} // namespace gypsumhub
