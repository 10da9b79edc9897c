#pragma once

#include "gypsumhub/core/time_point.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumhub {

/// The spread of a service's latencies as one node sees it, and how well one latency fits it.
///
/// Works on the logarithm of the latency. A quick tracker follows the median of all siblings, so that slowness of the whole
/// service moves every target alike; a histogram of distances from that median keeps the slower-changing shape. "Slow" means
/// the same shape moved by a factor of three, hence no latency needs to be configured and heavy tails are taken as they are.
class latency_baseline {
public:
    latency_baseline();

    /// Log likelihood ratio of "three times as slow" against "as its siblings" for one answer, clipped at both ends.
    auto slowLikelihood(duration latency, uint8_t distance) const -> float;
    /// Adds one complete answer. `distance` is the target's, see `target_view`.
    auto learn(duration latency, uint8_t distance, time_point now) -> void;
    /// The latency that few answers exceed, see `overdueTail`.
    auto overdueAfter() const -> duration;
    /// Adds a complete answer that came after the overdue limit that was in force.
    auto addLateSample(duration latency, duration overdueAfter) -> void;
    /// Log likelihood ratio of "hangs" against "late as others" for an exchange that is still open at twice its earlier age.
    auto hangLikelihood() const -> float;

private:
    /// Width of a bin in the logarithm: a factor of three is exactly `slowShift` bins.
    static constexpr auto slowShift = 8;
    static constexpr auto binCount = 88;
    /// Bin of the median.
    static constexpr auto medianBin = 28;

    /// Least latency at one distance over the current and the previous period.
    struct path_minimum {
        int64_t current { INT64_MAX };
        int64_t previous { INT64_MAX };
        time_point periodEnd { 0 };
        uint32_t samples { 0 };

        auto value() const -> int64_t { return current < previous ? current : previous; }
    };

    auto normalize(duration latency, uint8_t distance) const -> float;
    auto updateMinimum(duration latency, uint8_t distance, time_point now) -> void;
    auto binOf(float logLatency) const -> size_t;
    auto rebuild() -> void;

    std::array<float, binCount> m_counts {};
    std::array<float, binCount> m_likelihoods {};
    std::array<path_minimum, 3> m_minimums {};
    float m_total { 0 };
    float m_median { 0 };
    uint32_t m_samples { 0 };
    /// Late answers, and those among them that took at least twice the limit.
    float m_late { 0 };
    float m_veryLate { 0 };
};

} // namespace gypsumhub
