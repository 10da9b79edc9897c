#include "gypsumhub/decision/selection/target_belief.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace gypsumhub {

namespace {

    // No evidence makes a target certain; it must always be able to come back within a few outcomes.
    constexpr auto leastDoubt = 0.002;
    // Work times are long-tailed: a request in 25 of a sound target takes three times the mean.
    constexpr auto stallGood = 0.04;
    constexpr auto stallBad = 0.5;

    struct likelihoods {
        double good;
        double bad;
    };

    auto likelihoodsOf(outcome_kind kind, const episode_rates& rates) -> likelihoods
    {
        switch (kind) {
        case outcome_kind::Success:
            return { 1 - rates.failGood, 1 - rates.failBad };
        case outcome_kind::Failure:
            return { rates.failGood, rates.failBad };
        case outcome_kind::Stall:
            return { stallGood, stallBad };
        }
        return { 1, 1 };
    }

} // namespace

target_belief::target_belief(time_point now, const episode_rates& rates)
    : m_bad(rates.badShare())
    , m_at(now)
{
}

auto target_belief::probabilityBad(time_point now, const episode_rates& rates) const -> double
{
    auto passed = std::max((now - m_at).seconds(), 0.0);
    auto rate = 1 / rates.goodLength.seconds() + 1 / rates.badLength.seconds();
    auto share = rates.badShare();
    return share + (m_bad - share) * std::exp(-passed * rate);
}

auto target_belief::observe(outcome_kind kind, time_point sentAt, time_point now, const episode_rates& rates) -> void
{
    if (kind == outcome_kind::Success && sentAt < m_lastFailureAt)
        return;
    auto at = std::clamp(sentAt, m_at, std::max(now, m_at));
    auto bad = probabilityBad(at, rates);
    auto [givenGood, givenBad] = likelihoodsOf(kind, rates);
    auto weightBad = bad * givenBad;
    auto weightGood = (1 - bad) * givenGood;
    m_bad = std::clamp(weightBad / (weightBad + weightGood), leastDoubt, 1 - leastDoubt);
    m_at = at;
    if (kind == outcome_kind::Failure)
        m_lastFailureAt = std::max(m_lastFailureAt, at);
}

} // namespace gypsumhub
