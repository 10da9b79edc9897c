#pragma once

#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/proxy/request_reader.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumhub {

/// The answer to a caller.
using caller_reply = http::response<http::string_body>;

/// One caller's request from its arrival to its answer: finds its route, waits for a target, sends it, and sends it again
/// where that is allowed. It says *not run* (503) only when no target can have begun to run it.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    request_handler(gateway_context&, inbound_message, time_point arrivedAt);

    auto run() -> task<caller_reply>;
    /// The caller has closed its connection: waiting ends, and work that may be repeated is broken off.
    auto callerLeft() -> void;

private:
    enum class attempt_end : uint8_t {
        /// The answer is for the caller.
        Final,
        /// The target did not run the request.
        NotRun,
        /// The target may have run it and failed; only a repeatable request may go on.
        Failed,
        /// The connection could not be opened.
        NotSent,
    };

    /// Waits for routes and targets when the node has just started.
    auto awaitStart() -> task<>;
    auto readTimes() -> void;
    auto placeRequest() -> placement_request;
    auto serve() -> task<caller_reply>;
    auto attempt(std::shared_ptr<target_state>) -> task<attempt_end>;
    auto openLink(target_state&) -> task<std::shared_ptr<target_link>>;
    auto classify(target_state&, exchange_result&, time_point sentAt) -> attempt_end;
    auto classifyAnswer(target_state&, exchange_result&, time_point sentAt) -> attempt_end;
    auto recordLost(target_state&, const exchange_result&, time_point sentAt) -> void;
    auto handleStall() -> void;
    auto mayRetry() -> bool;
    auto acquireRetry() -> bool;

    auto makeReply(unsigned status) const -> caller_reply;
    auto refuse(std::string_view reason, duration retryAfter) -> caller_reply;
    auto failure() -> caller_reply;
    auto logPlacement(const target_state&, double probabilityBad) -> void;
    auto recordEnd(const caller_reply&) -> void;

    gateway_context& m_context;
    inbound_message m_request;
    std::string m_id;
    time_point m_arrivedAt;
    /// When the caller or the route's limit ends the request.
    time_point m_deadline;
    std::shared_ptr<const route_table> m_routes;
    const route* m_route { nullptr };
    service_dispatcher* m_dispatcher { nullptr };
    std::shared_ptr<const std::string> m_body;
    std::vector<std::string> m_tried;
    uint32_t m_sent { 0 };
    uint32_t m_connectFailures { 0 };
    /// A target may have begun to run the request.
    bool m_mayHaveRun { false };
    bool m_callerLeft { false };
    /// The next repeat was taken from the allowance already.
    bool m_hasRetry { false };
    exchange_result m_last;
    std::shared_ptr<placement_wait> m_wait;
    std::shared_ptr<target_link> m_link;
    std::string m_reason;
    /// Its lines are written also when it goes well.
    bool m_isSampled;
    /// Lines on where the request was sent, kept until it is known whether it fails.
    std::vector<boost::json::object> m_deferredLines;
};

} // namespace gypsumhub
