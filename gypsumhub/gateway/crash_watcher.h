#pragma once

#include "gypsumhub/gateway/gateway_context.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace gypsumhub {

/// Finds out whether a target that lost a request has crashed, and exchanges crash reports and quarantines with the other nodes.
///
/// A target that resets one connection still accepts others; one that has crashed refuses them. A target that does not respond at
/// all may be cut off and is not reported. Sends nothing while no target crashes and no request is quarantined.
class crash_watcher {
public:
    using sender = std::function<void(const node_datagram&, std::span<const node_registration>)>;

    crash_watcher(gateway_context&, sender);

    /// A request ended without an answer since its connection to the target ended. Checks whether the target has crashed.
    auto checkTarget(std::shared_ptr<target_state>, const request_identity&) -> void;
    /// A target answered the request with success.
    auto recordSuccess(const request_identity&) -> void;
    /// Takes what another node has sent, and passes on to this data centre what comes from another one.
    auto handleDatagram(const node_datagram&) -> void;
    /// Repeats recent reports, since datagrams can be lost, and sends the quarantines to nodes that may not know them.
    auto tick(time_point now) -> void;

private:
    /// A connection attempt to a target that lost requests.
    struct pending_check {
        std::shared_ptr<target_state> target;
        time_point lostAt;
        std::vector<request_fingerprint> inFlight;
    };

    /// A datagram that is sent again.
    struct repeated_message {
        node_datagram datagram;
        uint32_t remaining { 0 };
    };

    auto connectTo(endpoint) -> task<error_code>;
    auto runCheck(std::string targetId) -> task<>;
    auto reportCrash(const pending_check&) -> void;
    auto sendReport(const crash_report&) -> void;
    auto sendRepeatedly(node_datagram) -> void;
    auto sendToFleet(const node_datagram&) -> void;
    /// Sends soon that the request is harmless, unless this was sent a moment ago.
    auto queueExoneration(const request_fingerprint&, time_point now) -> void;
    auto sendExonerations() -> void;
    auto logQuarantines(std::span<const quarantined_request>) -> void;

    gateway_context& m_context;
    sender m_send;
    std::map<std::string, pending_check, std::less<>> m_checks;
    std::deque<repeated_message> m_repeated;
    std::vector<request_fingerprint> m_exonerated;
    /// When exonerations were queued last.
    std::map<request_fingerprint, time_point> m_exoneratedAt;
    std::set<request_fingerprint> m_logged;
    time_point m_nextRepeatAt {};
    time_point m_nextQuarantinesAt {};
};

} // namespace gypsumhub
