#include "gypsumhub/decision/request/claim_table.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    auto refuse(result_code code) -> claim_verdict
    {
        return { claim_decision::Refuse, code, nullptr };
    }

    auto bytesOf(const kept_answer& answer) -> size_t
    {
        return answer.header.size() + answer.body.size();
    }

    // Two claims cannot both have run; an answer says more than "unknown".
    auto supersedes(std::optional<claim_end> next, std::optional<claim_end> current) -> bool
    {
        if (!next)
            return false;
        return !current || (*next == claim_end::Answered && *current != claim_end::Answered);
    }

} // namespace

claim_table::claim_table(settings limits, std::shared_ptr<const claim_policy> policy)
    : m_settings(limits)
    , m_policy(std::move(policy))
{
}

auto claim_table::vote(uint64_t requestId, const claim_query& query, bool historyComplete, time_point now) -> claim_verdict
{
    auto key = claim_key { query.service, query.idempotencyKey };
    auto* known = find(key, now);
    if (known && known->requestDigest != query.requestDigest)
        return refuse(result_code::IdempotencyKeyReused);
    if (known && known->holder != 0)
        return voteOnHeld(*known, requestId, now);
    if (known && known->lastReleased == requestId)
        return refuse(result_code::IdempotencyOwnerUnreachable);
    auto notRunThrough = known ? known->notRunThrough : 0;
    // A history is complete only as far back as the longest deadline that it allows for.
    historyComplete = historyComplete && query.deadline <= now + m_settings.retention;
    if (!m_policy->mayVote(query.attempt, { known != nullptr, notRunThrough, historyComplete })) {
        // Without a number this voter merely cannot tell; a numbered resend says itself that an earlier attempt may have run.
        return refuse(query.attempt == 0 ? result_code::IdempotencyOwnerUnreachable : result_code::IdempotencyOutcomeUnknown);
    }
    if (!known)
        known = create(key, query.requestDigest);
    if (!known)
        return refuse(result_code::IdempotencyTableFull);
    hold(*known, requestId, query, now);
    return { claim_decision::Dispatch, result_code::Ok, nullptr };
}

auto claim_table::record(const claim_record_message& message, time_point now) -> bool
{
    auto key = claim_key { message.query.service, message.query.idempotencyKey };
    auto* known = find(key, now);
    if (!known)
        known = create(key, message.query.requestDigest);
    if (!known)
        return false;
    known->keptUntil = std::max(known->keptUntil, std::max(now, message.query.deadline) + m_settings.retention);
    if (message.end == claim_end::NotRun) {
        release(*known, message);
        return true;
    }
    // A claim that was dispatched goes before one that has only this voter's vote.
    auto isHolder = known->holder == message.requestId;
    auto isReleased = known->lastReleased == message.requestId;
    if (!isHolder && (known->holder != 0 || isReleased) && !supersedes(message.end, known->end))
        return true;
    if (!isHolder)
        hold(*known, message.requestId, message.query, now);
    if (supersedes(message.end, known->end))
        known->end = message.end;
    if (message.answer && !known->answer)
        keepAnswer(key, *known, *message.answer);
    return true;
}

auto claim_table::expire(time_point now) -> void
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        if (position->second.keptUntil <= now)
            position = erase(position);
        else
            ++position;
    }
    // Keys whose answers are gone need no place in the order any more.
    while (!m_answerOrder.empty()) {
        auto oldest = m_entries.find(m_answerOrder.front());
        if (oldest != m_entries.end() && oldest->second.answer)
            break;
        m_answerOrder.pop_front();
    }
}

auto claim_table::recordsFor(const std::function<bool(const claim_key&)>& wanted) const -> std::vector<claim_record_message>
{
    auto records = std::vector<claim_record_message> {};
    for (auto& [key, known] : m_entries) {
        // A released key blocks nothing, so there is nothing to tell.
        if (known.holder == 0 || !wanted(key))
            continue;
        auto query = claim_query { key.service, key.idempotencyKey, known.requestDigest, known.holderAttempt, known.holderDeadline };
        auto record = claim_record_message { known.holder, query, known.end, std::nullopt, known.keptUntil };
        if (known.answer)
            record.answer = *known.answer;
        records.push_back(std::move(record));
    }
    return records;
}

auto claim_table::fingerprint() const -> uint64_t
{
    auto hash = uint64_t { m_entries.size() };
    for (auto& [key, known] : m_entries) {
        hash = mixHashes(hash, hashName(key.idempotencyKey));
        hash = mixHashes(hash, known.holder);
        hash = mixHashes(hash, known.lastReleased);
        hash = mixHashes(hash, known.holderAttempt * 4096 + known.notRunThrough * 16 + (known.end ? static_cast<unsigned>(*known.end) + 1 : 0));
        hash = mixHashes(hash, known.answer ? 1 : 0);
    }
    return hash;
}

auto claim_table::find(const claim_key& key, time_point now) -> entry*
{
    auto position = m_entries.find(key);
    if (position == m_entries.end())
        return nullptr;
    if (position->second.keptUntil > now)
        return &position->second;
    erase(position);
    return nullptr;
}

auto claim_table::create(const claim_key& key, uint64_t requestDigest) -> entry*
{
    if (m_entries.size() >= m_settings.maxEntries)
        return nullptr;
    auto& created = m_entries[key];
    created.requestDigest = requestDigest;
    return &created;
}

auto claim_table::hold(entry& known, uint64_t requestId, const claim_query& query, time_point now) -> void
{
    known.holder = requestId;
    known.holderAttempt = query.attempt;
    known.holderDeadline = query.deadline;
    known.end = std::nullopt;
    known.keptUntil = std::max(known.keptUntil, std::max(now, query.deadline) + m_settings.retention);
}

auto claim_table::voteOnHeld(const entry& known, uint64_t requestId, time_point now) const -> claim_verdict
{
    if (known.end == claim_end::Answered && known.answer)
        return { claim_decision::Replay, result_code::Ok, known.answer };
    if (known.end)
        return refuse(result_code::IdempotencyOutcomeUnknown);
    if (known.holder == requestId)
        return { claim_decision::Dispatch, result_code::Ok, nullptr };
    // The holder was never heard of again: it may have died after its first byte.
    if (now >= known.holderDeadline)
        return refuse(result_code::IdempotencyOutcomeUnknown);
    return refuse(result_code::IdempotencyKeyInFlight);
}

auto claim_table::release(entry& known, const claim_record_message& message) -> void
{
    // A claim that this voter did not vote for proves nothing here: another one may hold the key elsewhere.
    if (known.holder == message.requestId && message.query.attempt == known.notRunThrough + 1)
        known.notRunThrough = message.query.attempt;
    if (known.holder != 0 && known.holder != message.requestId)
        return;
    known.lastReleased = message.requestId;
    known.holder = 0;
    known.end = std::nullopt;
}

auto claim_table::keepAnswer(const claim_key& key, entry& known, const kept_answer& answer) -> void
{
    auto bytes = bytesOf(answer);
    if (bytes > m_settings.maxAnswerBytes)
        return;
    // The oldest answers make room; their keys stay and are refused as unknown.
    while (m_answerBytes + bytes > m_settings.maxAnswerBytes && !m_answerOrder.empty()) {
        auto oldest = m_entries.find(m_answerOrder.front());
        if (oldest != m_entries.end())
            dropAnswer(oldest->second);
        m_answerOrder.pop_front();
    }
    known.answer = std::make_shared<kept_answer>(answer);
    m_answerBytes += bytes;
    m_answerOrder.push_back(key);
}

auto claim_table::dropAnswer(entry& known) -> void
{
    if (!known.answer)
        return;
    m_answerBytes -= bytesOf(*known.answer);
    known.answer = nullptr;
}

auto claim_table::erase(entry_map::iterator position) -> entry_map::iterator
{
    dropAnswer(position->second);
    return m_entries.erase(position);
}

} // namespace gypsumhub
