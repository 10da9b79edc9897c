#include "gypsumhub/gateway/request_run.h"

#include "gypsumhub/core/clock.h"
#include "gypsumhub/decision/selection/start_hold.h"
#include "gypsumhub/gateway/outbound_head.h"
#include "gypsumhub/platform/wire_names.h"
#include "gypsumhub/proxy/message_fields.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace gypsumhub {

namespace {

    // A path inside the deployment answers within a tenth of this; the rest allows for one lost packet.
    constexpr auto connectLimit = milliseconds(450);
    // Targets that could not be reached in a row before the request is given up; each costs a connect limit.
    constexpr auto mostUnopened = 3U;
    // The target's own answer at its deadline arrives before the node's.
    constexpr auto deadlineMargin = milliseconds(8);
    // With less time left no target can do the work.
    constexpr auto leastTimeLeft = milliseconds(20);
    // A request that waits leaves its work this many times the mean.
    constexpr auto workReserve = 1.3;
    // The part of the latency target after which a free target is taken although a better one is busy.
    constexpr auto riskShare = 0.1;
    // Callers are told to come back no sooner; a busy slot is not free before.
    constexpr auto leastComeBack = milliseconds(100);
    // Until a target registers or recovers.
    constexpr auto noTargetComeBack = milliseconds(400);
    constexpr auto notReadyComeBack = milliseconds(500);
    constexpr auto startCheck = milliseconds(10);

    auto scaled(duration length, double factor) -> duration
    {
        return { static_cast<int64_t>(static_cast<double>(length.ns) * factor) };
    }

    auto hostOf(std::string_view field) -> std::string_view
    {
        return field.substr(0, field.find(':'));
    }

    auto withoutQuery(std::string_view target) -> std::string_view
    {
        return target.substr(0, target.find('?'));
    }

} // namespace

request_run::request_run(gateway_context& context, inbound_message request, time_point arrivedAt)
    : m_context(context)
    , m_request(std::move(request))
    , m_id(m_request[wire_names::requestId])
    , m_arrivedAt(arrivedAt)
    , m_deadline(arrivedAt)
    , m_routes(context.routes)
    , m_isSampled(context.log.samples(m_id))
{
}

auto request_run::run() -> task<caller_reply>
{
    ++m_context.counters.requests;
    ++m_context.openRequests;
    auto reply = caller_reply {};
    co_await awaitStart();
    if (!m_routes)
        reply = refuse("no_configuration", notReadyComeBack);
    else if (bootClockNow() >= m_context.refuseFrom)
        reply = refuse("stopping", leastComeBack);
    else if (m_route = m_routes->find(hostOf(m_request[http::field::host]), withoutQuery(m_request.target())); !m_route) {
        ++m_context.counters.noRoute;
        m_reason = "no_route";
        reply = makeReply(404);
    } else
        reply = co_await serve();
    --m_context.openRequests;
    noteEnd(reply);
    co_return reply;
}

auto request_run::awaitStart() -> task<>
{
    if (m_context.isInformed())
        co_return;
    auto until = holdUntil(m_arrivedAt, m_context.startedAt, m_context.heldAtStart);
    auto timer = steady_timer(m_context.io.get_executor());
    ++m_context.heldAtStart;
    while (!m_context.isInformed() && !m_callerLeft && bootClockNow() < until)
        co_await sleepUntil(timer, bootClockNow() + startCheck);
    --m_context.heldAtStart;
    m_routes = m_context.routes;
}

auto request_run::readTimes() -> void
{
    m_deadline = m_arrivedAt + m_route->timeLimit;
    auto text = m_request[wire_names::timeLeft];
    auto left = int64_t { 0 };
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), left);
    if (error == std::errc {} && left >= 0)
        m_deadline = std::min(m_deadline, m_arrivedAt + milliseconds(std::min<int64_t>(left, 3'600'000)));
}

auto request_run::placeRequest() -> placement_request
{
    auto work = scaled(m_context.board.model(m_lane->service()).meanWork(), workReserve);
    auto request = placement_request { m_route->priority, m_route->isRetryable, m_tried, m_arrivedAt, {}, {} };
    auto onTime = m_arrivedAt + m_route->latencyTarget - work;
    // Work that is slower than its target still helps the caller until the deadline.
    request.giveUpAt = std::min(std::max(onTime, m_arrivedAt + scaled(m_route->latencyTarget, riskShare)), m_deadline - leastTimeLeft);
    request.takeRiskAt = m_arrivedAt + scaled(m_route->latencyTarget, riskShare);
    return request;
}

auto request_run::serve() -> task<caller_reply>
{
    readTimes();
    m_lane = &m_context.lane(m_context.turnsOf(*m_route).next());
    m_lane->allowance().noteRequest(m_arrivedAt);
    m_body = std::make_shared<const std::string>(m_request.body());
    for (;;) {
        if (m_sent > 0 && !mayRepeat())
            co_return failure();
        auto placed = co_await m_lane->place(placeRequest(), m_wait);
        if (m_callerLeft && placed.end == placement_end::Placed) {
            m_lane->release(*placed.target);
            placed.end = placement_end::CallerLeft;
        }
        if (placed.end != placement_end::Placed) {
            m_reason = placed.end == placement_end::NoTarget ? "no_target" : placed.end == placement_end::NoRoom ? "no_room"
                                                                                                                 : "caller_left";
            auto comeBack = placed.end == placement_end::NoTarget ? noTargetComeBack : placed.predictedWait;
            co_return m_mayHaveRun ? failure() : refuse(m_reason, comeBack);
        }
        m_context.counters.waitTime.note(bootClockNow() - m_arrivedAt);
        noteSending(*placed.target, placed.probabilityBad);
        auto ended = co_await attempt(placed.target);
        m_lane->release(*placed.target);
        m_tried.push_back(placed.target->registration.id);
        auto isOver = ended == attempt_end::Final || m_callerLeft || (ended == attempt_end::Failed && !m_route->isRetryable)
            || m_unopened >= mostUnopened || bootClockNow() + leastTimeLeft >= m_deadline;
        if (isOver)
            co_return failure();
    }
}

auto request_run::mayRepeat() -> bool
{
    if (m_sent >= m_route->maxAttempts)
        return false;
    return std::exchange(m_hasRepeat, false) || takeRepeat();
}

auto request_run::takeRepeat() -> bool
{
    auto now = bootClockNow();
    auto& settings = m_context.settings;
    // Callers of a host go to a few nodes of each data centre; these share the reserve. Half of it is kept for the nodes
    // that take their place when they fail.
    auto group = m_context.roster.group(m_route->host, settings.dataCentre, m_context.groupGoal(), now);
    auto isMember = std::ranges::find(group, settings.callerAddress) != group.end();
    auto members = static_cast<double>(std::max<size_t>(settings.directoryNodes, group.size()) * settings.dataCentres.size());
    if (m_lane->allowance().take(now, isMember ? 0.5 / members : 0)) {
        ++m_context.counters.repeats;
        return true;
    }
    ++m_context.counters.repeatsDenied;
    m_reason += m_reason.empty() ? "repeats_spent" : ",repeats_spent";
    return false;
}

auto request_run::openLink(target_state& target) -> task<std::shared_ptr<target_link>>
{
    auto now = bootClockNow();
    if (auto link = m_context.links.take(target.registration.id, m_route->isRetryable, now))
        co_return link;
    auto link = std::make_shared<target_link>(m_context.io);
    m_link = link;
    ++m_context.counters.newConnections;
    auto isOpen = co_await link->connect(target.registration.address, std::min(m_deadline, now + connectLimit));
    m_link.reset();
    if (isOpen)
        co_return link;
    ++m_context.counters.connectFailures;
    if (!m_callerLeft)
        m_context.noteOutcome(target, outcome_kind::Failure, now, true);
    co_return nullptr;
}

auto request_run::attempt(std::shared_ptr<target_state> used) -> task<attempt_end>
{
    auto& target = *used;
    auto link = co_await openLink(target);
    if (!link) {
        ++m_unopened;
        m_reason = "target_unreachable";
        co_return attempt_end::NotSent;
    }
    auto now = bootClockNow();
    // The target may have begun to leave, or the caller may have left, while the connection was opened.
    if (target.isClosed || target.registration.isDraining || m_callerLeft || now + leastTimeLeft >= m_deadline) {
        m_context.links.giveBack(target.registration.id, link);
        co_return attempt_end::NotSent;
    }
    auto head = outbound_head(m_request).setTarget(target.registration.id).setTimeLeft(m_deadline - now - deadlineMargin).build();
    auto request = outbound_request { std::move(head), m_body, m_id, m_request.method() == http::verb::head };
    ++m_sent;
    m_link = link;
    auto active = m_context.attempts.insert(m_context.attempts.end(),
        { used, now, false, [this] { overdue(); } });
    auto result = co_await link->exchange(request, m_deadline);
    auto hadStalled = active->isStalled;
    m_context.attempts.erase(active);
    m_link.reset();
    if (!target.isClosed)
        m_context.links.giveBack(target.registration.id, link);
    m_context.counters.workTime.note(bootClockNow() - now);
    // An overdue answer that came after all takes the suspicion back.
    co_return judge(target, result, hadStalled && result.end == exchange_end::Answered ? bootClockNow() : now);
}

auto request_run::judge(target_state& target, exchange_result& result, time_point sentAt) -> attempt_end
{
    m_last = {};
    if (result.end == exchange_end::Answered)
        return judgeAnswer(target, result, sentAt);
    m_mayHaveRun = true;
    m_last.end = result.end;
    noteLost(target, result, sentAt);
    return attempt_end::Failed;
}

auto request_run::noteLost(target_state& target, const exchange_result& result, time_point sentAt) -> void
{
    if (m_callerLeft || result.end == exchange_end::Abandoned)
        return;
    auto kind = result.end == exchange_end::TimedOut ? outcome_kind::Stall : outcome_kind::Failure;
    m_context.noteOutcome(target, kind, sentAt, result.end == exchange_end::TimedOut);
}

auto request_run::judgeAnswer(target_state& target, exchange_result& result, time_point sentAt) -> attempt_end
{
    auto now = bootClockNow();
    auto& answer = result.answer;
    auto status = answer.result_int();
    if (status == 421) {
        // Another VM has the address now; the registration that says so is on its way.
        target.isClosed = true;
        m_context.links.removeTarget(target.registration.id);
    }
    if (status == 421 || answer.find(wire_names::notExecuted) != answer.end()) {
        ++m_context.counters.declinedByTarget;
        m_reason = "target_declined";
        if (status != 421)
            m_context.board.noteFull(target, now);
        return attempt_end::NotRun;
    }
    m_mayHaveRun = true;
    m_last = std::move(result);
    auto isSuccess = status / 100 == 2;
    // A success that its target did not sign is not the target's answer.
    auto isUnsigned = isSuccess && m_last.answer.find(wire_names::signature) == m_last.answer.end();
    if (isUnsigned)
        m_last = {};
    if (status == 504) {
        m_context.noteOutcome(target, outcome_kind::Stall, sentAt, true);
        return attempt_end::Failed;
    }
    if (status >= 500 || isUnsigned) {
        m_context.noteOutcome(target, outcome_kind::Failure, sentAt, false);
        return attempt_end::Failed;
    }
    m_context.noteOutcome(target, outcome_kind::Success, sentAt, false);
    m_context.board.noteWork(target, now - sentAt);
    return attempt_end::Final;
}

auto request_run::overdue() -> void
{
    // Another target can still do the work in time; the one that hangs is told by the closed connection.
    auto work = scaled(m_context.board.model(m_lane->service()).meanWork(), workReserve);
    auto canRepeat = m_route->isRetryable && m_sent < m_route->maxAttempts && bootClockNow() + work < m_deadline && !m_context.isStopping;
    if (!canRepeat || !m_link || !takeRepeat())
        return;
    m_hasRepeat = true;
    m_link->abandon();
}

auto request_run::callerLeft() -> void
{
    m_callerLeft = true;
    ++m_context.counters.callersGone;
    if (m_wait)
        m_lane->callOff(*m_wait);
    // Work that may not be repeated goes on: its target may already have done it.
    if (m_link && (m_route->isRetryable || m_sent == 0))
        m_link->abandon();
}

auto request_run::makeReply(unsigned status) const -> caller_reply
{
    auto reply = caller_reply(http::int_to_status(status), 11);
    if (!m_id.empty())
        reply.set(wire_names::requestId, m_id);
    return reply;
}

auto request_run::refuse(std::string_view reason, duration comeBackAfter) -> caller_reply
{
    ++m_context.counters.refused;
    m_reason = reason;
    auto reply = makeReply(503);
    // Spread, so that those refused together do not come back together.
    auto after = scaled(std::max(comeBackAfter, leastComeBack), 1 + 0.5 * m_context.random.unit());
    auto text = std::array<char, 32> {};
    std::snprintf(text.data(), text.size(), "%.2f", after.seconds());
    reply.set(http::field::retry_after, text.data());
    return reply;
}

auto request_run::failure() -> caller_reply
{
    if (m_last.end == exchange_end::Answered && m_last.answer.result_int() != 0) {
        auto reply = std::move(m_last.answer);
        removeHopByHopFields(reply);
        auto isSuccess = reply.result_int() / 100 == 2;
        ++(isSuccess ? m_context.counters.answered : m_context.counters.targetFailures);
        m_reason = isSuccess ? "answered" : "target_failed";
        return reply;
    }
    if (!m_mayHaveRun)
        return refuse(m_reason.empty() ? "not_placed" : m_reason, leastComeBack);
    ++m_context.counters.unknownOutcomes;
    auto isLate = m_last.end == exchange_end::TimedOut;
    m_reason = isLate ? "target_timeout" : "answer_lost";
    return makeReply(isLate ? 504 : 502);
}

auto request_run::noteSending(const target_state& target, double probabilityBad) -> void
{
    auto now = bootClockNow();
    auto line = boost::json::object { { "time", logTimeNow() }, { "id", m_id }, { "route", m_route->name }, { "routes_version", m_routes->version() }, { "target", target.registration.id },
        { "data_centre", target.registration.dataCentre },
        { "target_revision", target.registration.revision }, { "attempt", m_sent + 1 }, { "waited_ms", (now - m_arrivedAt).milliseconds() },
        { "probability_bad", probabilityBad }, { "evidence_age_ms", (now - target.belief.lastEvidenceAt()).milliseconds() },
        { "in_flight", target.inFlight }, { "waiting", m_lane->waiting() } };
    if (m_isSampled)
        m_context.log.write(log_class::Routine, "request_placed", std::move(line));
    else
        m_unsaid.push_back(std::move(line));
}

auto request_run::noteEnd(const caller_reply& reply) -> void
{
    auto now = bootClockNow();
    m_context.counters.wholeTime.note(now - m_arrivedAt);
    auto isSuccess = reply.result_int() / 100 == 2;
    auto fields = boost::json::object { { "id", m_id }, { "status", reply.result_int() }, { "reason", m_reason }, { "sent", m_sent },
        { "took_ms", (now - m_arrivedAt).milliseconds() }, { "left_ms", (m_deadline - now).milliseconds() } };
    if (m_route)
        fields["route"] = m_route->name;
    if (m_lane) {
        fields["in_flight"] = m_lane->inFlight();
        m_context.board.noteEnd(m_lane->service(), isSuccess, now);
    }
    if (!m_tried.empty())
        fields["last_target"] = m_tried.back();
    if (m_callerLeft)
        fields["caller_left"] = true;
    if (isSuccess && !m_isSampled) {
        m_context.log.noteUnsampled(m_unsaid.size() + 1);
        return;
    }
    // A request that failed is told whole.
    for (auto& line : m_unsaid)
        m_context.log.write(log_class::Notable, "request_placed", std::move(line));
    m_context.log.write(isSuccess ? log_class::Routine : log_class::Notable, "request_ended", std::move(fields));
}

} // namespace gypsumhub
