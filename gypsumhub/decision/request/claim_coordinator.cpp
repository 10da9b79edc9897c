#include "gypsumhub/decision/request/claim_coordinator.h"

#include "gypsumhub/core/hash.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    // How long a record is resent to voters that do not acknowledge it.
    constexpr auto recordRetryLimit = seconds(10);
    // Records that may wait for acknowledgement; further ones are sent only once.
    constexpr auto maxUnconfirmed = size_t { 20'000 };

    auto keyOf(const claim_query& query) -> claim_key
    {
        return { query.service, query.idempotencyKey };
    }

    auto contains(std::span<const node_key> nodes, node_key node) -> bool
    {
        return std::ranges::find(nodes, node) != nodes.end();
    }

    auto sendTo(claim_command_list& commands, node_key receiver, claim_peer_message message) -> void
    {
        auto& command = commands.emplace_back().emplace<send_claim_command>();
        command.receiver = receiver;
        command.message = std::move(message);
    }

    auto addDecision(claim_command_list& commands, uint64_t requestId, const claim_verdict& verdict) -> void
    {
        auto& command = commands.emplace_back().emplace<claim_decided_command>();
        command.requestId = requestId;
        command.verdict = verdict;
    }

    auto isTemporary(result_code refusal) -> bool
    {
        return refusal == result_code::IdempotencyKeyInFlight;
    }

    // The most informative refusal for the caller when no majority voted.
    auto mostInformativeRefusal(std::span<const result_code> refusals, uint32_t attempt) -> result_code
    {
        auto any = [&](result_code code) { return std::ranges::find(refusals, code) != refusals.end(); };
        for (auto code : { result_code::IdempotencyOutcomeUnknown, result_code::IdempotencyKeyInFlight })
            if (any(code))
                return code;
        // `IdempotencyTableFull` means not run, which is certain only for the first attempt.
        if (attempt == 1 && any(result_code::IdempotencyTableFull))
            return result_code::IdempotencyTableFull;
        return result_code::IdempotencyOwnerUnreachable;
    }

} // namespace

claim_coordinator::claim_coordinator(settings initial, time_point now)
    : m_settings(std::move(initial))
    , m_table(m_settings.table, m_settings.policy)
    // Resends may arrive until one retention after a deadline, and a deadline may lie one retention ahead.
    , m_historyCompleteAt(now + m_settings.table.retention * 2)
{
}

auto claim_coordinator::configure(const claim_voters& voters, time_point now, claim_command_list& commands) -> void
{
    if (voters == m_voters)
        return;
    m_previousVoters = std::exchange(m_voters, voters);
    m_previousVotersUntil = now + m_settings.table.retention * 2;

    // Sends the records of each key to its new voters.
    for (auto& record : m_table.recordsFor([](const claim_key&) { return true; })) {
        auto before = m_previousVoters.choose(keyOf(record.query));
        for (auto voter : m_voters.choose(keyOf(record.query))) {
            if (voter != m_settings.self && !contains(before, voter))
                sendTo(commands, voter, record);
        }
    }
}

auto claim_coordinator::claim(const claim_query& query, time_point now, claim_command_list& commands) -> uint64_t
{
    auto requestId = mixHashes(mixHashes(m_settings.self.value, m_settings.incarnation), ++m_nextRequest);
    auto voters = m_voters.choose(keyOf(query));
    if (m_pending.size() >= m_settings.maxPending || voters.empty()) {
        auto code = m_pending.empty() || query.attempt != 1 ? result_code::IdempotencyOwnerUnreachable : result_code::IdempotencyTableFull;
        addDecision(commands, requestId, { claim_decision::Refuse, code, nullptr });
        return requestId;
    }
    auto& pending = m_pending[requestId];
    pending.query = query;
    for (auto voter : voters)
        pending.answers.push_back({ voter });
    requestVotes(requestId, now, commands);
    return requestId;
}

auto claim_coordinator::finish(const claim_query& query, claim_end end, const kept_answer* answer, time_point now, claim_command_list& commands)
    -> void
{
    auto dispatched = m_dispatched.find(keyOf(query));
    if (dispatched == m_dispatched.end())
        return;
    auto record = claim_record_message { dispatched->second, query, end, std::nullopt, never };
    if (answer)
        record.answer = *answer;
    m_dispatched.erase(dispatched);
    distribute(std::move(record), now, commands);
}

auto claim_coordinator::onMessage(node_key sender, const claim_peer_message& message, time_point now, claim_command_list& commands) -> void
{
    if (auto* claim = std::get_if<claim_message>(&message))
        onClaim(sender, *claim, now, commands);
    else if (auto* verdict = std::get_if<claim_verdict_message>(&message))
        onVerdict(verdict->requestId, sender, verdict->verdict, now, commands);
    else if (auto* record = std::get_if<claim_record_message>(&message))
        onRecord(sender, *record, now, commands);
    else
        onAck(sender, std::get<claim_record_ack_message>(message));
}

auto claim_coordinator::tick(time_point now, claim_command_list& commands) -> void
{
    auto due = std::vector<uint64_t> {};
    for (auto& [requestId, pending] : m_pending) {
        if (now >= pending.query.deadline || now >= pending.resendAt)
            due.push_back(requestId);
    }
    for (auto requestId : due)
        requestVotes(requestId, now, commands);
    resendRecords(now, commands);
    m_table.expire(now);
}

auto claim_coordinator::handOver(claim_command_list& commands) const -> void
{
    for (auto& record : m_table.recordsFor([](const claim_key&) { return true; })) {
        for (auto voter : m_voters.choose(keyOf(record.query))) {
            if (voter != m_settings.self)
                sendTo(commands, voter, record);
        }
    }
}

auto claim_coordinator::fingerprint() const -> uint64_t
{
    auto hash = m_table.fingerprint();
    for (auto& [requestId, pending] : m_pending) {
        hash = mixHashes(hash, requestId);
        for (auto& answer : pending.answers)
            hash = mixHashes(hash, static_cast<uint64_t>(answer.refusal) * 4 + (answer.answered ? 2 : 0) + (answer.voted ? 1 : 0));
    }
    for (auto& [key, requestId] : m_dispatched)
        hash = mixHashes(hash, requestId + 1);
    for (auto& [requestId, record] : m_unconfirmed)
        hash = mixHashes(hash, mixHashes(requestId, record.receivers.size()));
    return mixHashes(hash, m_nextRequest);
}

auto claim_coordinator::historyComplete(const claim_key& key, time_point now) const -> bool
{
    // A node that is no voter of the key in its own register has not received every claim.
    if (now < m_historyCompleteAt || !contains(m_voters.choose(key), m_settings.self))
        return false;
    return now >= m_previousVotersUntil || contains(m_previousVoters.choose(key), m_settings.self);
}

// Sends the claim to every voter that has not answered finally; refuses the claim when the deadline has passed.
auto claim_coordinator::requestVotes(uint64_t requestId, time_point now, claim_command_list& commands) -> void
{
    auto& pending = m_pending.at(requestId);
    auto query = pending.query;
    if (now >= query.deadline) {
        auto refusals = std::vector<result_code> {};
        for (auto& answer : pending.answers)
            refusals.push_back(answer.refusal);
        decide(requestId, { claim_decision::Refuse, mostInformativeRefusal(refusals, query.attempt), nullptr }, now, commands);
        return;
    }
    pending.resendAt = now + resendInterval;
    auto open = std::vector<node_key> {};
    for (auto& answer : pending.answers) {
        if (!answer.answered || isTemporary(answer.refusal))
            open.push_back(answer.voter);
    }
    for (auto voter : open) {
        if (voter != m_settings.self)
            sendTo(commands, voter, claim_message { requestId, query });
    }
    // The node's own vote comes last, since it can decide the claim at once.
    if (contains(open, m_settings.self)) {
        auto verdict = m_table.vote(requestId, query, historyComplete(keyOf(query), now), now);
        onVerdict(requestId, m_settings.self, verdict, now, commands);
    }
}

auto claim_coordinator::onVerdict(uint64_t requestId, node_key voter, const claim_verdict& verdict, time_point now, claim_command_list& commands)
    -> void
{
    auto found = m_pending.find(requestId);
    if (found == m_pending.end())
        return;
    auto& pending = found->second;
    auto answer = std::ranges::find(pending.answers, voter, &voter_answer::voter);
    // A vote is final; a delayed copy of an earlier refusal does not cancel it.
    if (answer == pending.answers.end() || answer->voted)
        return;
    answer->answered = true;
    answer->voted = verdict.decision == claim_decision::Dispatch;
    answer->refusal = verdict.code;

    // A kept answer of one voter decides the claim, and so does a key that was used for two different requests.
    if (verdict.decision == claim_decision::Replay || verdict.code == result_code::IdempotencyKeyReused) {
        decide(requestId, verdict, now, commands);
        return;
    }
    auto votes = static_cast<size_t>(std::ranges::count(pending.answers, true, &voter_answer::voted));
    if (votes >= m_settings.policy->quorumSize(pending.answers.size()) && now < pending.query.deadline) {
        decide(requestId, { claim_decision::Dispatch, result_code::Ok, nullptr }, now, commands);
        return;
    }
    if (canReachQuorum(pending))
        return;
    auto refusals = std::vector<result_code> {};
    for (auto& entry : pending.answers)
        refusals.push_back(entry.refusal);
    decide(requestId, { claim_decision::Refuse, mostInformativeRefusal(refusals, pending.query.attempt), nullptr }, now, commands);
}

auto claim_coordinator::decide(uint64_t requestId, const claim_verdict& verdict, time_point now, claim_command_list& commands) -> void
{
    auto pending = std::move(m_pending.at(requestId));
    m_pending.erase(requestId);
    if (verdict.decision == claim_decision::Dispatch)
        m_dispatched[keyOf(pending.query)] = requestId;
    addDecision(commands, requestId, verdict);
    // Releases the votes of a refused claim; the record also releases votes that are granted later.
    if (verdict.decision == claim_decision::Refuse && verdict.code != result_code::IdempotencyKeyReused)
        distribute({ requestId, pending.query, claim_end::NotRun, std::nullopt, never }, now, commands);
}

auto claim_coordinator::canReachQuorum(const pending_claim& pending) const -> bool
{
    auto refused = std::ranges::count_if(pending.answers, [](auto& answer) {
        return answer.answered && !answer.voted && !isTemporary(answer.refusal);
    });
    auto needed = m_settings.policy->quorumSize(pending.answers.size());
    return pending.answers.size() - static_cast<size_t>(refused) >= needed;
}

// Sends the record of how a claim ended to the other voters of the key until they acknowledge it or `recordRetryLimit` has passed.
// Stores it here at once if this node is a voter too.
auto claim_coordinator::distribute(claim_record_message message, time_point now, claim_command_list& commands) -> void
{
    auto receivers = m_voters.choose(keyOf(message.query));
    if (std::erase(receivers, m_settings.self) > 0)
        m_table.record(message, now);
    for (auto voter : receivers)
        sendTo(commands, voter, message);
    if (receivers.empty() || m_unconfirmed.size() >= maxUnconfirmed)
        return;
    auto requestId = message.requestId;
    m_unconfirmed[requestId] = { std::move(message), std::move(receivers), now + resendInterval, now + recordRetryLimit };
}

auto claim_coordinator::onClaim(node_key sender, const claim_message& message, time_point now, claim_command_list& commands) -> void
{
    auto verdict = m_table.vote(message.requestId, message.query, historyComplete(keyOf(message.query), now), now);
    sendTo(commands, sender, claim_verdict_message { message.requestId, std::move(verdict) });
}

auto claim_coordinator::onRecord(node_key sender, const claim_record_message& message, time_point now, claim_command_list& commands) -> void
{
    auto held = m_table.record(message, now);
    sendTo(commands, sender, claim_record_ack_message { message.requestId, held });
}

auto claim_coordinator::onAck(node_key sender, const claim_record_ack_message& message) -> void
{
    auto found = m_unconfirmed.find(message.requestId);
    if (found == m_unconfirmed.end())
        return;
    std::erase(found->second.receivers, sender);
    if (found->second.receivers.empty())
        m_unconfirmed.erase(found);
}

auto claim_coordinator::resendRecords(time_point now, claim_command_list& commands) -> void
{
    std::erase_if(m_unconfirmed, [&](auto& entry) { return now >= entry.second.giveUpAt; });
    for (auto& [requestId, record] : m_unconfirmed) {
        if (now < record.resendAt)
            continue;
        for (auto voter : record.receivers)
            sendTo(commands, voter, record.message);
        // Waits at least twice the first interval before each further resend.
        record.resendAt = now + (resendInterval + (now - record.resendAt)) * 2;
    }
}

} // namespace gypsumhub
