#include "gypsumhub/gateway/leaving_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/stated_leaving.h"

namespace gypsumhub {

leaving_watcher::leaving_watcher(gateway_context& context, sender send)
    : m_context(context)
    , m_send(std::move(send))
{
}

auto leaving_watcher::handleAnswer(const target_registration& target, const http::response_header<>& head) -> void
{
    // Misdirected request: the answer comes from another target at the same address.
    if (head.result() == http::status::misdirected_request || !statesLeaving(head))
        return;
    auto stated = leaving_target { target.id, target.incarnation };
    if (!m_context.balancer.recordLeavingAnswer(stated, bootClockNow()))
        return;
    apply(stated, m_context.settings.name);
    m_send({ m_context.settings.name, std::vector { stated } });
}

auto leaving_watcher::handleReport(std::span<const leaving_target> reported, std::string_view sender) -> void
{
    for (auto& stated : reported) {
        if (m_context.balancer.recordLeavingReport(stated, bootClockNow()))
            apply(stated, sender);
    }
}

auto leaving_watcher::apply(const leaving_target& stated, std::string_view statedTo) -> void
{
    ++m_context.counters.leavingStatements;
    m_context.connections.removeTarget(stated.target);
    m_context.log.write(log_class::Notable, "target_leaving", { { "target", stated.target }, { "incarnation", stated.incarnation }, { "stated_to", statedTo } });
}

} // namespace gypsumhub
