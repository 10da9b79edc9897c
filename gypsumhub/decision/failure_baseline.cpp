#include "gypsumhub/decision/failure_baseline.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    /// Least share of failures that counts as sickness.
    constexpr auto unhealthyRate = 0.2F;
    /// log(1 - unhealthyRate): what one success weighs against sickness.
    constexpr auto successLikelihood = -0.2231F;
    /// Allowance for the uncertainty of a measured rate.
    constexpr auto rateMargin = 1.5F;
    constexpr auto fullWeight = 4000.0F;

    /// The rate of one kind of failure that every service is granted.
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

auto failure_baseline::learn(attempt_result result) -> void
{
    m_counts[static_cast<size_t>(result)] += 1;
    m_total += 1;
    if (m_total < fullWeight)
        return;
    for (auto& count : m_counts)
        count /= 2;
    m_total /= 2;
}

auto failure_baseline::healthyRate(attempt_result result, float siblingRate) const -> float
{
    // A few samples say little: the granted rate stands for as many as would show it.
    auto measured = m_counts[static_cast<size_t>(result)] / std::max(m_total, 200.0F);
    return std::max(toleratedRate(result), rateMargin * std::max(measured, siblingRate));
}

} // namespace gypsumhub
