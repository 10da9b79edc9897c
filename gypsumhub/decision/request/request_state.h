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
    /// Send the caller the answer that was just received.
    Answer,
    /// Send the caller the last complete error answer, which the proxy kept when it started a retry.
    AnswerKept,
    /// Start another attempt at a target that was not tried yet.
    RetryOnOtherTarget,
    /// Start another attempt at the same target on a new connection.
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

/// How far one attempt got.
enum class attempt_state : uint8_t {
    /// No byte was sent to the target.
    NotSent,
    /// At least one byte may have reached the target.
    Sent,
    /// The target's complete answer was received.
    Answered,
    /// The target answered that it did not run the request.
    Declined,
    /// Sent, and ended without a complete answer.
    Lost,
};

/// State of one request over all of its attempts. Decides retries and refusals, so that a reported "not run" is always true and a
/// request that is not idempotent is never sent again after its first byte, unless the target declined it. Not thread-safe.
class request_state {
public:
    /// Maximum number of attempts per request.
    static constexpr auto maxAttempts = uint32_t { 4 };

    /// Properties of the request that limit its attempts.
    struct settings {
        bool idempotent { false };
        time_point deadline;
    };

    explicit request_state(settings);

    /// Starts an attempt, for which a target is chosen next, and returns its number. Returns nothing when no attempts are left or
    /// the request must not be sent again.
    auto startAttempt() -> std::optional<uint32_t>;

    /// Must be called right before the attempt's first byte is written, and again after any wait in between. True: the
    /// attempt counts as sent and the byte may be written. False: the deadline has passed; end the attempt as `Cancelled`.
    auto permitSend(uint32_t attempt, time_point now) -> bool;

    /// Marks that bytes of an answer are sent to the caller from now on, so that no further retry is possible.
    auto markForwarding() -> void;

    /// Ends an attempt and returns the next step. `Overdue` is not an end and must not be passed.
    auto endAttempt(uint32_t attempt, attempt_result, bool reusedConnection, time_point now, retry_budget&) -> next_step;

    /// The next step when no attempt can be started, because of `reason`. A code that means "not run" is replaced when an
    /// attempt may have run. A kept error answer takes precedence over any refusal.
    auto refuse(result_code reason) const -> next_step;

    /// Whether a hedge may be started beside the attempt that is running.
    auto mayHedge() const -> bool;

    /// The state of an attempt.
    auto stateOf(uint32_t attempt) const -> attempt_state;

    /// Whether every attempt was unsent or declined.
    auto provedNotRun() const -> bool;

    auto idempotent() const -> bool { return m_settings.idempotent; }
    auto deadline() const -> time_point { return m_settings.deadline; }
    auto attempts() const -> uint32_t { return m_attempts; }

private:
    /// One attempt; `running` until `endAttempt`.
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
    auto refuseOrWait(result_code reason) const -> next_step;

    settings m_settings;
    std::array<attempt_entry, maxAttempts> m_entries {};
    uint32_t m_attempts { 0 };
    bool m_forwarding { false };
    bool m_keptErrorAnswer { false };
    // The code of the latest attempt that may have run; `Ok` while there is none.
    result_code m_lostCode { result_code::Ok };
};

} // namespace gypsumhub
