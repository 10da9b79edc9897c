#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/request_handler.h"
#include "gypsumhub/gateway/request_target.h"

// The learned cost of a request.

namespace gypsumhub {

auto request_handler::costFeatures() const -> cost_features
{
    auto rest = pathOf(m_request.target());
    rest.remove_prefix(std::min(m_route->prefix.size(), rest.size()));
    return { m_dispatcher->service(), m_route->name, m_caller.customerName, rest.substr(0, rest.find('/')), m_request.body().size() };
}

auto request_handler::estimateCost() -> void
{
    m_cost.reset();
    if (m_context.balancer.hasFewSlots(m_dispatcher->service()))
        m_cost = request_cost { m_context.balancer.costs().estimate(costFeatures()), m_arrivedAt + m_route->latencyTarget, m_request.body().size() };
}

auto request_handler::expectedResponseTime() -> duration
{
    return m_cost ? m_cost->work.mean : m_context.balancer.model(m_dispatcher->service()).meanResponseTime();
}

auto request_handler::recordResponseTime(target_state& target, time_point sentAt, bool isComplete) -> void
{
    auto now = bootClockNow();
    if (!m_cost)
        m_context.balancer.recordResponseTime(target, now - sentAt);
    else if (isComplete)
        m_context.balancer.recordResponseTime(target, costFeatures(), m_cost->work, now - m_attemptSentAt, now);
}

} // namespace gypsumhub
