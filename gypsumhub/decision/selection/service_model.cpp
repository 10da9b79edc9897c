#include "gypsumhub/decision/selection/service_model.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto leastFailGood = 0.002;
    // Beyond this even good targets fail so often that one failure says little; the service itself is at fault.
    constexpr auto mostFailGood = 0.3;
    constexpr auto leastFailBad = 0.4;
    constexpr auto mostFailBad = 0.97;
    constexpr auto longestEpisode = seconds(120);
    constexpr auto shortestEpisode = seconds(1);
    // Least weight of one new work time in the mean.
    constexpr auto workWeight = 0.05;
    constexpr auto stallFactor = 3;
    // Connecting again after a lost packet takes about this long; not yet a stall.
    constexpr auto leastStall = milliseconds(350);

    auto lengthOf(double totalSeconds, double episodes) -> duration
    {
        auto mean = duration { static_cast<int64_t>(totalSeconds / episodes * 1e9) };
        return std::clamp(mean, shortestEpisode, longestEpisode);
    }

} // namespace

auto service_model::stallAfter() const -> duration
{
    return std::max(m_meanWork * stallFactor, leastStall);
}

auto service_model::noteOutcome(outcome_kind kind, double bad) -> void
{
    if (kind == outcome_kind::Stall)
        return;
    auto failed = kind == outcome_kind::Failure ? 1.0 : 0.0;
    m_goodOutcomes += 1 - bad;
    m_goodFailures += (1 - bad) * failed;
    m_badOutcomes += bad;
    m_badFailures += bad * failed;
    m_rates.failGood = std::clamp(m_goodFailures / m_goodOutcomes, leastFailGood, mostFailGood);
    m_rates.failBad = std::clamp(m_badFailures / m_badOutcomes, leastFailBad, mostFailBad);
}

auto service_model::noteGoodEpisode(duration length) -> void
{
    m_goodEpisodes += 1;
    m_goodSeconds += length.seconds();
    m_rates.goodLength = lengthOf(m_goodSeconds, m_goodEpisodes);
}

auto service_model::noteBadEpisode(duration length) -> void
{
    m_badEpisodes += 1;
    m_badSeconds += length.seconds();
    m_rates.badLength = lengthOf(m_badSeconds, m_badEpisodes);
}

auto service_model::noteWork(duration work) -> void
{
    m_workCount += 1;
    auto weight = std::max(workWeight, 1 / m_workCount);
    m_meanWork = { static_cast<int64_t>(static_cast<double>(m_meanWork.ns) * (1 - weight) + static_cast<double>(work.ns) * weight) };
}

} // namespace gypsumhub
