#pragma once

#include "gypsumhub/config/route_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Distributes the requests of a route over its services by smooth weighted round robin, so that any sequence of consecutive
/// requests follows the weights.
class weighted_round_robin {
public:
    /// `phase` in [0, 1) shifts the start of the sequence, so that nodes do not choose the same services in lockstep.
    weighted_round_robin(std::span<const weighted_service>, double phase);

    auto next() -> std::string_view;
    /// Whether the given services and weights equal those of this instance.
    auto matches(std::span<const weighted_service>) const -> bool;

private:
    /// A service with its current credit. The service with the most credit is chosen next.
    struct entry {
        weighted_service service;
        double credit { 0 };
    };

    std::vector<entry> m_entries;
    double m_totalWeight { 0 };
};

} // namespace gypsumhub
