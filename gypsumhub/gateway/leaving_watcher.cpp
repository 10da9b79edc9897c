#include "gypsumhub/gateway/leaving_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/stated_leaving.h"

namespace gypsumhub {

namespace {

    // A report is sent once more after each interval. A starting node knows the others by then.
    constexpr auto repeatInterval = milliseconds(1000);
    constexpr auto repeatCount = 4U;
    // Bounds what a node sends when very many targets leave at once.
    constexpr auto maxRepeated = size_t { 64 };

} // namespace

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
    if (m_repeated.size() < maxRepeated)
        m_repeated.push_back({ stated, bootClockNow() + repeatInterval, repeatCount });
}

auto leaving_watcher::tick(time_point now) -> void
{
    for (auto& report : m_repeated) {
        if (now < report.nextAt)
            continue;
        m_send({ m_context.settings.name, std::vector { report.stated } });
        report.nextAt = now + repeatInterval;
        --report.remaining;
    }
    std::erase_if(m_repeated, [](auto& report) { return report.remaining == 0; });
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
