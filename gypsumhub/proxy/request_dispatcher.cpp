#include "gypsumhub/proxy/request_dispatcher.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/decision/request/idempotency_rules.h"
#include "gypsumhub/proxy/claim_wait.h"
#include "gypsumhub/proxy/message_fields.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gypsumhub {

namespace {

    // A used connection without any byte of an answer is given up after this many overdue times.
    constexpr auto silentFactor = 2;

    auto digestOf(const inbound_message& message) -> uint64_t
    {
        auto method = hashName(message.method_string());
        auto target = hashName(message.target());
        return mixHashes(mixHashes(method, target), hashName(message.body()));
    }

    auto isIdempotent(const service_view& service, const inbound_message& message) -> bool
    {
        return !isNonIdempotent(service.spec->rules, message.method_string(), message.target());
    }

} // namespace

request_dispatcher::request_dispatcher(thread_resources& thread, const caller_request& request, const service_view& service,
    answer_sink& sink, request_cancellation& cancellation)
    : m_thread(thread)
    , m_context(thread.context)
    , m_request(request)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_service(service.spec->key)
    , m_queue(thread.queueOf(m_service))
    , m_state({ isIdempotent(service, request.message), request.deadline })
    , m_head(makeOutboundHead(request, false))
{
    m_queue.totals().retries.recordFirstAttempt(service.spec->rules.retryBudgetPercent);
}

auto request_dispatcher::run() -> task<caller_answer>
{
    if (!m_state.idempotent() && !m_request.idempotencyKey.empty()) {
        auto settled = co_await claim();
        if (settled)
            co_return std::move(*settled);
    }
    auto answer = co_await attemptUntilDone();
    releaseSlot();
    finishClaim(answer);
    co_return answer;
}

auto request_dispatcher::claim() -> task<std::optional<caller_answer>>
{
    auto query = claim_query { m_service, m_request.idempotencyKey, digestOf(m_request.message), m_request.attempt, m_request.deadline };
    auto verdict = co_await awaitClaim(m_context.claims, m_thread.ioContext, query, m_context.now(), m_cancellation);
    if (verdict.decision == claim_decision::Replay)
        co_return makeReplayedAnswer(*verdict.answer, m_request.id);
    if (verdict.decision == claim_decision::Refuse)
        co_return makeRefusal(verdict.code, m_request.id);
    m_claim = std::move(query);
    co_return std::nullopt;
}

auto request_dispatcher::finishClaim(const caller_answer& answer) -> void
{
    if (!m_claim)
        return;
    if (m_state.provedNotRun())
        return m_context.claims.finish(*m_claim, claim_end::NotRun, nullptr);
    // An answer that went out in parts is not held here, so a resend can only be told that the outcome is unknown.
    if (answer.code == result_code::Ok && m_answerToKeep)
        return m_context.claims.finish(*m_claim, claim_end::Answered, m_answerToKeep);
    m_context.claims.finish(*m_claim, claim_end::Unknown, nullptr);
}

auto request_dispatcher::attemptUntilDone() -> task<caller_answer>
{
    auto onNewConnection = false;
    while (true) {
        if (!onNewConnection) {
            auto query = slot_query { m_tried, m_state.idempotent(), m_request.deadline };
            auto waiting = m_request.span.startChild("queue");
            m_grant = co_await m_queue.acquire(query, m_cancellation);
            m_slotSince = steadyClockNow();
            if (m_grant.code != result_code::Ok)
                co_return refusal(m_state.refuse(m_grant.code));
        }
        auto end = co_await attemptOnce(onNewConnection);
        switch (end.next.step) {
        case request_step::Answer:
            co_return answerFor(std::move(end));
        case request_step::RetryOnOtherTarget:
            m_tried.push_back(m_grant.target->key);
            releaseSlot();
            if (end.result == attempt_result::ErrorAnswer)
                m_keptError = std::move(end.answer);
            onNewConnection = false;
            break;
        case request_step::RetryOnNewConnection:
            onNewConnection = true;
            break;
        default:
            // An answer that had begun to go out ends visibly.
            auto refused = refusal(end.next);
            refused.passedOn = end.answer.passedOn;
            refused.cut = end.answer.passedOn;
            co_return refused;
        }
        increment(m_context.counters.retries);
    }
}

auto request_dispatcher::attemptOnce(bool onNewConnection) -> task<attempt_end>
{
    auto end = attempt_end {};
    auto attempt = m_state.startAttempt();
    if (!attempt) {
        end.next = m_state.refuse(result_code::NoTargetAvailable);
        co_return end;
    }
    auto span = m_request.span.startChild("attempt");
    span.tag("target", formatAddress(m_grant.target->address));
    setTraceparent(m_head, span, m_request);
    auto startedAt = m_context.now();
    auto wanted = connectionQuery(onNewConnection);
    auto opened = co_await openConnection(m_thread, wanted, m_cancellation);
    if (!opened.connection) {
        auto isOver = m_cancellation.cancelled() || m_context.now() >= m_request.deadline;
        end.result = isOver ? attempt_result::Cancelled : attempt_result::ConnectFailed;
        if (opened.failed)
            report(attempt_result::ConnectFailed, false, startedAt);
        span.tag("result", toString(end.result));
        end.next = endAttempt(*attempt, end.result, false);
        co_return end;
    }

    auto& connection = *opened.connection;
    auto outcome = co_await exchangeOn(connection, *attempt);
    auto reused = connection.isReused();
    auto silentConnection = connection.abortReason() == abort_reason::SilentConnection;
    if (outcome.reusable)
        m_thread.pool.giveBack(wanted.key, std::move(opened.connection));
    else
        m_thread.pool.discard(wanted.key, opened.connection);
    end.result = outcome.result;
    span.tag("result", toString(end.result));
    end.answer = std::move(outcome.answer);
    // A used connection that fell silent is judged like one that was lost: on a new connection to the same target.
    end.next = endAttempt(*attempt, silentConnection ? attempt_result::ConnectionLost : end.result, reused);
    co_return end;
}

auto request_dispatcher::exchangeOn(target_connection& connection, uint32_t attempt) -> task<exchange_outcome>
{
    auto startedAt = m_context.now();
    connection.beginExchange(limitsFor(connection), [this, &connection, startedAt] {
        report(attempt_result::Overdue, connection.isReused(), startedAt);
    });
    auto exchange = target_exchange(m_context, connection, m_sink, m_cancellation);
    auto outbound = target_exchange::outbound { m_head, m_request.message.body(), m_request.id };
    auto outcome = co_await exchange.run(outbound, m_state, attempt);
    connection.endExchange();
    report(outcome.result, connection.isReused(), startedAt);
    co_return outcome;
}

auto request_dispatcher::limitsFor(const target_connection& connection) const -> exchange_limits
{
    auto now = steadyClockNow();
    auto overdueAfter = m_grant.service->overdueAfter;
    auto limits = exchange_limits {};
    limits.overdueAt = now + overdueAfter;
    limits.deadline = toSteadyClock(m_request.deadline, m_context.now());
    if (m_state.idempotent() && connection.willBeReused())
        limits.silentAt = now + overdueAfter * silentFactor;
    return limits;
}

auto request_dispatcher::connectionQuery(bool onNewConnection) const -> connection_query
{
    auto& target = *m_grant.target;
    auto share = connectionShare(m_context.settings, m_grant.service->group.size());
    return { target.key.value, target.address, share, !m_state.idempotent(), onNewConnection, m_request.deadline };
}

auto request_dispatcher::report(attempt_result result, bool reused, time_point startedAt) -> void
{
    m_context.counters.countAttempt(result);
    auto report = attempt_report { m_service, m_grant.target->key, result, startedAt, m_context.now(), reused, false };
    m_context.attempts.onAttempt(report);
}

auto request_dispatcher::endAttempt(uint32_t attempt, attempt_result result, bool reused) -> next_step
{
    return m_state.endAttempt(attempt, result, reused, m_context.now(), m_queue.totals().retries);
}

auto request_dispatcher::releaseSlot() -> void
{
    if (auto target = std::exchange(m_grant.target, std::nullopt))
        m_queue.release(std::move(target->lease), m_slotSince);
}

auto request_dispatcher::answerFor(attempt_end&& end) -> caller_answer
{
    if (m_claim && !end.answer.passedOn)
        m_answerToKeep = keepAnswer(end.answer);
    return makeTargetAnswer(std::move(end.answer), m_request.message.method(), m_request.id);
}

auto request_dispatcher::refusal(next_step next) -> caller_answer
{
    if (next.step == request_step::AnswerKept)
        return makeTargetAnswer(std::move(m_keptError), m_request.message.method(), m_request.id);
    assert(next.step == request_step::Refuse);
    return makeRefusal(next.code, m_request.id);
}

} // namespace gypsumhub
