#pragma once

#include "gypsumhub/core/time_point.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace gypsumhub {

/// The distribution of a service's latencies on one node, and the likelihood of one latency under it.
///
/// Works on the logarithm of the latency. A fast estimate follows the median of all siblings, so that slowness of the whole
/// service moves every target alike. A histogram of distances from that median stores the shape, which changes more slowly.
/// "Slow" means the same shape shifted by a factor of three, so no latency needs to be configured and heavy tails are allowed.
class latency_baseline {
public:
    latency_baseline();

    /// Log likelihood ratio of "three times as slow" against "as its siblings" for one answer, clipped at both ends.
    auto slowLikelihood(duration latency, uint8_t distance) const -> float;
    /// Adds one complete answer. `distance` is the target's, see `target_view`.
    auto addSample(duration latency, uint8_t distance, time_point now) -> void;
    /// The latency that only a share of `overdueTail` of the answers exceeds, within fixed bounds.
    auto overdueAfter() const -> duration;
    /// Adds a complete answer that took longer than `overdueAfter`, the limit at that time.
    auto addLateSample(duration latency, duration overdueAfter) -> void;
    /// Log likelihood ratio of "hangs" against "late" for an exchange that is still open at twice its earlier age.
    auto hangLikelihood() const -> float;

private:
    /// Width of a bin in the logarithm: a factor of three is exactly `slowShift` bins.
    static constexpr auto slowShift = 8;
    static constexpr auto binCount = 88;
    /// Bin of the median.
    static constexpr auto medianBin = 28;

    /// Minimum latency in nanoseconds at one distance over the current and the previous period.
    struct path_minimum {
        int64_t current { INT64_MAX };
        int64_t previous { INT64_MAX };
        time_point periodEnd { 0 };
        uint32_t samples { 0 };

        auto value() const -> int64_t { return current < previous ? current : previous; }
    };

    /// Logarithm of the latency in nanoseconds, without the extra delay of the path at this distance.
    auto normalize(duration latency, uint8_t distance) const -> float;
    auto updateMinimum(duration latency, uint8_t distance, time_point now) -> void;
    auto binOf(float logLatency) const -> size_t;
    /// Recomputes the likelihoods from the histogram.
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
