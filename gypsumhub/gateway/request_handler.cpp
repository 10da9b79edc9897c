#include "gypsumhub/gateway/request_handler.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/request_deadline.h"
#include "gypsumhub/gateway/request_identity.h"
#include "gypsumhub/gateway/request_relay.h"
#include "gypsumhub/gateway/request_target.h"
#include "gypsumhub/platform/wire_names.h"
#include "gypsumhub/proxy/message_fields.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    // Targets that could not be reached before the request is given up; each costs up to a connect timeout.
    constexpr auto maxConnectFailures = 3U;
    constexpr auto connectFailuresToRelay = 2U;
    constexpr auto noRoom = "no_room";
    constexpr auto quarantined = "quarantined";
    // Of the latency target. A request whose estimate is too high still waits for a target.
    constexpr auto maxReservedPercent = 40;
    constexpr auto notReadyRetryAfter = milliseconds(500);

} // namespace

request_handler::request_handler(gateway_context& context, inbound_message request, std::string_view callerAddress, time_point arrivedAt)
    : m_context(context)
    , m_request(std::move(request))
    , m_id(m_request[wire_names::requestId])
    , m_callerAddress(callerAddress)
    , m_relayed(readRelayFields(m_request))
    , m_arrivedAt(arrivedAt)
    , m_deadline(arrivedAt)
    , m_log(context.log, m_id)
{
    // Only other nodes relay.
    if (m_relayed && !context.memberView.isNodeAddress(callerAddress))
        m_relayed.reset();
    m_identity = identityOf(m_request, m_relayed ? m_relayed->callerAddress : m_callerAddress);
    findRoute();
}

auto request_handler::findRoute() -> void
{
    m_routes = m_context.routes;
    m_route = m_routes ? m_routes->find(hostOf(m_request[http::field::host]), pathOf(m_request.target())) : nullptr;
}

auto request_handler::run() -> task<caller_reply>
{
    ++m_context.counters.requests;
    ++m_context.openRequests;
    auto reply = caller_reply {};
    co_await m_context.awaitInitialized(m_arrivedAt, m_callerLeft);
    // The routes may have changed since the request was read.
    if (m_routes != m_context.routes)
        findRoute();
    identifyCustomer();
    if (needsConfirmation()) {
        co_await m_context.awaitConfirmation(m_arrivedAt, m_callerLeft);
        // A newer configuration may have arrived with the confirmation.
        findRoute();
        identifyCustomer();
    }
    if (!m_routes)
        reply = refuse("no_configuration", notReadyRetryAfter);
    else if (!m_route) {
        ++m_context.counters.noRoute;
        m_reason = "no_route";
        reply = makeReply(404, m_id);
    } else if (needsConfirmation()) {
        ++m_context.counters.unconfirmedRefusals;
        reply = refuse("unconfirmed_configuration", defaultRetryAfter);
    } else if (m_caller.isRefused)
        reply = refuseUnauthorized();
    else {
        auto refusal = std::optional<caller_reply> {};
        if (needsCredit())
            refusal = co_await admit();
        if (refusal)
            reply = std::move(*refusal);
        else
            reply = co_await serve();
        if (m_creditUntil && m_sent == 0 && m_relayedTo.empty())
            m_context.giveBackAllowance(m_caller.customerName, *m_creditUntil);
    }
    --m_context.openRequests;
    m_hasAnswer = true;
    recordEnd(reply);
    co_return reply;
}

auto request_handler::identifyCustomer() -> void
{
    m_caller = m_route ? identifyCaller(m_request, m_relayed.has_value(), *m_route, *m_routes) : caller_identity {};
}

auto request_handler::targetDeadline() const -> time_point
{
    return std::min(m_deadline, m_context.shutdown.latestDeadline());
}

auto request_handler::makePlacementRequest() -> placement_request
{
    estimateCost();
    auto hasFewSlots = m_context.balancer.hasFewSlots(m_dispatcher->service());
    // The last attempt cannot be followed by another one, so there a failure costs as much as that of a request that may not be retried.
    auto mayRetryAgain = m_route->isRetryable && !(hasFewSlots && m_sent + 1 >= maxAttempts());
    auto request = placement_request { priority(), mayRetryAgain, m_tried, m_arrivedAt, {}, {}, never, m_cost };
    auto reserved = m_cost ? std::min(m_cost->work.mean, m_route->latencyTarget * maxReservedPercent / 100) : expectedResponseTime();
    request.setTimes(m_route->latencyTarget, reserved, targetDeadline() - minTimeLeft);
    if (hasFewSlots)
        request.serveLate(reserved, targetDeadline() - minTimeLeft);
    return request;
}

auto request_handler::serve() -> task<caller_reply>
{
    m_deadline = deadlineOf(m_request, *m_route, m_arrivedAt);
    if (!m_context.shutdown.accepts(bootClockNow(), m_deadline))
        co_return refuse("stopping", {});
    m_dispatcher = &m_context.dispatcher(chooseService());
    m_context.counters.relaysReceived += m_relayed ? 1 : 0;
    if (m_relayed && hasLostPaths())
        co_return refuse("target_paths_lost", defaultRetryAfter);
    if (!isToBeRelayed()) {
        m_context.demand.recordRequest(m_route->host, m_arrivedAt);
        m_dispatcher->retryBudget().recordRequest(m_arrivedAt);
    }
    for (;;) {
        if (m_context.poisonRequests.quarantinedUntil(m_identity, bootClockNow())) {
            ++m_context.counters.quarantineRefusals;
            co_return m_mayHaveRun ? finalReply() : refuse(quarantined, poison_request_detector::quarantineTime);
        }
        if (m_sent > 0 && !mayRetry())
            co_return finalReply();
        if (isToBeRelayed()) {
            auto reply = co_await relay();
            if (reply)
                co_return *reply;
        }
        auto placed = co_await m_dispatcher->place(makePlacementRequest(), m_wait);
        if (placed.end == placement_end::PathsLost) {
            m_hasRetry = m_sent > 0;
            continue;
        }
        if (m_callerLeft && placed.end == placement_end::Placed) {
            m_dispatcher->release(*placed.target);
            placed.end = placement_end::CallerLeft;
        }
        recordLateWait(placed);
        if (placed.end != placement_end::Placed) {
            m_reason = placed.end == placement_end::NoTarget ? "no_target" : placed.end == placement_end::NoCapacity ? noRoom
                                                                                                                     : "caller_left";
            if (m_mayHaveRun)
                co_return finalReply();
            if (placed.end == placement_end::NoCapacity)
                co_return refuseForCapacity(placed.predictedWait);
            auto retryAfter = placed.end == placement_end::NoTarget ? m_context.noTargetRetryAfter(m_dispatcher->service()) : placed.predictedWait;
            co_return refuse(m_reason, retryAfter);
        }
        m_context.counters.queueingDelay.record(bootClockNow() - m_arrivedAt);
        m_log.recordPlacement(placement_fields { *m_route, m_routes->version(), *placed.target, placed.probabilityBad, m_sent + 1, m_arrivedAt, m_dispatcher->waiting(), placed.targetIdleTime, m_cost ? &*m_cost : nullptr });
        auto work = m_cost ? placed.target->work.add(m_cost->work, bootClockNow()) : 0;
        auto ended = co_await attempt(placed.target, placed.sendBefore);
        placed.target->work.remove(work);
        m_dispatcher->release(*placed.target);
        m_tried.push_back(placed.target->registration.id);
        // Another node may reach what this one does not.
        m_wantsRelay |= m_connectFailures >= connectFailuresToRelay;
        auto isOver = ended == attempt_end::Final || m_callerLeft || (ended == attempt_end::Failed && !m_route->isRetryable)
            || (m_connectFailures >= (hasLostPaths() ? 1 : maxConnectFailures) && !isToBeRelayed()) || bootClockNow() + minTimeLeft >= targetDeadline();
        if (isOver || !m_context.shutdown.accepts(bootClockNow(), m_deadline))
            co_return finalReply();
    }
}

auto request_handler::recordLateWait(const placement& placed) -> void
{
    if (!placed.waitedLate)
        return;
    m_waitedLate = true;
    ++m_context.counters.lateWaits;
    m_context.counters.lateWaitsInVain += placed.end == placement_end::NoCapacity ? 1 : 0;
}

auto request_handler::chooseService() -> std::string_view
{
    // The other node has counted the request towards the weights of the route. Its configuration may differ.
    auto isRelayed = [&](auto& entry) { return m_relayed && entry.service == m_relayed->service; };
    return std::ranges::any_of(m_route->services, isRelayed) ? m_relayed->service : m_context.roundRobinOf(*m_route).next();
}

auto request_handler::isToBeRelayed() const -> bool
{
    auto isWanted = hasLostPaths() || m_wantsRelay;
    return isWanted && !m_relayed && !m_isRelayDenied && !m_callerLeft && request_relay(m_context).isPossible(m_dispatcher->service());
}

auto request_handler::relay() -> task<std::optional<caller_reply>>
{
    auto attempts = maxAttempts() - std::min(m_sent, maxAttempts());
    auto request = relayed_request { m_request, m_route->host, body(), m_caller, { attempts, m_callerAddress, m_dispatcher->service() }, targetDeadline(), m_route->isRetryable };
    auto result = co_await request_relay(m_context).send(std::move(request), m_connection, m_callerLeft);
    m_connection.reset();
    m_isRelayDenied = result.exchange.end == exchange_end::NotSent;
    if (m_isRelayDenied)
        co_return std::nullopt;
    m_relayedTo = result.node;
    auto& answer = result.exchange.answer;
    // An answer without a signature is the other node's own. It does not know that this one may have sent the request to a target before.
    auto isOwn = result.exchange.end == exchange_end::Answered && answer.find(wire_names::signature) == answer.end();
    if (!isOwn) {
        m_mayHaveRun = true;
        m_last = std::move(result.exchange);
    }
    if (!isOwn || m_mayHaveRun)
        co_return finalReply();
    m_reason = "not_served_by_relay";
    ++(answer.result_int() == 503 ? m_context.counters.refused : m_context.counters.unknownOutcomes);
    removeHopByHopFields(answer);
    m_answerMemory = std::move(result.exchange.memory);
    co_return std::move(answer);
}

auto request_handler::mayRetry() -> bool
{
    // A retry that was denied while the last attempt was silent is not the reason of what follows.
    m_isRetryDenied = false;
    if (m_sent >= maxAttempts() || m_context.poisonRequests.isSuspect(m_identity, bootClockNow()))
        return false;
    return std::exchange(m_hasRetry, false) || acquireRetry();
}

auto request_handler::acquireRetry() -> bool
{
    auto now = bootClockNow();
    if (m_dispatcher->retryBudget().tryConsume(now, m_context.retryReserveShare(m_route->host, now))) {
        ++m_context.counters.retries;
        m_isRetryDenied = false;
        return true;
    }
    ++m_context.counters.retriesDenied;
    m_isRetryDenied = true;
    return false;
}

auto request_handler::handleCallerLeft() -> void
{
    m_callerLeft = true;
    ++m_context.counters.callersDisconnected;
    if (m_wait)
        m_dispatcher->cancelWait(*m_wait);
    // An attempt that may not be retried continues, since its target may already have run it.
    if (m_connection && (m_route->isRetryable || m_sent == 0))
        m_connection->abandon();
}

auto request_handler::refuseUnauthorized() -> caller_reply
{
    ++m_context.counters.unauthorized;
    m_reason = "unknown_key";
    auto reply = makeReply(401, m_id);
    reply.set(http::field::www_authenticate, wire_names::keyScheme);
    return reply;
}

auto request_handler::admit() -> task<std::optional<caller_reply>>
{
    auto acquired = co_await m_context.acquireAllowance(m_caller.customerName);
    if (acquired.kind == allowance_end::Granted) {
        m_creditUntil = acquired.until;
        co_return std::nullopt;
    }
    if (acquired.kind == allowance_end::OverLimit)
        co_return refuse("over_limit", acquired.until - bootClockNow(), 429);
    co_return refuse("limit_unavailable", defaultRetryAfter);
}

auto request_handler::refuse(std::string_view reason, duration retryAfter, unsigned status) -> caller_reply
{
    return refuseWith(makeRefusal(m_id, retryAfter, m_context.random, status), reason);
}

auto request_handler::refuseForCapacity(duration predictedWait) -> caller_reply
{
    if (!m_context.balancer.hasFewSlots(m_dispatcher->service()))
        return refuse(noRoom, predictedWait);
    return refuseWith(makeScheduledRefusal(m_id, m_dispatcher->retryAfter(m_deadline - bootClockNow())), noRoom);
}

auto request_handler::refuseWith(caller_reply reply, std::string_view reason) -> caller_reply
{
    ++m_context.counters.refused;
    m_reason = reason;
    // Lets the node that relayed the request ask another one, unless the reason holds there too. More rejections would exceed the attempts.
    if (m_relayed && m_sent == 0 && reason != noRoom && reason != quarantined)
        reply.set(relay_fields::name, relay_fields::unavailable);
    return reply;
}

auto request_handler::withRetryDenial(std::string reason) const -> std::string
{
    if (!m_isRetryDenied)
        return reason;
    return reason.empty() ? "repeats_spent" : reason + ",repeats_spent";
}

auto request_handler::finalReply() -> caller_reply
{
    if (m_last.end == exchange_end::Answered && m_last.answer.result_int() != 0) {
        auto reply = std::move(m_last.answer);
        m_answerMemory = std::move(m_last.memory);
        removeHopByHopFields(reply);
        auto isSuccess = reply.result_int() / 100 == 2;
        ++(isSuccess ? m_context.counters.answered : m_context.counters.targetFailures);
        m_reason = isSuccess ? "answered" : withRetryDenial("target_failed");
        return reply;
    }
    if (!m_mayHaveRun)
        return refuse(withRetryDenial(m_reason.empty() && !m_isRetryDenied ? "not_placed" : m_reason), {});
    ++m_context.counters.unknownOutcomes;
    auto isLate = m_last.end == exchange_end::TimedOut;
    m_reason = withRetryDenial(isLate ? "target_timeout" : m_last.end == exchange_end::InvalidStatus ? "invalid_status"
                                                                                                     : "answer_lost");
    return makeReply(isLate ? 504 : 502, m_id);
}

auto request_handler::recordEnd(const caller_reply& reply) -> void
{
    auto now = bootClockNow();
    m_context.counters.totalTime.record(now - m_arrivedAt);
    auto isSuccess = reply.result_int() / 100 == 2;
    auto fields = boost::json::object { { "id", m_id }, { "status", reply.result_int() }, { "reason", m_reason }, { "sent", m_sent },
        { "took_ms", (now - m_arrivedAt).milliseconds() }, { "left_ms", (m_deadline - now).milliseconds() } };
    if (!isSuccess)
        fields["fingerprint"] = toString(m_identity.ofAnyCaller);
    if (m_route) {
        fields["route"] = m_route->name;
        if (!m_caller.customerName.empty())
            fields["customer"] = m_caller.customerName;
        m_context.demand.recordBytes(m_route->host, m_request.body().size() + reply.body().size(), now);
    }
    if (m_dispatcher)
        fields["in_flight"] = m_dispatcher->inFlight();
    if (!m_tried.empty())
        fields["last_target"] = m_tried.back();
    if (!m_relayedTo.empty())
        fields["relayed_to"] = m_relayedTo;
    if (m_waitedLate)
        fields["waited_late"] = true;
    if (m_callerLeft)
        fields["caller_left"] = true;
    m_log.recordEnd(std::move(fields), isSuccess);
}

} // namespace gypsumhub
