#include "gypsumhub/decision/selection/service_model.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto minFailureRateGood = 0.002;
    // Above this rate even good targets fail so often that a single failure is weak evidence: the service itself is at fault.
    constexpr auto maxFailureRateGood = 0.3;
    constexpr auto minFailureRateBad = 0.4;
    constexpr auto maxFailureRateBad = 0.97;
    constexpr auto maxMeanPeriod = seconds(120);
    constexpr auto minMeanPeriod = seconds(1);
    // Lower bound of the weight of a new sample in the moving average of response times.
    constexpr auto minSampleWeight = 0.05;
    constexpr auto stallFactor = 3;
    // A reconnect after a lost packet takes about this long and is not a stall.
    constexpr auto minStallThreshold = milliseconds(350);

    auto meanPeriod(double totalSeconds, double periods) -> duration
    {
        auto mean = duration { static_cast<int64_t>(totalSeconds / periods * 1e9) };
        return std::clamp(mean, minMeanPeriod, maxMeanPeriod);
    }

} // namespace

auto service_model::stallThreshold() const -> duration
{
    return std::max(m_meanResponseTime * stallFactor, minStallThreshold);
}

auto service_model::recordOutcome(outcome_kind kind, double bad) -> void
{
    if (kind == outcome_kind::Stall)
        return;
    auto failed = kind == outcome_kind::Failure ? 1.0 : 0.0;
    m_goodOutcomes += 1 - bad;
    m_goodFailures += (1 - bad) * failed;
    m_badOutcomes += bad;
    m_badFailures += bad * failed;
    m_rates.failureRateGood = std::clamp(m_goodFailures / m_goodOutcomes, minFailureRateGood, maxFailureRateGood);
    m_rates.failureRateBad = std::clamp(m_badFailures / m_badOutcomes, minFailureRateBad, maxFailureRateBad);
}

auto service_model::recordGoodPeriod(duration length) -> void
{
    m_goodPeriods += 1;
    m_goodSeconds += length.seconds();
    m_rates.meanGoodTime = meanPeriod(m_goodSeconds, m_goodPeriods);
}

auto service_model::recordBadPeriod(duration length) -> void
{
    m_badPeriods += 1;
    m_badSeconds += length.seconds();
    m_rates.meanBadTime = meanPeriod(m_badSeconds, m_badPeriods);
}

auto service_model::recordResponseTime(duration responseTime) -> void
{
    m_responseCount += 1;
    auto weight = std::max(minSampleWeight, 1 / m_responseCount);
    m_meanResponseTime = { static_cast<int64_t>(static_cast<double>(m_meanResponseTime.ns) * (1 - weight) + static_cast<double>(responseTime.ns) * weight) };
}

} // namespace gypsumhub
