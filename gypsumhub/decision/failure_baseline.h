#pragma once

#include "gypsumhub/decision/attempt_report.h"

#include <array>
#include <cstddef>

namespace gypsumhub {

/// Measures how often each kind of failure happens at targets of a service that are not suspected.
class failure_baseline {
public:
    /// Log likelihood ratio of "failing" against "healthy" for one exchange. `siblingRate` is the share of failures at the
    /// target's siblings over the same period.
    auto failingLikelihood(attempt_result, float siblingRate) const -> float;
    /// Adds one exchange with a target that is not suspected, or with any target of a degraded service.
    auto addSample(attempt_result) -> void;

private:
    static constexpr auto kindCount = size_t { static_cast<size_t>(attempt_result::Cancelled) + 1 };

    auto healthyRate(attempt_result, float siblingRate) const -> float;

    std::array<float, kindCount> m_counts {};
    float m_total { 0 };
};

} // namespace gypsumhub
