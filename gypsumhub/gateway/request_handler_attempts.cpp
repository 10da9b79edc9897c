#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/outbound_head.h"
#include "gypsumhub/gateway/request_handler.h"
#include "gypsumhub/platform/wire_names.h"

#include <algorithm>
#include <utility>

// The attempts of a request at targets, and what their ends mean for the request and for the target.

namespace gypsumhub {

namespace {

    // The target's deadline is earlier, so that an answer sent at that deadline arrives before the node's own.
    constexpr auto deadlineMargin = milliseconds(8);

} // namespace

auto request_handler::openConnection(target_state& target) -> task<std::shared_ptr<target_http_connection>>
{
    auto now = bootClockNow();
    if (auto connection = m_context.connections.acquire(target.registration.id, m_id, m_route->isRetryable, now))
        co_return connection;
    auto connection = std::make_shared<target_http_connection>(m_context.io, m_context.buffers);
    m_connection = connection;
    ++m_context.counters.newConnections;
    auto isOpen = co_await connection->connect(target.registration.address, std::min(targetDeadline(), now + connectTimeout));
    m_connection.reset();
    if (!m_callerLeft && bootClockNow() < targetDeadline())
        m_context.recordConnect(target.registration.service, target.registration.id, isOpen, now);
    if (isOpen)
        co_return connection;
    ++m_context.counters.connectFailures;
    if (!m_callerLeft)
        m_context.recordOutcome(target, outcome_kind::Failure, now, true);
    co_return nullptr;
}

auto request_handler::attempt(std::shared_ptr<target_state> used, time_point sendBefore) -> task<attempt_end>
{
    auto& target = *used;
    auto connection = co_await openConnection(target);
    if (!connection) {
        ++m_connectFailures;
        m_reason = "target_unreachable";
        co_return attempt_end::NotSent;
    }
    auto now = bootClockNow();
    // While the connection was opened, the target may have started draining, the permit may have ended, or the caller may have left.
    auto isTooLate = now + minTimeLeft >= targetDeadline() || now >= sendBefore || !m_context.shutdown.accepts(now, m_deadline);
    if (!target.acceptsRequests(now) || m_callerLeft || isTooLate || m_context.poisonRequests.quarantinedUntil(m_identity, now)) {
        m_context.connections.release(target.registration.id, connection);
        co_return attempt_end::NotSent;
    }
    auto head = outbound_head(m_request).setTarget(target.registration.id).setCustomer(m_caller).setTimeLeft(targetDeadline() - now - deadlineMargin).build();
    auto request = outbound_request { std::move(head), body(), m_id, m_request.method() == http::verb::head };
    ++m_sent;
    m_connection = connection;
    m_attemptSentAt = now;
    auto stallsAt = m_cost ? now + m_context.balancer.stallThreshold(target, *m_cost, now) : time_point {};
    auto active = m_context.attempts.insert(m_context.attempts.end(), { used, now, false, connection, [this, &target] { handleStall(target); }, stallsAt });
    auto result = co_await connection->exchange(request, targetDeadline());
    auto hadStalled = active->isStalled;
    m_context.attempts.erase(active);
    m_connection.reset();
    m_context.counters.responseTime.record(bootClockNow() - now);
    // An invalid status still shows that the path to the target is sound.
    if (result.end == exchange_end::Answered || result.end == exchange_end::InvalidStatus)
        m_context.pathsTo(target.registration.service).recordAnswer(bootClockNow());
    if (result.end == exchange_end::Answered) {
        m_context.onAnswerHead(target.registration, result.answer.base(), now);
    }
    if (!target.isClosed && bootClockNow() >= target.leavingUntil)
        m_context.connections.release(target.registration.id, connection);
    // An answer after a stall is recorded with the current time, so that it counteracts the evidence of the stall.
    co_return classify(used, result, hadStalled && result.end == exchange_end::Answered ? bootClockNow() : now);
}

auto request_handler::classify(const std::shared_ptr<target_state>& target, exchange_result& result, time_point sentAt) -> attempt_end
{
    m_last = {};
    if (result.end == exchange_end::Answered)
        return classifyAnswer(*target, result, sentAt);
    m_mayHaveRun = true;
    if (result.end == exchange_end::InvalidStatus) {
        ++m_context.counters.invalidStatuses;
        m_last.end = result.end;
        m_context.recordOutcome(*target, outcome_kind::Failure, sentAt, false);
        return attempt_end::Failed;
    }
    m_last.end = result.end;
    recordLost(target, result, sentAt);
    return attempt_end::Failed;
}

auto request_handler::recordLost(const std::shared_ptr<target_state>& target, const exchange_result& result, time_point sentAt) -> void
{
    // A target that is silent may be cut off instead of having crashed.
    if (result.end == exchange_end::Lost)
        m_context.onRequestLost(target, m_identity);
    if (m_callerLeft || result.end == exchange_end::Abandoned)
        return;
    m_context.pathsTo(target->registration.service).recordNoAnswer(target->registration.id, sentAt, bootClockNow());
    target->pathFailedAt = bootClockNow();
    auto kind = result.end == exchange_end::TimedOut ? outcome_kind::Stall : outcome_kind::Failure;
    m_context.recordOutcome(*target, kind, sentAt, result.end == exchange_end::TimedOut);
}

auto request_handler::classifyAnswer(target_state& target, exchange_result& result, time_point sentAt) -> attempt_end
{
    auto now = bootClockNow();
    auto& answer = result.answer;
    auto status = answer.result_int();
    if (status == 421) {
        // Misdirected request (421): another VM has the address now, and its registration has not arrived here yet.
        target.isClosed = true;
        m_context.connections.removeTarget(target.registration.id);
    }
    if (status == 421 || answer.find(wire_names::notExecuted) != answer.end()) {
        ++m_context.counters.declinedByTarget;
        m_reason = "target_declined";
        if (status != 421)
            m_context.recordDecline(target, answer, now);
        return attempt_end::NotRun;
    }
    m_mayHaveRun = true;
    m_last = std::move(result);
    auto isSuccess = status / 100 == 2;
    // A success without the target's signature does not come from the target.
    auto isUnsigned = isSuccess && m_last.answer.find(wire_names::signature) == m_last.answer.end();
    if (isUnsigned)
        m_last = {};
    if (status == 504) {
        m_context.recordOutcome(target, outcome_kind::Stall, sentAt, true);
        return attempt_end::Failed;
    }
    if (status >= 500 || isUnsigned) {
        m_context.recordOutcome(target, outcome_kind::Failure, sentAt, false);
        return attempt_end::Failed;
    }
    m_context.recordOutcome(target, outcome_kind::Success, sentAt, false);
    recordResponseTime(target, sentAt, isSuccess);
    if (m_last.answer.find(wire_names::signature) != m_last.answer.end())
        m_context.onRequestSucceeded(m_identity);
    return attempt_end::Final;
}

auto request_handler::handleStall(const target_state& stalled) -> void
{
    // Another target must be able to run the request in time. The closed connection signals the cancellation to the stalled target.
    auto expectedTime = placement_request::expectedTime(expectedResponseTime());
    auto canRetry = m_route->isRetryable && m_sent < maxAttempts() && bootClockNow() + expectedTime < m_deadline && !m_context.shutdown.hasBegun()
        && !m_context.poisonRequests.isSuspect(m_identity, bootClockNow()) && hasOtherTarget(stalled);
    if (!canRetry || !m_connection || !acquireRetry())
        return;
    m_hasRetry = true;
    m_context.counters.earlyResends += m_context.balancer.hasFewSlots(m_dispatcher->service()) ? 1 : 0;
    m_connection->abandon();
}

} // namespace gypsumhub
