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

    // Whether a reported end replaces the current one: any end replaces none, and an answer replaces any other end, since it is
    // more precise. It is never replaced itself, since two claims cannot both have run.
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
    auto* current = find(key, now);
    if (current && current->requestDigest != query.requestDigest)
        return refuse(result_code::IdempotencyKeyReused);
    if (current && current->holder != 0)
        return voteOnHeld(*current, requestId, now);
    if (current && current->lastReleased == requestId)
        return refuse(result_code::IdempotencyOwnerUnreachable);
    auto notRunThrough = current ? current->notRunThrough : 0;
    // The history covers deadlines up to one retention ahead only.
    historyComplete = historyComplete && query.deadline <= now + m_settings.retention;
    if (!m_policy->mayVote(query.attempt, { current != nullptr, notRunThrough, historyComplete })) {
        // Without a number, this voter only has no proof; a numbered resend implies that an earlier attempt may have run.
        return refuse(query.attempt == 0 ? result_code::IdempotencyOwnerUnreachable : result_code::IdempotencyOutcomeUnknown);
    }
    if (!current)
        current = create(key, query.requestDigest);
    if (!current)
        return refuse(result_code::IdempotencyTableFull);
    hold(*current, requestId, query, now);
    return { claim_decision::Dispatch, result_code::Ok, nullptr };
}

auto claim_table::record(const claim_record_message& message, time_point now) -> bool
{
    auto key = claim_key { message.query.service, message.query.idempotencyKey };
    auto* current = find(key, now);
    if (!current)
        current = create(key, message.query.requestDigest);
    if (!current)
        return false;
    current->keptUntil = std::max(current->keptUntil, std::max(now, message.query.deadline) + m_settings.retention);
    if (message.end == claim_end::NotRun) {
        release(*current, message);
        return true;
    }
    // A claim that was dispatched replaces one that has only this voter's vote.
    auto isHolder = current->holder == message.requestId;
    auto isReleased = current->lastReleased == message.requestId;
    if (!isHolder && (current->holder != 0 || isReleased) && !supersedes(message.end, current->end))
        return true;
    if (!isHolder)
        hold(*current, message.requestId, message.query, now);
    if (supersedes(message.end, current->end))
        current->end = message.end;
    if (message.answer && !current->answer)
        keepAnswer(key, *current, *message.answer);
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
    // Removes keys without an answer from the front of the order.
    while (!m_answerOrder.empty()) {
        auto oldest = m_entries.find(m_answerOrder.front());
        if (oldest != m_entries.end() && oldest->second.answer)
            break;
        m_answerOrder.pop_front();
    }
}

auto claim_table::recordsFor(const std::function<bool(const claim_key&)>& filter) const -> std::vector<claim_record_message>
{
    auto records = std::vector<claim_record_message> {};
    for (auto& [key, current] : m_entries) {
        // A released key blocks no claim, so no record is needed.
        if (current.holder == 0 || !filter(key))
            continue;
        auto query = claim_query { key.service, key.idempotencyKey, current.requestDigest, current.holderAttempt, current.holderDeadline };
        auto record = claim_record_message { current.holder, query, current.end, std::nullopt, current.keptUntil };
        if (current.answer)
            record.answer = *current.answer;
        records.push_back(std::move(record));
    }
    return records;
}

auto claim_table::fingerprint() const -> uint64_t
{
    auto hash = uint64_t { m_entries.size() };
    for (auto& [key, current] : m_entries) {
        hash = mixHashes(hash, hashName(key.idempotencyKey));
        hash = mixHashes(hash, current.holder);
        hash = mixHashes(hash, current.lastReleased);
        hash = mixHashes(hash, current.holderAttempt * 4096 + current.notRunThrough * 16 + (current.end ? static_cast<unsigned>(*current.end) + 1 : 0));
        hash = mixHashes(hash, current.answer ? 1 : 0);
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

auto claim_table::hold(entry& current, uint64_t requestId, const claim_query& query, time_point now) -> void
{
    current.holder = requestId;
    current.holderAttempt = query.attempt;
    current.holderDeadline = query.deadline;
    current.end = std::nullopt;
    current.keptUntil = std::max(current.keptUntil, std::max(now, query.deadline) + m_settings.retention);
}

auto claim_table::voteOnHeld(const entry& current, uint64_t requestId, time_point now) const -> claim_verdict
{
    if (current.end == claim_end::Answered && current.answer)
        return { claim_decision::Replay, result_code::Ok, current.answer };
    if (current.end)
        return refuse(result_code::IdempotencyOutcomeUnknown);
    if (current.holder == requestId)
        return { claim_decision::Dispatch, result_code::Ok, nullptr };
    // No end was reported by the holder's deadline: its node may have failed after the first byte was sent.
    if (now >= current.holderDeadline)
        return refuse(result_code::IdempotencyOutcomeUnknown);
    return refuse(result_code::IdempotencyKeyInFlight);
}

auto claim_table::release(entry& current, const claim_record_message& message) -> void
{
    // The end of a claim without this voter's vote is no proof here, since another claim may hold the key at other voters.
    if (current.holder == message.requestId && message.query.attempt == current.notRunThrough + 1)
        current.notRunThrough = message.query.attempt;
    if (current.holder != 0 && current.holder != message.requestId)
        return;
    current.lastReleased = message.requestId;
    current.holder = 0;
    current.end = std::nullopt;
}

auto claim_table::keepAnswer(const claim_key& key, entry& current, const kept_answer& answer) -> void
{
    auto bytes = bytesOf(answer);
    if (bytes > m_settings.maxAnswerBytes)
        return;
    // Evicts the oldest answers. Their keys stay and are refused with `IdempotencyOutcomeUnknown`.
    while (m_answerBytes + bytes > m_settings.maxAnswerBytes && !m_answerOrder.empty()) {
        auto oldest = m_entries.find(m_answerOrder.front());
        if (oldest != m_entries.end())
            dropAnswer(oldest->second);
        m_answerOrder.pop_front();
    }
    current.answer = std::make_shared<kept_answer>(answer);
    m_answerBytes += bytes;
    m_answerOrder.push_back(key);
}

auto claim_table::dropAnswer(entry& current) -> void
{
    if (!current.answer)
        return;
    m_answerBytes -= bytesOf(*current.answer);
    current.answer = nullptr;
}

auto claim_table::erase(entry_map::iterator position) -> entry_map::iterator
{
    dropAnswer(position->second);
    return m_entries.erase(position);
}

} // namespace gypsumhub
