#include "gypsumhub/proxy/peer_hop.h"

#include "gypsumhub/decision/request/idempotency_rules.h"
#include "gypsumhub/proxy/connection_opener.h"
#include "gypsumhub/proxy/message_fields.h"
#include "gypsumhub/proxy/target_exchange.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    // Members that one request asks at most.
    constexpr auto maxMembers = size_t { 2 };
    // Connections of one request thread to one member.
    constexpr auto connectionsPerMember = uint32_t { 64 };

    auto initialState(const caller_request& request, const service_view& service) -> request_state::settings
    {
        auto& message = request.message;
        return { !isNonIdempotent(service.spec->rules, message.method_string(), message.target()), request.deadline };
    }

} // namespace

peer_hop::peer_hop(thread_resources& thread, const caller_request& request, const service_view& service, answer_sink& sink,
    request_cancellation& cancellation)
    : m_thread(thread)
    , m_request(request)
    , m_service(service)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_state(initialState(request, service))
    , m_head(makeOutboundHead(request, true))
{
    thread.context.services.find(service.spec->key).retries.recordFirstAttempt(service.spec->rules.retryBudgetPercent);
}

auto peer_hop::run() -> task<caller_answer>
{
    increment(m_thread.context.counters.peerHops);
    auto last = makeRefusal(result_code::PeerUnreachable, m_request.id);
    auto asked = size_t { 0 };
    for (auto& member : orderedMembers()) {
        if (asked++ == maxMembers)
            break;
        auto end = co_await askMember(member);
        auto mayRetry = end.next.step == request_step::RetryOnOtherTarget || end.next.step == request_step::RetryOnNewConnection;
        auto isFinal = end.answer ? !mayAskAnother(*end.answer) : false;
        if (end.answer)
            last = std::move(*end.answer);
        else if (!mayRetry)
            last = makeRefusal(end.next.code, m_request.id);
        last.cut = !end.answer && end.passedOn;
        last.passedOn = last.passedOn || end.passedOn;
        if (isFinal || !mayRetry)
            break;
    }
    // One member's "not run" says nothing about what another one received before.
    if (last.outcome == request_outcome::NotRun && !m_state.provedNotRun() && !last.passedOn)
        last = makeRefusal(m_state.refuse(last.code).code, m_request.id);
    co_return last;
}

auto peer_hop::orderedMembers() -> std::vector<member_view>
{
    auto members = std::vector<member_view> {};
    for (auto& member : m_service.group)
        if (member.key != m_thread.context.settings.self)
            members.push_back(member);
    for (auto left = members.size(); left > 1; --left)
        std::swap(members[left - 1], members[m_thread.random.below(left)]);
    std::ranges::stable_sort(members, {}, &member_view::distance);
    return members;
}

auto peer_hop::askMember(const member_view& member) -> task<hop_end>
{
    auto end = hop_end {};
    auto& context = m_thread.context;
    auto& budget = context.services.find(m_service.spec->key).retries;
    auto attempt = m_state.startAttempt();
    if (!attempt) {
        end.next = m_state.refuse(result_code::PeerUnreachable);
        co_return end;
    }
    auto span = m_request.span.startChild("peer hop");
    span.tag("peer", formatAddress(member.callerAddress));
    setTraceparent(m_head, span, m_request);
    auto query = connection_query { member.key.value, member.callerAddress, connectionsPerMember, !m_state.idempotent(), false, m_request.deadline };
    auto opened = co_await openConnection(m_thread, query, m_cancellation);
    if (!opened.connection) {
        auto isOver = m_cancellation.cancelled() || context.now() >= m_request.deadline;
        auto result = isOver ? attempt_result::Cancelled : attempt_result::ConnectFailed;
        end.next = m_state.endAttempt(*attempt, result, false, context.now(), budget);
        if (end.next.step == request_step::Refuse && end.next.code == result_code::TargetConnectFailed)
            end.next.code = result_code::PeerUnreachable;
        co_return end;
    }

    auto& connection = *opened.connection;
    auto limits = exchange_limits {};
    limits.deadline = toSteadyClock(m_request.deadline, context.now());
    connection.beginExchange(limits, nullptr);
    auto exchange = target_exchange(context, connection, m_sink, m_cancellation);
    auto outbound = target_exchange::outbound { m_head, m_request.message.body(), m_request.id };
    auto outcome = co_await exchange.run(outbound, m_state, *attempt);
    connection.endExchange();
    auto reused = connection.isReused();
    if (outcome.reusable)
        m_thread.pool.giveBack(member.key.value, std::move(opened.connection));
    else
        m_thread.pool.discard(member.key.value, opened.connection);

    // The member's error answers are final: it has retried already.
    auto isComplete = outcome.result == attempt_result::Success || outcome.result == attempt_result::ErrorAnswer;
    if (isComplete) {
        end.answer = makePeerAnswer(std::move(outcome.answer), m_request.message.method(), m_request.id);
        // A member that states "not run" leaves the request as if it had declined it.
        auto stated = end.answer->outcome == request_outcome::NotRun ? attempt_result::Draining : attempt_result::Success;
        end.next = m_state.endAttempt(*attempt, stated, reused, context.now(), budget);
        co_return end;
    }
    end.passedOn = outcome.answer.passedOn;
    end.next = m_state.endAttempt(*attempt, outcome.result, reused, context.now(), budget);
    co_return end;
}

auto peer_hop::mayAskAnother(const caller_answer& answer) const -> bool
{
    if (answer.passedOn || answer.outcome != request_outcome::NotRun || m_cancellation.cancelled())
        return false;
    // Codes that concern that one member; any other refusal is the group's.
    switch (answer.code) {
    case result_code::NodeStopping:
    case result_code::NodeNotReady:
    case result_code::TooManyConnections:
    case result_code::UnknownService:
        return true;
    default:
        return false;
    }
}

} // namespace gypsumhub
