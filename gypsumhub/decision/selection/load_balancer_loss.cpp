#include "gypsumhub/decision/selection/answer_outlook.h"
#include "gypsumhub/decision/selection/idle_urgency.h"
#include "gypsumhub/decision/selection/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

// The terms of the expected loss.

namespace gypsumhub {

namespace {

    // A wait without end costs as much as so many full loads. Of 0.3, 0.6 and 1.0 lost requests, 0.6 gave the best goodput on the whole.
    constexpr auto fullLoadsOfWait = 3.0;
    // Where the cost of requests is learned, a target that works is due for a request with this share of the usual urgency. In a fleet of
    // many nodes each of them rarely uses a target that is idle for itself only, and the full urgency outweighs all load.
    constexpr auto urgencyShareOfWorking = 0.2;
    // Loss per byte of a body sent to another data centre or region, for links of 10 Mbit/s that all requests share: a tenth and a third
    // of a lost request for 60 kB.
    constexpr auto otherDataCentreLossPerByte = 0.1 / 60'000;
    constexpr auto otherRegionLossPerByte = 1.0 / 3 / 60'000;
    constexpr auto probablySound = 0.2;
    constexpr auto maxProbabilityBadForBonus = 0.75;
    // A due trial of a target that is surely bad costs one lost request, four times the default bonus.
    constexpr auto bonusesOfTrial = 4.0;
    constexpr auto minMeanWork = milliseconds(1);

} // namespace

auto load_balancer::distanceLoss(const target_state& target, const request_cost* cost) const -> double
{
    if (target.registration.dataCentre == m_dataCentre)
        return 0;
    auto isSameRegion = m_regionOf(target.registration.dataCentre) == m_region;
    auto loss = isSameRegion ? m_settings.otherDataCentreLoss : m_settings.otherRegionLoss;
    if (cost)
        loss += static_cast<double>(cost->bodyBytes) * (isSameRegion ? otherDataCentreLossPerByte : otherRegionLossPerByte);
    return loss;
}

auto load_balancer::timeLoss(const target_state& target, const request_cost& cost, duration meanWork, time_point now) const -> double
{
    auto outlook = outlookAt(target, cost, meanWork, now);
    // The wait also delays the requests behind this one, and tells apart targets at which the request is surely in time or surely late.
    auto wait = outlook.wait.seconds() / std::max(meanWork, minMeanWork).seconds();
    return m_settings.missedTargetLoss * outlook.probabilityLate + m_settings.fullLoadLoss * fullLoadsOfWait * wait / (1 + wait);
}

auto load_balancer::loadLoss(const target_state& target) const -> double
{
    // A full target is rated as if one of its slots were free.
    auto usedSlots = std::min(target.inFlight + 1, target.registration.slots);
    auto load = static_cast<double>(usedSlots) / static_cast<double>(target.registration.slots);
    return m_settings.fullLoadLoss * load * load;
}

auto load_balancer::expectedLoss(const target_state& target, double bad, const selection_request& request, time_point now) const -> double
{
    auto loss = bad * (request.isRetryable ? m_settings.retryableLoss : 1.0);
    loss += loadLoss(target);
    loss += distanceLoss(target, request.cost);
    if (now < target.registration.warmedUpAt)
        loss += m_settings.warmingUpLoss;
    // The logarithm, since estimates that are all wrong by a factor must not favour any target.
    loss += m_settings.twiceAsSlowLoss * (request.cost ? std::log2(target.relativeResponseTime) : std::max(target.relativeResponseTime - 1, 0.0));
    return loss;
}

auto load_balancer::lossesByCost(service_targets& service, const selection_request& request, time_point now) const -> std::vector<double>
{
    struct outlook {
        double bad;
        double lossOfTime;
    };
    auto outlooks = std::vector<std::optional<outlook>>(service.targets.size());
    auto leastOfSound = std::optional<double> {};
    for (auto index = size_t { 0 }; index < outlooks.size(); ++index) {
        auto& target = *service.targets[index];
        if (!isChoosable(target, request, now))
            continue;
        auto bad = target.health.probabilityBad(now, service.model.rates());
        auto loss = timeLoss(target, *request.cost, service.model.meanResponseTime(), now);
        outlooks[index] = outlook { bad, loss };
        if (bad < probablySound)
            leastOfSound = std::min(leastOfSound.value_or(loss), loss);
    }
    auto losses = std::vector<double>(outlooks.size(), std::numeric_limits<double>::infinity());
    for (auto index = size_t { 0 }; index < outlooks.size(); ++index) {
        if (!outlooks[index])
            continue;
        auto [bad, lossOfTime] = *outlooks[index];
        // A target that fails at once is always free. A failed request gains nothing from that.
        auto apparentGain = std::max(leastOfSound.value_or(0) - lossOfTime, 0.0);
        auto& target = *service.targets[index];
        losses[index] = expectedLoss(target, bad, request, now) - loadLoss(target) + lossOfTime + bad * apparentGain;
    }
    return losses;
}

auto load_balancer::explorationGain(const target_state& target, double bad, const selection_request& request, bool isRestAllowed, time_point now) const -> double
{
    if (target.registration.dataCentre != m_dataCentre)
        return 0;
    auto isUntried = target.lastChosenAt == time_point {} && bad < maxProbabilityBadForBonus;
    auto urgency = idleUrgency(target, request.isRetryable, isRestAllowed, now);
    if (request.cost && target.failuresInRow == 0)
        urgency *= urgencyShareOfWorking;
    return m_settings.explorationBonus * ((isUntried ? 1 : 0) + bonusesOfTrial * urgency);
}

} // namespace gypsumhub
