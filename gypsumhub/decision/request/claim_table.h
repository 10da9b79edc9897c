#pragma once

#include "gypsumhub/decision/request/claim_message.h"
#include "gypsumhub/decision/request/claim_policy.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsumhub {

/// An idempotency key within its service.
struct claim_key {
    service_key service;
    std::string idempotencyKey;

    auto operator<=>(const claim_key&) const = default;
};

/// What one voter remembers of idempotency keys: who may dispatch each, how it ended, and the answer. Bounded in entries and
/// in bytes of answers; a claim is never forgotten before its time, a full table refuses instead.
class claim_table {
public:
    struct settings {
        size_t maxEntries { 50'000 };
        size_t maxAnswerBytes { 16 * 1024 * 1024 };
        /// How long after its deadline a request may be resent by its caller.
        duration retention { minutes(2) };
    };

    claim_table(settings, std::shared_ptr<const claim_policy>);

    /// Answers a claim with this voter's vote, the kept answer or a refusal. The same claim asked again gets its vote again.
    auto vote(uint64_t requestId, const claim_query&, bool historyComplete, time_point now) -> claim_verdict;

    /// Learns how a claim stands. False when the table is full and the record was not taken.
    auto record(const claim_record_message&, time_point now) -> bool;

    /// Forgets what is past its time.
    auto expire(time_point now) -> void;

    /// The records of all keys that `wanted` accepts, for another voter.
    auto recordsFor(const std::function<bool(const claim_key&)>& wanted) const -> std::vector<claim_record_message>;

    auto size() const -> size_t { return m_entries.size(); }
    auto answerBytes() const -> size_t { return m_answerBytes; }

    /// Hash of the whole content; equal tables have equal fingerprints. For the model check.
    auto fingerprint() const -> uint64_t;

private:
    struct entry {
        uint64_t requestDigest { 0 };
        // The claim that may be dispatched or was; 0 when none holds the key.
        uint64_t holder { 0 };
        uint32_t holderAttempt { 0 };
        time_point holderDeadline;
        // The claim that last ended without a run; a late copy of its message must not take the key again.
        uint64_t lastReleased { 0 };
        uint32_t notRunThrough { 0 };
        std::optional<claim_end> end;
        std::shared_ptr<const kept_answer> answer;
        time_point keptUntil;
    };
    using entry_map = std::map<claim_key, entry>;

    auto find(const claim_key&, time_point now) -> entry*;
    auto create(const claim_key&, uint64_t requestDigest) -> entry*;
    auto hold(entry&, uint64_t requestId, const claim_query&, time_point now) -> void;
    auto voteOnHeld(const entry&, uint64_t requestId, time_point now) const -> claim_verdict;
    auto release(entry&, const claim_record_message&) -> void;
    auto keepAnswer(const claim_key&, entry&, const kept_answer&) -> void;
    auto dropAnswer(entry&) -> void;
    auto erase(entry_map::iterator) -> entry_map::iterator;

    settings m_settings;
    std::shared_ptr<const claim_policy> m_policy;
    entry_map m_entries;
    // Keys with kept answers, oldest first; may name keys whose answer is gone.
    std::deque<claim_key> m_answerOrder;
    size_t m_answerBytes { 0 };
};

} // namespace gypsumhub
