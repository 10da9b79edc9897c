#include "gypsumhub/decision/failure_baseline.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    /// Minimum share of failures of an unhealthy target; the alternative hypothesis of the test.
    constexpr auto unhealthyRate = 0.2F;
    /// log(1 - unhealthyRate): log likelihood ratio of one success, in nats.
    constexpr auto successLikelihood = -0.2231F;
    /// Factor on a measured rate that covers its uncertainty.
    constexpr auto rateMargin = 1.5F;
    /// Samples at which all counts are halved, so that old samples lose weight.
    constexpr auto halvingWeight = 4000.0F;

    /// The share of one kind of failure that is tolerated at every healthy target.
    auto toleratedRate(attempt_result result) -> float
    {
        switch (result) {
        case attempt_result::ErrorAnswer:
            return 0.0075F;
        case attempt_result::ConnectionLost:
            return 0.005F;
        case attempt_result::ConnectFailed:
            return 0.002F;
        case attempt_result::Overdue:
            return 0.0015F;
        case attempt_result::MismatchedAnswer:
            return 0.0005F;
        default:
            return 0.001F;
        }
    }

} // namespace

auto failure_baseline::failingLikelihood(attempt_result result, float siblingRate) const -> float
{
    if (!isFailure(result))
        return successLikelihood;
    return std::max(0.0F, std::log(unhealthyRate / std::min(healthyRate(result, siblingRate), unhealthyRate)));
}

auto failure_baseline::addSample(attempt_result result) -> void
{
    m_counts[static_cast<size_t>(result)] += 1;
    m_total += 1;
    if (m_total < halvingWeight)
        return;
    for (auto& count : m_counts)
        count /= 2;
    m_total /= 2;
}

auto failure_baseline::healthyRate(attempt_result result, float siblingRate) const -> float
{
    // A rate from few samples is unreliable, so it is scaled down and the tolerated rate applies.
    auto measured = m_counts[static_cast<size_t>(result)] / std::max(m_total, 200.0F);
    return std::max(toleratedRate(result), rateMargin * std::max(measured, siblingRate));
}

} // namespace gypsumhub
