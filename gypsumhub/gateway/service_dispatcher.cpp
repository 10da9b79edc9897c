#include "gypsumhub/gateway/service_dispatcher.h"

#include "gypsumhub/core/clock.h"

namespace gypsumhub {

/// A waiting request. Its timer never expires; `finish` cancels it to resume the waiting coroutine.
struct placement_wait {
    placement_wait(io_executor executor, placement_request given)
        : timer(executor)
        , request(std::move(given))
    {
    }

    steady_timer timer;
    placement_request request;
    uint64_t ticket { 0 };
    placement result;
    bool isFinished { false };
};

service_dispatcher::service_dispatcher(asio::io_context& context, std::string service, load_balancer& balancer, fleet_retry_budget::settings retryBudget, std::function<void()> requestPermits)
    : m_context(context)
    , m_service(std::move(service))
    , m_balancer(balancer)
    , m_retryBudget(retryBudget)
    , m_requestPermits(std::move(requestPermits))
{
}

auto service_dispatcher::tryPlace(const placement_request& request, time_point now) -> std::optional<placement>
{
    auto chosen = m_balancer.choose({ m_service, request.isRetryable, request.tried, request.cost ? &*request.cost : nullptr }, now);
    if (chosen.needsPermit) {
        m_balancer.permits().recordDemand(chosen.needsPermit->registration.id, m_queue.size());
        m_requestPermits();
    }
    if (chosen.usable == 0)
        return placement { placement_end::NoTarget };
    if (!chosen.target || (chosen.shouldWait && now < request.acceptAnyAt))
        return std::nullopt;
    auto idleTime = chosen.target->lastChosenAt == time_point {} ? duration {} : now - chosen.target->lastChosenAt;
    auto sendBefore = m_balancer.recordSent(*chosen.target, now);
    ++m_inFlight;
    return placement { placement_end::Placed, chosen.target, chosen.probabilityBad, {}, sendBefore, idleTime };
}

auto service_dispatcher::place(placement_request request, std::shared_ptr<placement_wait>& handle) -> task<placement>
{
    auto now = bootClockNow();
    m_admission.recordArrival(request.priority, now);
    if (m_queue.isEmpty()) {
        if (auto placed = tryPlace(request, now)) {
            if (placed->end == placement_end::Placed)
                m_admission.recordPlaced(request.priority, now);
            co_return *placed;
        }
    }
    auto waiting = waiting_request { ++m_lastTicket, request.priority, request.arrivedAt, request.expiresAt, request.onTimeUntil };
    auto chosen = m_balancer.choose({ m_service, request.isRetryable, request.tried, request.cost ? &*request.cost : nullptr }, now);
    auto estimate = admit(waiting, { m_inFlight, chosen.usable, m_balancer.model(m_service).meanResponseTime(), chosen.outlook }, now);
    if (!estimate.isAdmitted)
        co_return placement { chosen.usable == 0 ? placement_end::NoTarget : placement_end::NoCapacity, nullptr, 0, estimate.predictedWait };
    auto wait = std::make_shared<placement_wait>(m_context.get_executor(), std::move(request));
    wait->ticket = waiting.ticket;
    handle = wait;
    m_queue.add(waiting);
    m_admission.updateWaiting(now);
    m_waits.emplace(waiting.ticket, wait);
    wait->timer.expires_at(std::chrono::steady_clock::time_point::max());
    while (!wait->isFinished)
        co_await wait->timer.async_wait(useTask);
    handle.reset();
    wait->result.predictedWait = estimate.predictedWait;
    wait->result.waitedLate = waiting.isLate || bootClockNow() > waiting.onTimeUntil;
    co_return wait->result;
}

auto service_dispatcher::admit(waiting_request& waiting, const service_capacity& capacity, time_point now) -> placement_estimate
{
    auto isServedLate = waiting.onTimeUntil != never;
    auto estimate = isServedLate ? m_admission.evaluate(waiting, capacity, now) : m_queue.evaluate(waiting, capacity);
    waiting.isLate = estimate.isLate;
    return estimate;
}

auto service_dispatcher::finish(uint64_t ticket, placement result) -> void
{
    m_queue.remove(ticket);
    auto found = m_waits.find(ticket);
    if (found == m_waits.end())
        return;
    found->second->result = std::move(result);
    found->second->isFinished = true;
    found->second->timer.cancel();
    m_waits.erase(found);
}

auto service_dispatcher::cancelWait(placement_wait& wait) -> void
{
    if (!wait.isFinished)
        finish(wait.ticket, { placement_end::CallerLeft });
}

auto service_dispatcher::endWaits() -> void
{
    while (auto first = m_queue.first())
        finish(first->ticket, { placement_end::PathsLost });
}

auto service_dispatcher::release(target_state& target) -> void
{
    m_balancer.recordCompleted(target);
    --m_inFlight;
    dispatchWaiting();
}

auto service_dispatcher::dispatchWaiting() -> void
{
    auto now = bootClockNow();
    for (auto& expired : m_queue.removeExpired(now))
        finish(expired.ticket, { placement_end::NoCapacity });
    auto servesLate = m_balancer.hasFewSlots(m_service);
    while (auto first = servesLate ? m_admission.next(now) : m_queue.first()) {
        auto wait = m_waits.at(first->ticket);
        auto placed = tryPlace(wait->request, now);
        if (!placed)
            break;
        auto isPlaced = placed->end == placement_end::Placed;
        finish(first->ticket, std::move(*placed));
        if (isPlaced)
            m_admission.recordPlaced(first->priority, now);
    }
    // After the placements: the forecast is lowest at a completion, whose slot a waiting request may use now.
    if (servesLate)
        refuseHopeless(now);
    m_admission.updateWaiting(now);
}

auto service_dispatcher::refuseHopeless(time_point now) -> void
{
    for (auto& hopeless : m_admission.removeHopeless(capacity(), now))
        finish(hopeless.ticket, { placement_end::NoCapacity });
}

auto service_dispatcher::retryAfter(duration timeLeft) -> duration
{
    return m_admission.retryAfter(capacity(), timeLeft, bootClockNow());
}

} // namespace gypsumhub
