#pragma once

#include "gypsumhub/decision/request/request_state.h"
#include "gypsumhub/proxy/answer_sink.h"
#include "gypsumhub/proxy/caller_answer.h"
#include "gypsumhub/proxy/caller_request.h"
#include "gypsumhub/proxy/request_cancellation.h"
#include "gypsumhub/proxy/thread_resources.h"

#include <optional>
#include <span>
#include <vector>

namespace gypsumhub {

/// Forwards a request for a service that this node does not serve to a member of the serving group. The member dispatches and
/// retries. Another member is tried only when the first one provably did not run the request, or failed and the request is
/// idempotent.
class peer_hop {
public:
    /// The request's deadline must be set. `service` must outlive the call.
    peer_hop(thread_resources&, const caller_request&, const service_view& service, answer_sink&, request_cancellation&);

    /// Returns the member's answer, or a refusal.
    auto run() -> task<caller_answer>;

private:
    // Result of forwarding to one member. `answer` is empty when the exchange failed.
    struct hop_outcome {
        next_step next;
        std::optional<caller_answer> answer;
        bool streamed { false };
    };

    auto orderedMembers() -> std::vector<member_view>;
    auto forwardToMember(const member_view&) -> task<hop_outcome>;
    auto mayTryAnotherMember(const caller_answer&) const -> bool;

    thread_resources& m_thread;
    const caller_request& m_request;
    const service_view& m_service;
    answer_sink& m_sink;
    request_cancellation& m_cancellation;
    request_state m_state;
    http::request_header<> m_head;
};

} // namespace gypsumhub
