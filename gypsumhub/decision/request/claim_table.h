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

/// One voter's table of idempotency keys: which claim holds each key, how it ended, and the answer. Bounded in entries and in
/// bytes of answers. Entries are never evicted before they expire; a full table refuses new keys instead.
class claim_table {
public:
    /// Limits of the table.
    struct settings {
        size_t maxEntries { 50'000 };
        size_t maxAnswerBytes { 16 * 1024 * 1024 };
        /// How long after its deadline a caller may resend a request.
        duration retention { minutes(2) };
    };

    claim_table(settings, std::shared_ptr<const claim_policy>);

    /// Answers a claim with this voter's vote, the kept answer or a refusal. Idempotent: the same claim gets the same vote again.
    auto vote(uint64_t requestId, const claim_query&, bool historyComplete, time_point now) -> claim_verdict;

    /// Stores the state of a claim. Returns false when the table is full and the record was not stored.
    auto record(const claim_record_message&, time_point now) -> bool;

    /// Removes expired entries.
    auto expire(time_point now) -> void;

    /// The records of all held keys that `filter` accepts, for another voter.
    auto recordsFor(const std::function<bool(const claim_key&)>& filter) const -> std::vector<claim_record_message>;

    auto size() const -> size_t { return m_entries.size(); }
    auto answerBytes() const -> size_t { return m_answerBytes; }

    /// Hash of the content; equal tables have equal fingerprints. For the model check.
    auto fingerprint() const -> uint64_t;

private:
    /// The state of one key.
    struct entry {
        uint64_t requestDigest { 0 };
        // The claim that may be or was dispatched; 0 when none holds the key.
        uint64_t holder { 0 };
        uint32_t holderAttempt { 0 };
        time_point holderDeadline;
        // The latest claim that ended without running; a delayed copy of its message must not hold the key again.
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
    // Keys with kept answers, oldest first; may contain keys whose answer was removed.
    std::deque<claim_key> m_answerOrder;
    size_t m_answerBytes { 0 };
};

} // namespace gypsumhub
