#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumhub {

/// Which error a service's operators would rather have.
enum class ejection_preference : uint8_t {
    /// Eject early; a slow answer harms more than a healthy VM set aside.
    FastDetection,
    Balanced,
    /// Eject only on strong evidence; every healthy VM set aside harms.
    FewFalseEjections,
};

/// Requests that must run at most once: `method` and every path that starts with `pathPrefix`.
struct non_idempotent_pattern {
    /// HTTP method in capitals, or "*".
    std::string method;
    std::string pathPrefix;

    auto operator==(const non_idempotent_pattern&) const -> bool = default;
};

/// Operators' rules for one service. Field names are the keys of the rules file.
struct service_rules {
    /// Least share of the service's registered targets that stay in rotation, in percent.
    uint32_t floorPercent { 70 };
    ejection_preference preference { ejection_preference::Balanced };
    /// POST and PATCH run at most once unless the operator names other patterns.
    std::vector<non_idempotent_pattern> nonIdempotent { { "POST", "/" }, { "PATCH", "/" } };
    /// Longest time that a leaving VM or a stopping node may finish its work.
    duration linger { seconds(30) };
    /// Retries allowed for each hundred first attempts.
    uint32_t retryBudgetPercent { 10 };
    /// Deadline given to requests that name none.
    duration defaultDeadline { seconds(10) };
    /// Requests that may wait for a slot on one node.
    uint32_t queueLimit { 256 };
    /// Whether idempotent requests may be hedged.
    bool hedging { false };

    auto operator==(const service_rules&) const -> bool = default;
};

} // namespace gypsumhub
