#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstddef>
#include <cstdint>

namespace gypsumhub {

/// How far customers may exceed their limits: in any `window` by a share of `overshoot` and `slack` requests.
struct allowance_terms {
    duration window {};
    double overshoot { 0 };
    double slack { 0 };
};

/// The limit of a customer as the distributors apply it.
struct allowance_limit {
    double requestsPerSecond { 0 };
    /// Capacity of the token buckets of all data centres together.
    double burst { 0 };
    /// Added to the share of `burst` in the token bucket of each data centre.
    double extraTokens { 1 };
    /// Credits beyond the token buckets that all data centres together may issue in any `creditWindow`.
    double windowCredits { 0 };
    /// Credits that one node may issue without a lease in `creditWindow`.
    uint32_t floorCount { 0 };
    duration creditWindow {};
    /// Credits that a new distributor of the fleet may lease out before it knows the leases of the former one.
    double handoverCount { 0 };
};

/// How long a credit is valid, from the time of asking.
constexpr auto creditLifetime = milliseconds(300);

/// The limit of a customer in a fleet of `nodes` registered nodes in `dataCentres` data centres.
///
/// Bound: the credits used within the window were issued within the window plus `creditLifetime`. With the default terms and a rate of N
/// these are at most 5.3 N + burst, of 5.5 N + 1.1 burst + 20 allowed. At most half of the difference is for the floor of all nodes. Of the
/// rest, a quarter is for a change of the fleet's distributor. An eighth of the difference is not used; what is left is for the extra tokens and,
/// to a smaller part, for credits by window.
/// Of the customer's burst, one half fills the token buckets and the other half is for credits by window.
auto allowanceLimitOf(double requestsPerSecond, double burst, const allowance_terms&, size_t nodes, size_t dataCentres) -> allowance_limit;

} // namespace gypsumhub
