#include "gypsumhub/gateway/confirmation_watcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/gateway/failure_guard.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // How often the expiry is looked at while no step is due.
    constexpr auto checkInterval = milliseconds(250);
    // An older confirmation is of no use to another node. Also keeps the age within the range of its field.
    constexpr auto maxStatedAge = minutes(60);

    auto timingFor(const customer_settings& settings) -> confirmation_timing
    {
        auto limit = settings.revocationLimit > duration {} ? settings.revocationLimit : confirmation_timing::referenceLimit;
        // The limits of customers need recent confirmations as well, whatever the revocation limit is (`allowance_choice::mayLease`).
        if (settings.limitWindow > duration {})
            limit = std::min(limit, confirmation_timing::referenceLimit);
        return confirmation_timing::forLimit(limit);
    }

} // namespace

confirmation_watcher::confirmation_watcher(gateway_context& context, actions given)
    : m_context(context)
    , m_actions(std::move(given))
    , m_inquiry(context.random(), timingFor(context.settings.customers))
    , m_timer(context.io.get_executor())
{
}

auto confirmation_watcher::start() -> void
{
    spawnLoop(m_context, "confirmation", [this] { return run(); });
}

auto confirmation_watcher::run() -> task<>
{
    for (;;) {
        auto until = bootClockNow() + checkInterval;
        if (m_context.needsConfirmation()) {
            takeStep();
            until = std::min(until, m_inquiry.dueAt());
        }
        co_await sleepUntil(m_timer, until);
    }
}

auto confirmation_watcher::takeStep() -> void
{
    auto now = bootClockNow();
    logChange(now);
    auto sources = m_context.memberView.confirmationSources(now);
    auto own = confirmation_inquiry::situation { m_context.confirmationAge(now), m_actions.isWatching(), m_context.memberView.hasRemoteUpstream(now) };
    auto step = m_inquiry.next(own, sources, now);
    if (step.kind == confirmation_inquiry::step_kind::AskNode) {
        ++m_context.counters.confirmationRequests;
        sendTo(step.node, { m_context.settings.name, configuration_age_request { step.ticket } });
    } else if (step.kind == confirmation_inquiry::step_kind::AskStore) {
        ++m_context.counters.confirmationStoreReads;
        m_actions.readStore();
    }
}

auto confirmation_watcher::sendTo(std::string_view node, const node_datagram& datagram) -> void
{
    if (auto* receiver = m_context.memberView.find(node))
        m_actions.send(datagram, std::span(receiver, 1));
}

auto confirmation_watcher::handles(const node_datagram& datagram) -> bool
{
    return std::holds_alternative<configuration_age_request>(datagram.content) || std::holds_alternative<configuration_age>(datagram.content);
}

auto confirmation_watcher::handleDatagram(const node_datagram& datagram) -> void
{
    if (auto* request = std::get_if<configuration_age_request>(&datagram.content))
        handleRequest(*request, datagram.sender);
    else if (auto* answer = std::get_if<configuration_age>(&datagram.content))
        handleAnswer(*answer);
}

auto confirmation_watcher::handleRequest(const configuration_age_request& request, std::string_view asker) -> void
{
    // The asker may hold a version with customers that this node does not hold yet, or the other way round.
    auto age = m_context.confirmationAge(bootClockNow());
    if (age > maxStatedAge)
        return;
    ++m_context.counters.confirmationsGiven;
    sendTo(asker, { m_context.settings.name, configuration_age { request.ticket, m_context.freshness.version(), age } });
}

auto confirmation_watcher::handleAnswer(const configuration_age& answer) -> void
{
    auto sentAt = m_inquiry.sentAt(answer.ticket);
    if (!sentAt)
        return;
    // Counted from the sending of the question, however long it or the answer took.
    m_context.freshness.recordClaim(answer.version, *sentAt - answer.age);
    auto now = bootClockNow();
    m_inquiry.recordAnswer(answer.ticket, m_context.confirmationAge(now), now);
    logChange(now);
    m_timer.cancel();
}

auto confirmation_watcher::hasten() -> bool
{
    auto now = bootClockNow();
    m_inquiry.hasten(now);
    if (m_inquiry.dueAt() <= now)
        m_timer.cancel();
    return m_inquiry.isUnderWay(now);
}

auto confirmation_watcher::logChange(time_point now) -> void
{
    auto limit = m_context.settings.customers.revocationLimit;
    auto isExpired = !m_context.freshness.accepts(now, limit);
    if (limit <= duration {} || isExpired == m_isExpired)
        return;
    m_isExpired = isExpired;
    auto age = m_context.confirmationAge(now);
    auto fields = boost::json::object { { "version", m_context.freshness.version() }, { "limit_ms", limit.milliseconds() } };
    if (age != unconfirmedAge)
        fields["age_ms"] = age.milliseconds();
    m_context.log.write(log_class::Notable, isExpired ? "confirmation_expired" : "confirmation_regained", std::move(fields));
}

} // namespace gypsumhub
