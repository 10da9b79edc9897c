#include "gypsumhub/gateway/limit_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/platform/stated_rate.h"

namespace gypsumhub {

namespace {

    constexpr auto malformedLogInterval = seconds(10);

} // namespace

limit_watcher::limit_watcher(gateway_context& context)
    : m_context(context)
{
}

auto limit_watcher::handleAnswer(const target_registration& target, const http::fields& head, bool isSigned) -> void
{
    auto now = bootClockNow();
    auto stated = readStatedRate(head);
    if (stated.state == stated_rate::field_state::Malformed) {
        ++m_context.counters.malformedLimits;
        if (m_malformedLoggedAt == time_point {} || now >= m_malformedLoggedAt + malformedLogInterval) {
            m_malformedLoggedAt = now;
            m_context.log.write(log_class::Notable, "target_limit_malformed", { { "target", target.id }, { "service", target.service } });
        }
        return;
    }
    auto isValid = stated.state == stated_rate::field_state::Valid;
    if (!isValid && !isSigned)
        return;
    auto limit = target_limit { target.id, target.incarnation, isValid ? std::optional(stated.requestsPerSecond) : std::nullopt, now };
    if (m_context.limits.record(limit))
        logChange(limit, m_context.settings.name);
}

auto limit_watcher::logChange(const target_limit& limit, std::string_view statedTo) -> void
{
    auto fields = boost::json::object { { "target", limit.target }, { "stated_to", statedTo } };
    if (limit.requestsPerSecond)
        fields["requests_per_second"] = *limit.requestsPerSecond;
    m_context.log.write(log_class::Notable, limit.requestsPerSecond ? "target_limit_stated" : "target_limit_ended", std::move(fields));
}

} // namespace gypsumhub
