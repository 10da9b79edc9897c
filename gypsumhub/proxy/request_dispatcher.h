#pragma once

#include "gypsumhub/decision/request/request_state.h"
#include "gypsumhub/proxy/answer_sink.h"
#include "gypsumhub/proxy/caller_answer.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/connection_opener.h"
#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/target_exchange.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <memory>
#include <optional>
#include <vector>

namespace gypsumhub {

/// Dispatches one request to targets of its service: claims its idempotency key, waits for a slot, attempts and retries, and
/// makes the answer for the caller.
class request_dispatcher {
public:
    /// The request's deadline must be set. `service` is used only during construction; the other references must outlive `run`.
    request_dispatcher(thread_resources&, const caller_request&, const service_view&, answer_sink&, request_cancellation&);

    /// Returns the answer or refusal for the caller.
    auto run() -> task<caller_answer>;

private:
    // Result of one attempt and the next step that follows from it.
    struct attempt_outcome {
        next_step next;
        attempt_result result { attempt_result::Cancelled };
        target_answer answer;
    };

    auto claim() -> task<std::optional<caller_answer>>;
    auto finishClaim(const caller_answer&) -> void;
    auto attemptUntilDone() -> task<caller_answer>;
    auto attemptOnce(bool onNewConnection) -> task<attempt_outcome>;
    auto exchangeOn(target_connection&, uint32_t attempt) -> task<exchange_outcome>;
    auto limitsFor(const target_connection&) const -> exchange_limits;
    auto makeConnectionQuery(bool onNewConnection) const -> connection_query;
    auto report(attempt_result, bool reused, time_point startedAt) -> void;
    auto endAttempt(uint32_t attempt, attempt_result, bool reused) -> next_step;
    auto releaseSlot() -> void;
    auto answerFor(attempt_outcome&&) -> caller_answer;
    auto refusal(next_step) -> caller_answer;

    thread_resources& m_thread;
    proxy_context& m_context;
    const caller_request& m_request;
    answer_sink& m_sink;
    request_cancellation& m_cancellation;
    service_key m_service;
    slot_queue& m_queue;
    request_state m_state;
    http::request_header<> m_head;
    std::optional<claim_query> m_claim;
    // The acquired slot and the snapshot from which its target was chosen.
    slot_grant m_grant;
    // When the slot was acquired (steady clock).
    time_point m_slotSince;
    std::vector<vm_key> m_tried;
    // The last complete error answer; returned if no other target answers.
    target_answer m_keptError;
    std::shared_ptr<const kept_answer> m_answerToKeep;
};

} // namespace gypsumhub
