#include "gypsumhub/decision/request/request_state.h"

#include <algorithm>
#include <cassert>
#include <span>

namespace gypsumhub {

namespace {

    auto lostCodeOf(attempt_result result) -> result_code
    {
        switch (result) {
        case attempt_result::MismatchedAnswer:
            return result_code::TargetAnswerMismatched;
        case attempt_result::CutAnswer:
            return result_code::TargetAnswerCut;
        case attempt_result::HungAfterHeader:
        case attempt_result::Silent:
            return result_code::TargetTimeout;
        case attempt_result::Cancelled:
            return result_code::CallerWentAway;
        default:
            return result_code::TargetConnectionLost;
        }
    }

} // namespace

request_state::request_state(settings initial)
    : m_settings(initial)
{
}

auto request_state::startAttempt() -> std::optional<uint32_t>
{
    if (m_attempts == maxAttempts || m_forwarding)
        return std::nullopt;
    // A second copy of a request that may be running is only for idempotent requests.
    if (!m_settings.idempotent && (anyRunning() || !provedNotRun()))
        return std::nullopt;
    auto attempt = m_attempts++;
    m_entries[attempt] = { attempt_state::NotSent, true };
    return attempt;
}

auto request_state::permitSend(uint32_t attempt, time_point now) -> bool
{
    assert(attempt < m_attempts && m_entries[attempt].running);
    if (now >= m_settings.deadline)
        return false;
    m_entries[attempt].state = attempt_state::Sent;
    return true;
}

auto request_state::markForwarding() -> void
{
    m_forwarding = true;
}

auto request_state::endAttempt(uint32_t attempt, attempt_result result, bool reusedConnection, time_point now, retry_budget& budget)
    -> next_step
{
    assert(attempt < m_attempts && m_entries[attempt].running);
    assert(result != attempt_result::Overdue);
    auto& entry = m_entries[attempt];
    entry.running = false;
    if (entry.state == attempt_state::NotSent)
        return afterNotSent(result, now);
    switch (result) {
    case attempt_result::Success:
        entry.state = attempt_state::Answered;
        return { request_step::Answer };
    case attempt_result::ErrorAnswer:
        entry.state = attempt_state::Answered;
        return afterErrorAnswer(now, budget);
    case attempt_result::Shed:
        entry.state = attempt_state::Declined;
        budget.borrowing().noteShed(now);
        return afterDeclined(result_code::TargetShed, now, budget);
    case attempt_result::Draining:
        entry.state = attempt_state::Declined;
        return afterDeclined(result_code::TargetDraining, now, budget);
    default:
        entry.state = attempt_state::Lost;
        m_lostCode = lostCodeOf(result);
        return afterLost(result, reusedConnection, now, budget);
    }
}

auto request_state::refuse(result_code wanted) const -> next_step
{
    if (m_keptErrorAnswer && !m_forwarding)
        return { request_step::AnswerKept };
    if (provedNotRun() || describe(wanted).outcome != request_outcome::NotRun)
        return { request_step::Refuse, wanted };
    auto code = m_lostCode == result_code::Ok ? result_code::TargetTimeout : m_lostCode;
    return { request_step::Refuse, code };
}

auto request_state::mayHedge() const -> bool
{
    if (!m_settings.idempotent || m_forwarding || m_attempts == maxAttempts)
        return false;
    auto running = std::ranges::count(m_entries, true, &attempt_entry::running);
    return running == 1;
}

auto request_state::stateOf(uint32_t attempt) const -> attempt_state
{
    assert(attempt < m_attempts);
    return m_entries[attempt].state;
}

auto request_state::provedNotRun() const -> bool
{
    return std::ranges::all_of(std::span(m_entries).first(m_attempts), [](auto& entry) {
        return entry.state == attempt_state::NotSent || entry.state == attempt_state::Declined;
    });
}

auto request_state::anyRunning() const -> bool
{
    return std::ranges::any_of(m_entries, &attempt_entry::running);
}

auto request_state::mayRetry(time_point now) const -> bool
{
    return now < m_settings.deadline && m_attempts < maxAttempts && !m_forwarding && !anyRunning()
        && (m_settings.idempotent || provedNotRun());
}

auto request_state::afterNotSent(attempt_result result, time_point now) -> next_step
{
    if (result == attempt_result::Cancelled)
        return refuseOrWait(now < m_settings.deadline ? result_code::CallerWentAway : result_code::DeadlineBeforeSend);
    // Nothing reached the target, so the retry adds no work there and needs no budget; the number of attempts bounds it.
    if (mayRetry(now))
        return { request_step::RetryOnOtherTarget };
    return refuseOrWait(now < m_settings.deadline ? result_code::TargetConnectFailed : result_code::DeadlineBeforeSend);
}

auto request_state::afterDeclined(result_code code, time_point now, retry_budget& budget) -> next_step
{
    if (mayRetry(now) && budget.take(now))
        return { request_step::RetryOnOtherTarget };
    return refuseOrWait(code);
}

auto request_state::afterErrorAnswer(time_point now, retry_budget& budget) -> next_step
{
    if (!m_settings.idempotent || !mayRetry(now) || !budget.take(now))
        return { request_step::Answer };
    m_keptErrorAnswer = true;
    return { request_step::RetryOnOtherTarget };
}

auto request_state::afterLost(attempt_result result, bool reusedConnection, time_point now, retry_budget& budget) -> next_step
{
    if (result == attempt_result::Cancelled)
        return refuseOrWait(result_code::CallerWentAway);
    if (!m_settings.idempotent || !mayRetry(now) || !budget.take(now))
        return refuseOrWait(m_lostCode);
    // A kept connection may have been dead already; the target itself has not failed yet.
    if (reusedConnection && result == attempt_result::ConnectionLost)
        return { request_step::RetryOnNewConnection };
    return { request_step::RetryOnOtherTarget };
}

auto request_state::refuseOrWait(result_code wanted) const -> next_step
{
    if (anyRunning())
        return { request_step::Wait };
    return refuse(wanted);
}

} // namespace gypsumhub
