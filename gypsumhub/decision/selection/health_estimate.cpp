#include "gypsumhub/decision/selection/health_estimate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gypsumhub {

namespace {

    // The estimate never becomes certain, so that a few opposite outcomes always suffice to reverse it.
    constexpr auto minProbability = 0.002;
    // Response times are long-tailed: 1 in 25 requests to a good target takes three times the mean.
    constexpr auto stallRateGood = 0.04;
    constexpr auto stallRateBad = 0.5;

    // Likelihoods of an outcome in the good and in the bad state.
    struct likelihoods {
        double good;
        double bad;
    };

    auto likelihoodsOf(outcome_kind kind, const failure_rates& rates) -> likelihoods
    {
        switch (kind) {
        case outcome_kind::Success:
            return { 1 - rates.failureRateGood, 1 - rates.failureRateBad };
        case outcome_kind::Failure:
            return { rates.failureRateGood, rates.failureRateBad };
        case outcome_kind::Stall:
            return { stallRateGood, stallRateBad };
        }
        return { 1, 1 };
    }

} // namespace

health_estimate::health_estimate(time_point now, const failure_rates& rates)
    : m_probabilityBad(rates.stationaryProbabilityBad())
    , m_evidenceAt(now)
{
}

auto health_estimate::probabilityBad(time_point now, const failure_rates& rates) const -> double
{
    auto elapsed = std::max((now - m_evidenceAt).seconds(), 0.0);
    auto rate = 1 / rates.meanGoodTime.seconds() + 1 / rates.meanBadTime.seconds();
    auto share = rates.stationaryProbabilityBad();
    return share + (m_probabilityBad - share) * std::exp(-elapsed * rate);
}

auto health_estimate::observe(outcome_kind kind, time_point sentAt, time_point now, const failure_rates& rates) -> void
{
    if (kind == outcome_kind::Success && sentAt < m_lastFailureAt)
        return;
    auto at = std::clamp(sentAt, m_evidenceAt, std::max(now, m_evidenceAt));
    auto bad = probabilityBad(at, rates);
    auto [givenGood, givenBad] = likelihoodsOf(kind, rates);
    auto weightBad = bad * givenBad;
    auto weightGood = (1 - bad) * givenGood;
    m_probabilityBad = std::clamp(weightBad / (weightBad + weightGood), minProbability, 1 - minProbability);
    m_evidenceAt = at;
    if (kind == outcome_kind::Failure)
        m_lastFailureAt = std::max(m_lastFailureAt, at);
}

} // namespace gypsumhub
