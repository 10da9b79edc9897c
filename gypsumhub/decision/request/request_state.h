#pragma once

#include "gypsumhub/core/result_code.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/decision/attempt_report.h"
#include "gypsumhub/decision/request/retry_budget.h"

#include <array>
#include <cstdint>
#include <optional>

namespace gypsumhub {

/// What to do with a request after one of its attempts ended.
enum class request_step : uint8_t {
    /// Give the caller the answer that just came.
    Answer,
    /// Give the caller the last complete error answer, which the proxy kept when it was told to retry.
    AnswerKept,
    /// Start another attempt at a target that was not tried yet.
    RetryOnOtherTarget,
    /// Start another attempt at the same target, on a connection that carried nothing yet.
    RetryOnNewConnection,
    /// Wait: another attempt of this request is still running.
    Wait,
    /// Refuse with the code.
    Refuse,
};

/// The next step of a request.
struct next_step {
    request_step step { request_step::Refuse };
    /// The code to refuse with; `Ok` unless `step` is `Refuse`.
    result_code code { result_code::Ok };
};

/// What is known of one attempt.
enum class attempt_state : uint8_t {
    /// No byte went to the target.
    NotSent,
    /// At least one byte may have reached the target.
    Sent,
    /// The target's complete answer came.
    Answered,
    /// The target said that it did not run the request.
    Declined,
    /// Sent, and ended without a complete answer.
    Lost,
};

/// How one request stands over all of its attempts: decides retries and refusals so that "not run" is always true and a
/// request that is not idempotent is never sent again after its first byte, unless the target declined it. One thread at a time.
class request_state {
public:
    /// Attempts that one request may make.
    static constexpr auto maxAttempts = uint32_t { 4 };

    struct settings {
        bool idempotent { false };
        time_point deadline;
    };

    explicit request_state(settings);

    /// Registers an attempt that will choose a target now and returns its number, or nothing when the request has had its
    /// last attempt or may not be sent again.
    auto startAttempt() -> std::optional<uint32_t>;

    /// Must be called right before the attempt's first byte is written, and again after any wait in between. True: the
    /// attempt counts as sent and the byte may go. False: the deadline has passed; end the attempt as `Cancelled`.
    auto permitSend(uint32_t attempt, time_point now) -> bool;

    /// From now on bytes of an answer go to the caller; nothing is retried any more.
    auto markForwarding() -> void;

    /// An attempt ended. `Overdue` is not an end and must not be given here.
    auto endAttempt(uint32_t attempt, attempt_result, bool reusedConnection, time_point now, retry_budget&) -> next_step;

    /// The refusal when no attempt can be started, for the reason that `wanted` names. A code that means "not run" is
    /// replaced when an attempt may have run, and a kept error answer goes before any refusal.
    auto refuse(result_code wanted) const -> next_step;

    /// Whether a hedge may be started beside the attempt that is running.
    auto mayHedge() const -> bool;

    /// What is known of an attempt.
    auto stateOf(uint32_t attempt) const -> attempt_state;

    /// Whether every attempt was unsent or declined.
    auto provedNotRun() const -> bool;

    auto idempotent() const -> bool { return m_settings.idempotent; }
    auto deadline() const -> time_point { return m_settings.deadline; }
    auto attempts() const -> uint32_t { return m_attempts; }

private:
    struct attempt_entry {
        attempt_state state { attempt_state::NotSent };
        bool running { false };
    };

    auto anyRunning() const -> bool;
    auto mayRetry(time_point now) const -> bool;
    auto afterNotSent(attempt_result, time_point now) -> next_step;
    auto afterDeclined(result_code, time_point now, retry_budget&) -> next_step;
    auto afterErrorAnswer(time_point now, retry_budget&) -> next_step;
    auto afterLost(attempt_result, bool reusedConnection, time_point now, retry_budget&) -> next_step;
    auto refuseOrWait(result_code wanted) const -> next_step;

    settings m_settings;
    std::array<attempt_entry, maxAttempts> m_entries {};
    uint32_t m_attempts { 0 };
    bool m_forwarding { false };
    bool m_keptErrorAnswer { false };
    // The code of the latest attempt that may have run; `Ok` while there is none.
    result_code m_lostCode { result_code::Ok };
};

} // namespace gypsumhub
