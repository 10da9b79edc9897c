#pragma once

#include "gypsumhub/config/route_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Deals the requests of a route to its services so that any run of them follows the weights (smooth weighted round robin).
class weighted_round_robin {
public:
    /// `phase` in [0, 1) shifts the start, so that nodes do not deal in step.
    weighted_round_robin(std::span<const weighted_service>, double phase);

    auto next() -> std::string_view;
    /// Whether these are the services and weights that it deals to.
    auto matches(std::span<const weighted_service>) const -> bool;

private:
    struct part {
        weighted_service service;
        double credit { 0 };
    };

    std::vector<part> m_parts;
    double m_total { 0 };
};

} // namespace gypsumhub
