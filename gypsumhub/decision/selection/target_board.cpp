#include "gypsumhub/decision/selection/target_board.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gypsumhub {

namespace {

    // A target that declined for want of room frees a slot within about this time.
    constexpr auto fullPause = milliseconds(100);
    // A target changes episode only when the belief is this sure.
    constexpr auto sureBad = 0.9;
    constexpr auto sureGood = 0.1;
    // Weight of one new work time in a target's slowness.
    constexpr auto slownessWeight = 0.2;
    constexpr auto mostSlowness = 10.0;
    // Before every other choice.
    constexpr auto firstTrial = -10.0;
    // Time for a target that has joined to be known to all nodes.
    constexpr auto trialDelay = milliseconds(1000);
    // Fewer targets of a service must not carry all of it: when all nodes end at once, what they had in flight fails.
    constexpr auto leastServingShare = 0.7;
    // While a service fails, or few of its targets serve, each of its targets that may be good serves at least this often.
    constexpr auto turnInterval = milliseconds(1000);
    constexpr auto turnLimit = 0.75;
    // A service fails when this share of its requests of the last second or so did.
    constexpr auto failingShare = 0.08;
    constexpr auto leastOutcomes = 5.0;
    constexpr auto outcomeMemory = seconds(1);
    // Between equals, so that not all nodes take the same one.
    constexpr auto tieBreak = 0.005;

    auto isTurnOf(const target_state& target, double bad, bool isTurnDue, time_point now) -> bool
    {
        if (bad >= turnLimit)
            return false;
        return target.lastChosenAt == time_point {} || (isTurnDue && now >= target.lastChosenAt + turnInterval);
    }

    auto isFull(const target_state& target, time_point now) -> bool
    {
        return target.inFlight >= target.registration.slots || now < target.fullUntil;
    }

} // namespace

target_board::target_board(std::string dataCentre, region_lookup regionOf, selection_settings settings, uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_region(regionOf(m_dataCentre))
    , m_regionOf(std::move(regionOf))
    , m_settings(settings)
    , m_random(seed)
{
}

auto target_board::serviceOf(std::string_view name) -> service_targets&
{
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(std::string(name), service_targets {}).first;
    return found->second;
}

auto target_board::model(std::string_view service) -> service_model&
{
    return serviceOf(service).model;
}

auto target_board::find(std::string_view id) const -> std::shared_ptr<target_state>
{
    auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

auto target_board::put(const target_registration& registration, time_point now, bool joins) -> void
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
    auto added = std::make_shared<target_state>(target_state { registration, target_belief(now, service.model.rates()) });
    added->episodeBegan = now;
    if (joins && registration.dataCentre == m_dataCentre)
        added->trialDueAt = now + trialDelay;
    service.targets.push_back(added);
    m_targets.emplace(registration.id, std::move(added));
}

auto target_board::remove(std::string_view id) -> void
{
    auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    // Requests still at the target keep its state alive, and nothing new goes there.
    found->second->isClosed = true;
    std::erase(serviceOf(found->second->registration.service).targets, found->second);
    m_targets.erase(found);
}

auto target_board::distanceLoss(const target_state& target) const -> double
{
    if (target.registration.dataCentre == m_dataCentre)
        return 0;
    return m_regionOf(target.registration.dataCentre) == m_region ? m_settings.otherDataCentre : m_settings.otherRegion;
}

auto target_board::expectedLoss(const target_state& target, double bad, bool isRetryable, time_point now) const -> double
{
    // A full target is weighed as it will be when one of its slots is free.
    auto taken = std::min(target.inFlight + 1, target.registration.slots);
    auto load = static_cast<double>(taken) / static_cast<double>(target.registration.slots);
    auto loss = bad * (isRetryable ? m_settings.retryableLoss : 1.0);
    loss += m_settings.fullLoad * load * load;
    loss += distanceLoss(target);
    if (now < target.registration.warmedUpAt)
        loss += m_settings.warmingUp;
    loss += m_settings.twiceAsSlow * std::max(target.slowness - 1, 0.0);
    return loss;
}

auto target_board::servesTooFew(const service_targets& service, time_point now) const -> bool
{
    auto usable = 0U, serving = 0U;
    for (auto& target : service.targets) {
        if (target->registration.isDraining || target->isClosed || target->registration.dataCentre != m_dataCentre)
            continue;
        ++usable;
        serving += now < target->lastChosenAt + turnInterval || target->inFlight > 0 ? 1 : 0;
    }
    return static_cast<double>(serving) < leastServingShare * usable;
}

auto target_board::choose(const selection_request& request, time_point now) -> selection
{
    constexpr auto none = std::numeric_limits<double>::infinity();
    auto& service = serviceOf(request.service);
    auto chosen = selection {};
    auto isFailing = service.outcomes > leastOutcomes && service.failures > failingShare * service.outcomes;
    auto isTurnDue = isFailing || servesTooFew(service, now);
    auto leastFree = none, leastBusy = none;
    for (auto& target : service.targets) {
        if (target->registration.isDraining || target->isClosed || std::ranges::count(request.tried, target->registration.id) > 0)
            continue;
        ++chosen.usable;
        auto bad = target->belief.probabilityBad(now, service.model.rates());
        auto loss = expectedLoss(*target, bad, request.isRetryable, now);
        if (isFull(*target, now)) {
            leastBusy = std::min(leastBusy, loss);
            continue;
        }
        loss += m_random.unit() * tieBreak;
        if (now >= target->trialDueAt)
            loss = firstTrial;
        else if (target->registration.dataCentre == m_dataCentre && isTurnOf(*target, bad, isTurnDue, now))
            loss -= m_settings.turn;
        if (loss < leastFree) {
            leastFree = loss;
            chosen.target = target;
            chosen.probabilityBad = bad;
        }
    }
    chosen.shouldWait = !chosen.target || leastFree > leastBusy + m_settings.waitMargin;
    return chosen;
}

auto target_board::noteSent(target_state& target, time_point now) -> void
{
    ++target.inFlight;
    target.lastChosenAt = now;
    target.trialDueAt = never;
}

auto target_board::noteEnded(target_state& target) -> void
{
    if (target.inFlight > 0)
        --target.inFlight;
}

auto target_board::observe(target_state& target, outcome_kind kind, time_point sentAt, time_point now) -> belief_change
{
    auto& model = serviceOf(target.registration.service).model;
    target.trialDueAt = never;
    auto before = target.belief.probabilityBad(now, model.rates());
    model.noteOutcome(kind, before);
    target.belief.observe(kind, sentAt, now, model.rates());
    auto after = target.belief.probabilityBad(now, model.rates());
    if (!target.isTakenForBad && after > sureBad) {
        model.noteGoodEpisode(now - target.episodeBegan);
        target.isTakenForBad = true;
        target.episodeBegan = now;
    } else if (target.isTakenForBad && after < sureGood) {
        model.noteBadEpisode(now - target.episodeBegan);
        target.isTakenForBad = false;
        target.episodeBegan = now;
    }
    return { before, after };
}

auto target_board::noteEnd(std::string_view name, bool isServed, time_point now) -> void
{
    auto& service = serviceOf(name);
    auto kept = std::exp(-(now - service.outcomesAt).seconds() / outcomeMemory.seconds());
    service.outcomes = service.outcomes * kept + 1;
    service.failures = service.failures * kept + (isServed ? 0 : 1);
    service.outcomesAt = now;
}

auto target_board::noteWork(target_state& target, duration work) -> void
{
    auto& model = serviceOf(target.registration.service).model;
    auto ratio = std::min(work.seconds() / std::max(model.meanWork().seconds(), 1e-3), mostSlowness);
    target.slowness += slownessWeight * (ratio - target.slowness);
    model.noteWork(work);
}

auto target_board::noteFull(target_state& target, time_point now) -> void
{
    target.fullUntil = now + fullPause;
}

} // namespace gypsumhub
