#include "gypsumhub/decision/latency_baseline.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    /// Latency ratio that counts as slow.
    constexpr auto slowFactor = 3.0F;
    /// Samples before the histogram is used.
    constexpr auto minimumSamples = 40U;
    /// Samples at one distance before that distance is used.
    constexpr auto minimumPathSamples = 8U;
    /// How often the minimum latency at a distance starts a new period.
    constexpr auto minimumPeriod = seconds(60);
    /// Weight at which all counts of the histogram are halved, so that old samples lose weight.
    constexpr auto halvingWeight = 8000.0F;
    /// Samples between two rebuilds of the likelihoods.
    constexpr auto rebuildEvery = 64U;
    /// Steps of the median, in the logarithm of the latency.
    constexpr auto medianStep = 0.05F;
    constexpr auto firstMedianStep = 0.5F;
    /// Limit of one answer's log likelihood ratio, in nats.
    constexpr auto likelihoodLimit = 3.0F;
    /// Weight and standard deviation of the normal distribution that the histogram starts with.
    constexpr auto priorWeight = 80.0F;
    constexpr auto priorSpread = 0.9F;
    /// Share of answers that exceed the overdue limit.
    constexpr auto overdueTail = 0.002F;
    /// Late answers assumed before the first sample: one in three takes twice as long.
    constexpr auto priorLate = 3.0F;
    constexpr auto priorVeryLate = 1.0F;
    /// Late answers at which both counts are halved.
    constexpr auto lateHalvingCount = 200.0F;
    constexpr auto hangLikelihoodLimit = 3.0F;
    constexpr auto shortestOverdue = milliseconds(100);
    constexpr auto longestOverdue = seconds(1);

    auto binWidth() -> float
    {
        static const auto width = std::log(slowFactor) / 8;
        return width;
    }

} // namespace

latency_baseline::latency_baseline()
{
    for (auto bin = 0; bin < binCount; ++bin) {
        auto distance = static_cast<float>(bin - medianBin) * binWidth() / priorSpread;
        m_counts[bin] = std::exp(-distance * distance / 2);
        m_total += m_counts[bin];
    }
    for (auto& count : m_counts)
        count *= priorWeight / m_total;
    m_total = priorWeight;
    rebuild();
}

auto latency_baseline::slowLikelihood(duration latency, uint8_t distance) const -> float
{
    if (m_samples < minimumSamples || m_minimums[distance].samples < minimumPathSamples)
        return 0;
    return m_likelihoods[binOf(normalize(latency, distance))];
}

auto latency_baseline::addSample(duration latency, uint8_t distance, time_point now) -> void
{
    updateMinimum(latency, distance, now);
    auto value = normalize(latency, distance);
    ++m_samples;
    // The first samples move the median in large steps, so that it converges quickly.
    auto step = std::max(medianStep, firstMedianStep / static_cast<float>(m_samples) * 4);
    if (m_samples == 1)
        m_median = value;
    m_median += value > m_median ? step : -step;
    if (m_samples < minimumSamples / 2)
        return;
    m_counts[binOf(value)] += 1;
    m_total += 1;
    if (m_total > halvingWeight) {
        for (auto& count : m_counts)
            count /= 2;
        m_total /= 2;
    }
    if (m_samples % rebuildEvery == 0)
        rebuild();
}

auto latency_baseline::overdueAfter() const -> duration
{
    if (m_samples < minimumSamples)
        return seconds(1);
    // Goes down from the slowest bin until the tail reaches `overdueTail`.
    auto tail = 0.0F;
    auto bin = binCount - 1;
    while (bin > medianBin && tail + m_counts[bin] < overdueTail * m_total)
        tail += m_counts[bin--];
    auto edge = m_median + (static_cast<float>(bin - medianBin) + 0.5F) * binWidth();
    auto slowestPath = int64_t { 0 };
    for (auto& minimum : m_minimums)
        slowestPath = minimum.samples >= minimumPathSamples ? std::max(slowestPath, minimum.value()) : slowestPath;
    auto limit = duration { static_cast<int64_t>(std::exp(edge)) + slowestPath };
    return std::clamp(limit, shortestOverdue, longestOverdue);
}

auto latency_baseline::addLateSample(duration latency, duration overdueAfter) -> void
{
    m_late += 1;
    m_veryLate += latency > overdueAfter * 2 ? 1 : 0;
    if (m_late < lateHalvingCount)
        return;
    m_late /= 2;
    m_veryLate /= 2;
}

auto latency_baseline::hangLikelihood() const -> float
{
    return std::min(std::log((m_late + priorLate) / (m_veryLate + priorVeryLate)), hangLikelihoodLimit);
}

auto latency_baseline::normalize(duration latency, uint8_t distance) const -> float
{
    // Subtracts the extra delay of the path to farther data centres, estimated from the minimum latency at each distance.
    auto nearest = std::min({ m_minimums[0].value(), m_minimums[1].value(), m_minimums[2].value() });
    auto here = m_minimums[distance].value();
    auto extra = here == INT64_MAX ? 0 : here - nearest;
    auto rest = std::max(latency.ns - extra, latency.ns / 4);
    return std::log(static_cast<float>(std::max<int64_t>(rest, 1000)));
}

auto latency_baseline::updateMinimum(duration latency, uint8_t distance, time_point now) -> void
{
    auto& minimum = m_minimums[distance];
    ++minimum.samples;
    if (now >= minimum.periodEnd) {
        minimum.previous = minimum.current;
        minimum.current = INT64_MAX;
        minimum.periodEnd = now + minimumPeriod;
    }
    minimum.current = std::min(minimum.current, latency.ns);
}

auto latency_baseline::binOf(float logLatency) const -> size_t
{
    auto bin = static_cast<int>(std::lround((logLatency - m_median) / binWidth())) + medianBin;
    return static_cast<size_t>(std::clamp(bin, 0, binCount - 1));
}

auto latency_baseline::rebuild() -> void
{
    // Smooths over neighbouring bins, so that a histogram with few samples gives no extreme ratios.
    auto smooth = std::array<float, binCount> {};
    for (auto bin = 0; bin < binCount; ++bin) {
        auto below = m_counts[std::max(bin - 1, 0)];
        auto above = m_counts[std::min(bin + 1, binCount - 1)];
        smooth[bin] = (below + 2 * m_counts[bin] + above) / 4 + m_total * 1e-4F;
    }
    for (auto bin = 0; bin < binCount; ++bin) {
        auto ratio = std::log(smooth[std::max(bin - slowShift, 0)] / smooth[bin]);
        m_likelihoods[bin] = std::clamp(ratio, -likelihoodLimit, likelihoodLimit);
    }
    // Above the median, a slower answer must not be better evidence of health than a faster one.
    for (auto bin = medianBin + 1; bin < binCount; ++bin)
        m_likelihoods[bin] = std::max(m_likelihoods[bin], m_likelihoods[bin - 1]);
    // An answer below the median is never evidence of slowness.
    for (auto bin = medianBin - 1; bin >= 0; --bin)
        m_likelihoods[bin] = std::min(m_likelihoods[bin], 0.0F);
}

} // namespace gypsumhub
