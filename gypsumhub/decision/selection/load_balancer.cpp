#include "gypsumhub/decision/selection/load_balancer.h"

#include "gypsumhub/decision/selection/answer_outlook.h"
#include "gypsumhub/decision/selection/idle_urgency.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gypsumhub {

namespace {

    // A full target frees a slot within about this time.
    constexpr auto fullBackoff = milliseconds(100);
    // A wrong value cannot keep a sound target out for longer.
    constexpr auto maxPause = seconds(60);
    // Hysteresis: a target is classified as bad above the first probability of being bad, and as good again below the second.
    constexpr auto badThreshold = 0.9;
    constexpr auto goodThreshold = 0.1;
    // Weight of a new sample in the moving average of a target's relative response time.
    constexpr auto sampleWeight = 0.2;
    constexpr auto maxRelativeResponseTime = 10.0;
    // The same for its logarithm relative to the expected work of each request. The work varies by more than the mean of many requests.
    constexpr auto logarithmicSampleWeight = 0.05;
    // Lower than any expected loss, so that a due trial comes first.
    constexpr auto trialLoss = -10.0;
    // Time until all nodes have received the registration of a target that joined.
    constexpr auto trialDelay = milliseconds(1000);
    // One failure may be the ordinary one of a good target.
    constexpr auto minFailuresOfBadPeriod = 2U;
    // Random tie break between equal targets, so that the nodes do not all choose the same one.
    constexpr auto tieBreakNoise = 0.005;

    auto isFull(const target_state& target, time_point now) -> bool
    {
        return target.inFlight >= target.registration.slots || now < target.fullUntil;
    }

} // namespace

load_balancer::load_balancer(std::string dataCentre, region_lookup regionOf, selection_settings settings, uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_region(regionOf(m_dataCentre))
    , m_regionOf(std::move(regionOf))
    , m_settings(settings)
    , m_random(seed)
    , m_permits(seed)
{
}

auto load_balancer::serviceOf(std::string_view name) -> service_targets&
{
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(std::string(name), service_targets {}).first;
    return found->second;
}

auto load_balancer::model(std::string_view service) -> service_model&
{
    return serviceOf(service).model;
}

auto load_balancer::hasFewSlots(std::string_view service) -> bool
{
    auto& targets = serviceOf(service).targets;
    return !targets.empty() && std::ranges::all_of(targets, [&](auto& target) { return target->registration.slots <= m_settings.fewSlots; });
}

auto load_balancer::find(std::string_view id) const -> std::shared_ptr<target_state>
{
    auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

auto load_balancer::put(const target_registration& registration, time_point now, bool isJoining) -> void
{
    auto known = find(registration.id);
    auto isSame = known && known->registration.incarnation == registration.incarnation
        && known->registration.service == registration.service && known->registration.address == registration.address;
    if (isSame) {
        known->registration = registration;
        return;
    }
    remove(registration.id);
    auto& service = serviceOf(registration.service);
    auto added = std::make_shared<target_state>(target_state { registration, health_estimate(now, service.model.rates()) });
    added->classifiedSince = now;
    added->lastReportAt = now;
    added->leavingUntil = m_leaving.leavingUntil(registration.id, registration.incarnation);
    if (isJoining && registration.dataCentre == m_dataCentre)
        added->trialDueAt = now + trialDelay;
    service.targets.push_back(added);
    m_targets.emplace(registration.id, std::move(added));
}

auto load_balancer::remove(std::string_view id) -> void
{
    auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    // Requests in flight keep the state alive; no new requests are sent.
    found->second->isClosed = true;
    std::erase(serviceOf(found->second->registration.service).targets, found->second);
    m_targets.erase(found);
}

auto load_balancer::mayRest(const service_targets& service, time_point now) const -> bool
{
    auto usable = size_t { 0 }, resting = size_t { 0 };
    for (auto& target : service.targets) {
        if (!target->acceptsRequests(now) || target->registration.dataCentre != m_dataCentre)
            continue;
        ++usable;
        resting += isResting(*target, now) ? 1 : 0;
    }
    return resting <= maxRestingTargets(usable);
}

auto load_balancer::idleCount(std::string_view service, duration idle, time_point now) -> size_t
{
    return static_cast<size_t>(std::ranges::count_if(serviceOf(service).targets, [&](auto& target) {
        auto isUsable = target->acceptsRequests(now) && target->registration.dataCentre == m_dataCentre;
        return isUsable && target->inFlight == 0 && now >= target->lastChosenAt + idle;
    }));
}

auto load_balancer::addOutlook(selection& chosen, const target_limit* limit, bool isFull, time_point now) const -> void
{
    if (limit && chosen.usable == 1)
        chosen.outlook = permit_outlook { duration { std::numeric_limits<int64_t>::max() } };
    if (!limit)
        chosen.outlook.reset();
    if (!chosen.outlook)
        return;
    auto wait = std::max(m_permits.deniedUntil(limit->target) - now, duration {});
    chosen.outlook->untilNext = std::min(chosen.outlook->untilNext, wait);
    chosen.outlook->permitsPerSecond += m_permits.expectedRate(*limit, now);
    chosen.outlook->hasFullTarget |= isFull;
}

auto load_balancer::isChoosable(const target_state& target, const selection_request& request, time_point now) -> bool
{
    return target.acceptsRequests(now) && std::ranges::count(request.tried, target.registration.id) == 0;
}

auto load_balancer::choose(const selection_request& request, time_point now) -> selection
{
    constexpr auto none = std::numeric_limits<double>::infinity();
    auto& service = serviceOf(request.service);
    auto chosen = selection {};
    auto isRestAllowed = mayRest(service, now);
    auto minFreeLoss = none, minBusyLoss = none, minLossWithPermit = none, patienceLoss = none;
    auto lossesOfCost = request.cost ? lossesByCost(service, request, now) : std::vector<double> {};
    for (auto index = size_t { 0 }; index < service.targets.size(); ++index) {
        auto& target = service.targets[index];
        if (!isChoosable(*target, request, now))
            continue;
        ++chosen.usable;
        auto bad = target->health.probabilityBad(now, service.model.rates());
        auto loss = expectedLoss(*target, bad, request, now);
        auto* limit = m_limits.find(target->registration.id, target->registration.incarnation);
        addOutlook(chosen, limit, isFull(*target, now), now);
        if (isFull(*target, now)) {
            minBusyLoss = std::min(minBusyLoss, loss);
            continue;
        }
        auto flatLoss = loss;
        if (request.cost)
            loss = lossesOfCost[index];
        loss += m_random.unit() * tieBreakNoise;
        auto gain = explorationGain(*target, bad, request, isRestAllowed, now);
        if (now >= target->trialDueAt) {
            loss = trialLoss;
            gain = 0;
        }
        if (limit && !m_permits.has(limit->target, now)) {
            auto canAsk = now >= m_permits.deniedUntil(limit->target);
            if (canAsk && loss - gain < minLossWithPermit) {
                minLossWithPermit = loss - gain;
                chosen.needsPermit = target;
            }
            // The answer to a permit request takes one round trip. No request waits only to try a target.
            if (canAsk)
                minBusyLoss = std::min(minBusyLoss, loss);
            continue;
        }
        loss -= gain;
        if (loss < minFreeLoss) {
            minFreeLoss = loss;
            // Waiting for another target is decided by its health and distance: all requests behind this one would wait as well.
            patienceLoss = request.cost ? flatLoss - gain : loss;
            chosen.target = target;
            chosen.probabilityBad = bad;
        }
    }
    if (minLossWithPermit >= minFreeLoss)
        chosen.needsPermit.reset();
    chosen.shouldWait = !chosen.target || patienceLoss > minBusyLoss + m_settings.waitMargin;
    return chosen;
}

auto load_balancer::recordSent(target_state& target, time_point now) -> time_point
{
    auto& registration = target.registration;
    ++target.inFlight;
    target.lastChosenAt = now;
    target.trialDueAt = never;
    return m_limits.find(registration.id, registration.incarnation) ? m_permits.consume(registration.id, now) : never;
}

auto load_balancer::recordCompleted(target_state& target) -> void
{
    if (target.inFlight > 0)
        --target.inFlight;
}

auto load_balancer::observe(target_state& target, outcome_kind kind, time_point sentAt, time_point now) -> health_change
{
    auto& model = serviceOf(target.registration.service).model;
    target.trialDueAt = never;
    auto before = target.health.probabilityBad(now, model.rates());
    model.recordOutcome(kind, before);
    target.health.observe(kind, sentAt, now, model.rates());
    auto after = target.health.probabilityBad(now, model.rates());
    target.lastReportAt = std::max(target.lastReportAt, std::min(sentAt, now));
    if (kind == outcome_kind::Success) {
        // An answer to an earlier request says nothing about the time after the failure.
        if (sentAt >= target.lastFailureAt)
            target.failuresInRow = 0;
    } else {
        ++target.failuresInRow;
        target.lastFailureAt = now;
    }
    classify(target, after, now);
    return { before, after };
}

auto load_balancer::classify(target_state& target, double bad, time_point now) -> void
{
    auto& model = serviceOf(target.registration.service).model;
    if (!target.isClassifiedBad && bad > badThreshold && target.failuresInRow >= minFailuresOfBadPeriod) {
        model.recordGoodPeriod(now - target.classifiedSince);
        target.isClassifiedBad = true;
        target.classifiedSince = now;
    } else if (target.isClassifiedBad && bad < goodThreshold) {
        // Ends with the last failure: the time after it, in which nobody tried the target, is no evidence.
        model.recordBadPeriod(target.lastFailureAt - target.classifiedSince);
        target.isClassifiedBad = false;
        target.classifiedSince = now;
    }
}

auto load_balancer::forgetPathFailures(std::string_view name, time_point since, time_point now) -> void
{
    auto& service = serviceOf(name);
    for (auto& target : service.targets) {
        if (target->pathFailedAt < since)
            continue;
        target->health = health_estimate(now, service.model.rates());
        target->isClassifiedBad = false;
        target->classifiedSince = now;
        target->failuresInRow = 0;
    }
}

auto load_balancer::recordResponseTime(target_state& target, duration responseTime) -> void
{
    auto& model = serviceOf(target.registration.service).model;
    auto ratio = std::min(responseTime.seconds() / std::max(model.meanResponseTime().seconds(), 1e-3), maxRelativeResponseTime);
    target.relativeResponseTime += sampleWeight * (ratio - target.relativeResponseTime);
    model.recordResponseTime(responseTime);
}

auto load_balancer::recordResponseTime(target_state& target, const cost_features& features, const cost_estimate& expected, duration responseTime, time_point now) -> void
{
    // An answer that may have waited behind requests of other nodes tells less about the request and about the speed of the target.
    auto weight = 1 / (1 + target.others.expected(now));
    m_costs.record(features, responseTime, weight);
    model(features.service).recordResponseTime(responseTime);
    auto scaled = [&](duration length) { return duration { static_cast<int64_t>(static_cast<double>(length.ns) * target.relativeResponseTime) }; };
    auto longest = scaled(expected.percentile97);
    target.others.recordAnswer(responseTime, scaled(expected.mean), target.registration.slots, now);
    // Time above the 97th percentile is counted as a wait.
    auto ratio = std::log(std::max(std::min(responseTime, longest).seconds(), 1e-3)) - expected.logarithm();
    auto before = std::log(target.relativeResponseTime);
    auto limit = std::log(maxRelativeResponseTime);
    target.relativeResponseTime = std::exp(std::clamp(before + logarithmicSampleWeight * weight * (ratio - before), -limit, limit));
}

auto load_balancer::stallThreshold(const target_state& target, const request_cost& cost, time_point now) -> duration
{
    auto& known = model(target.registration.service);
    return stallThresholdAt(target, cost, known.meanResponseTime(), known.stallThreshold(), now);
}

auto load_balancer::recordLeavingAnswer(const leaving_target& stated, time_point now) -> bool
{
    auto isNew = m_leaving.recordAnswer(stated, now);
    updateLeaving(stated.target);
    return isNew;
}

auto load_balancer::recordLeavingReport(const leaving_target& stated, time_point now) -> bool
{
    auto isNew = m_leaving.recordReport(stated, now);
    updateLeaving(stated.target);
    return isNew;
}

auto load_balancer::updateLeaving(std::string_view id) -> void
{
    if (auto target = find(id))
        target->leavingUntil = m_leaving.leavingUntil(id, target->registration.incarnation);
}

auto load_balancer::recordFull(target_state& target, time_point now) -> void
{
    target.fullUntil = now + fullBackoff;
    target.others.recordDecline(target.registration.slots, now);
}

auto load_balancer::recordPause(target_state& target, duration length, time_point now) -> bool
{
    auto until = now + std::min(length, maxPause);
    auto isNew = now >= target.pausedUntil;
    target.pausedUntil = std::max(target.pausedUntil, until);
    return isNew;
}

auto load_balancer::pausedUntil(std::string_view service, time_point now) -> time_point
{
    auto earliest = never;
    for (auto& target : serviceOf(service).targets) {
        if (target->acceptsRequests(now))
            return {};
        if (!target->isLeaving(now))
            earliest = std::min(earliest, target->pausedUntil);
    }
    return earliest == never ? time_point {} : earliest;
}

} // namespace gypsumhub
