#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Trade-off between ejecting a healthy VM and keeping a failing one, chosen by the operators of a service.
enum class ejection_preference : uint8_t {
    /// Eject early: a slow answer does more harm than the ejection of a healthy VM.
    FastDetection,
    Balanced,
    /// Eject only on strong evidence: every ejection of a healthy VM does harm.
    FewFalseEjections,
};

/// Matches requests that must run at most once, by method and path prefix.
struct non_idempotent_pattern {
    /// HTTP method in capitals, or "*" for every method.
    std::string method;
    std::string pathPrefix;

    auto operator==(const non_idempotent_pattern&) const -> bool = default;
};

/// Operators' rules for one service. `service_rules_reader.cpp` lists the key of each field in the rules file.
struct service_rules {
    /// Minimum share of the service's registered targets that stays in rotation, in percent.
    uint32_t floorPercent { 70 };
    ejection_preference preference { ejection_preference::Balanced };
    /// POST and PATCH run at most once unless the operator names other patterns.
    std::vector<non_idempotent_pattern> nonIdempotent { { "POST", "/" }, { "PATCH", "/" } };
    /// The longest time for a leaving VM or a stopping node to finish its requests.
    duration drainTimeout { seconds(30) };
    /// Retries allowed per hundred first attempts.
    uint32_t retryBudgetPercent { 10 };
    /// Timeout of requests that carry no deadline.
    duration defaultDeadline { seconds(10) };
    /// Maximum number of requests that wait for a slot on one node.
    uint32_t queueLimit { 256 };
    /// Whether idempotent requests may be hedged.
    bool hedging { false };

    auto operator==(const service_rules&) const -> bool = default;
};

} // namespace gypsumhub
