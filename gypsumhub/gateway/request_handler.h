#pragma once

#include "gypsumhub/core/clock.h"
#include "gypsumhub/gateway/caller_identity.h"
#include "gypsumhub/gateway/caller_reply.h"
#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/gateway/relay_fields.h"
#include "gypsumhub/gateway/request_log.h"
#include "gypsumhub/proxy/request_reader.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// Handles one request of a caller from its arrival to its answer: finds the route, waits for a target, sends the request, and
/// retries it where that is allowed. Answers 503 (not run) only when no target can have begun to run the request.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    /// `callerAddress` is the caller's IP address.
    request_handler(gateway_context&, inbound_message, std::string_view callerAddress, time_point arrivedAt);

    auto run() -> task<caller_reply>;
    /// Whether the route of the request allows it to run more than once. False while the node has no routes.
    auto isRetryable() const -> bool { return m_route && m_route->isRetryable; }
    /// Called when the caller has closed its connection. Ends the wait for a target and aborts an attempt that may be retried.
    auto handleCallerLeft() -> void;
    auto hasCallerLeft() const -> bool { return m_callerLeft; }
    /// The fields of the log line of a request that the end of the process cuts.
    auto describe() const -> boost::json::object;

private:
    // With less time left no target can run the request.
    static constexpr auto minTimeLeft = milliseconds(20);

    enum class attempt_end : uint8_t {
        /// The answer is final and goes to the caller.
        Final,
        /// The target did not run the request.
        NotRun,
        /// The target may have run the request and failed. Only a retryable request may be sent again.
        Failed,
        /// Nothing was sent: the connection failed, or by then the target drained, the caller had left or no time was left.
        NotSent,
    };

    auto findRoute() -> void;
    auto identifyCustomer() -> void;
    /// Whether the key of the request may have been removed since the configuration was last confirmed.
    auto needsConfirmation() const -> bool { return m_caller.dependsOnKey && !m_context.acceptsKeys(m_arrivedAt); }
    /// The request's body, without a copy.
    auto body() -> std::shared_ptr<const std::string> { return { shared_from_this(), &m_request.body() }; }
    /// The deadline, or the latest one that a target may be given during a shutdown if that is earlier.
    auto targetDeadline() const -> time_point;
    auto makePlacementRequest() -> placement_request;
    auto costFeatures() const -> cost_features;
    /// Estimates `m_cost` where the cost of requests is learned.
    auto estimateCost() -> void;
    /// The expected time from sending the request to its answer.
    auto expectedResponseTime() -> duration;
    /// Updates what is known of the response times of the target, and of requests like this one, after a success.
    auto recordResponseTime(target_state&, time_point sentAt, bool isComplete) -> void;
    auto serve() -> task<caller_reply>;
    auto recordLateWait(const placement&) -> void;
    auto chooseService() -> std::string_view;
    auto hasLostPaths() const -> bool { return m_context.hasLostPaths(m_dispatcher->service()); }
    /// Whether the request is to be sent to another node, since this one does not reach the targets.
    auto isToBeRelayed() const -> bool;
    /// Lets another node serve the request. Returns nullopt if none took it.
    auto relay() -> task<std::optional<caller_reply>>;
    /// The targets to which the request may be sent.
    auto maxAttempts() const -> uint32_t { return m_relayed ? std::min(m_relayed->attempts, m_route->maxAttempts) : m_route->maxAttempts; }
    auto attempt(std::shared_ptr<target_state>, time_point sendBefore) -> task<attempt_end>;
    auto openConnection(target_state&) -> task<std::shared_ptr<target_http_connection>>;
    auto classify(const std::shared_ptr<target_state>&, exchange_result&, time_point sentAt) -> attempt_end;
    auto classifyAnswer(target_state&, exchange_result&, time_point sentAt) -> attempt_end;
    auto recordLost(const std::shared_ptr<target_state>&, const exchange_result&, time_point sentAt) -> void;
    /// Called when the attempt at `stalled` takes longer than usual.
    auto handleStall(const target_state& stalled) -> void;
    /// Whether a target besides `used` and those tried before takes requests.
    auto hasOtherTarget(const target_state& used) -> bool
    {
        auto tried = m_tried;
        tried.push_back(used.registration.id);
        return m_context.balancer.choose({ m_dispatcher->service(), m_route->isRetryable, tried }, bootClockNow()).usable > 0;
    }
    auto mayRetry() -> bool;
    auto acquireRetry() -> bool;
    /// Adds to the reason of a failure that the retry budget did not allow a further attempt.
    auto withRetryDenial(std::string reason) const -> std::string;

    auto priority() const -> uint32_t { return m_caller.known ? m_caller.known->priority.value_or(m_route->priority) : m_route->priority; }
    auto refuseUnauthorized() -> caller_reply;
    /// Whether the limit of the customer applies. The credit of a relayed request was used at the node that received it from the caller.
    auto needsCredit() const -> bool { return !m_relayed && m_caller.known && m_caller.known->isLimited() && m_context.acquireAllowance; }
    /// Waits for a credit of the customer. Returns the refusal if there is none.
    auto admit() -> task<std::optional<caller_reply>>;
    auto refuse(std::string_view reason, duration retryAfter, unsigned status = 503) -> caller_reply;
    auto refuseWith(caller_reply, std::string_view reason) -> caller_reply;
    /// Refuses a request for which the targets have no capacity.
    auto refuseForCapacity(duration predictedWait) -> caller_reply;
    /// The answer of the last attempt, or without one 503 when the request did not run, otherwise 502 or 504.
    auto finalReply() -> caller_reply;
    auto recordEnd(const caller_reply&) -> void;

    gateway_context& m_context;
    inbound_message m_request;
    std::string m_id;
    std::string m_callerAddress;
    /// Set for a request that another node has relayed to this one.
    std::optional<relay_fields> m_relayed;
    request_identity m_identity;
    time_point m_arrivedAt;
    /// The arrival plus the timeout of the route, or the caller's deadline if that is earlier.
    time_point m_deadline;
    std::shared_ptr<const route_table> m_routes;
    const route* m_route { nullptr };
    caller_identity m_caller;
    /// The credit of the request may be given back until then.
    std::optional<time_point> m_creditUntil;
    service_dispatcher* m_dispatcher { nullptr };
    /// Ids of the targets chosen so far, including those that could not be reached.
    std::vector<std::string> m_tried;
    /// Attempts that were sent to a target.
    uint32_t m_sent { 0 };
    uint32_t m_connectFailures { 0 };
    /// The expected work at the latest placement. Without a value, the cost of requests of the service is not learned.
    std::optional<request_cost> m_cost;
    /// When the latest attempt was sent.
    time_point m_attemptSentAt {};
    /// A target may have begun to run the request.
    bool m_mayHaveRun { false };
    bool m_callerLeft { false };
    /// The answer is ready. It may not have been written completely.
    bool m_hasAnswer { false };
    bool m_wantsRelay { false };
    /// No other node took the request.
    bool m_isRelayDenied { false };
    /// The request was admitted to wait for a target although it would miss its latency target.
    bool m_waitedLate { false };
    /// Whether the retry budget was already charged for the next retry.
    bool m_hasRetry { false };
    /// The latest retry was not allowed by the retry budget.
    bool m_isRetryDenied { false };
    exchange_result m_last;
    /// Of the answer that goes to the caller, held until the handler is destroyed.
    buffer_budget::reservation m_answerMemory;
    std::shared_ptr<placement_wait> m_wait;
    std::shared_ptr<target_http_connection> m_connection;
    std::string m_relayedTo;
    std::string m_reason;
    request_log m_log;
    unanswered_requests::registration m_unanswered { m_context.unanswered, *this };
};

} // namespace gypsumhub
