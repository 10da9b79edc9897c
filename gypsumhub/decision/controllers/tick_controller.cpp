#include "gypsumhub/decision/controllers/tick_controller.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto rateInterval = seconds(1);
    /// Share of the latest second in the smoothed rate.
    constexpr auto rateShare = 0.2F;
    /// Change of the overdue limit that request threads are told of, as a divisor.
    constexpr auto overdueChange = 5;

    auto isTargetUnsettled(const target_record& target, time_point now) -> bool
    {
        return (target.state != health_state::Healthy && target.state != health_state::Leaving) || !target.peerEvidence.empty()
            || target.scores.errorScore > 0 || target.graceUntil > now || target.weight != 1000 || target.recentEjections > 0
            || isDeparting(target, now) != (target.state == health_state::Leaving);
    }

} // namespace

tick_controller::tick_controller(blackboard& board)
    : m_board(board)
{
}

auto tick_controller::onTick() -> void
{
    auto ratesDue = m_board.now >= m_nextRates;
    if (ratesDue)
        m_nextRates = m_board.now + rateInterval;
    for (auto& service : m_board.services) {
        if (!service.servedHere)
            continue;
        if (ratesDue)
            updateRates(service);
        if (isUnsettled(service))
            m_board.markChanged(service);
    }
}

auto tick_controller::isUnsettled(const service_record& service) const -> bool
{
    return service.troubled || std::ranges::any_of(service.targets, [&](auto& target) { return isTargetUnsettled(target, m_board.now); });
}

auto tick_controller::updateRates(service_record& service) -> void
{
    service.exchangesPerSecond += rateShare * (static_cast<float>(service.recentExchanges) - service.exchangesPerSecond);
    service.recentExchanges = 0;
    // Small changes are not worth a new snapshot.
    auto limit = service.latencies.overdueAfter();
    auto change = limit > service.overdueAfter ? limit - service.overdueAfter : service.overdueAfter - limit;
    if (change < service.overdueAfter / overdueChange)
        return;
    service.overdueAfter = limit;
    service.unpublished = true;
    m_board.unpublished = true;
}

} // namespace gypsumhub
