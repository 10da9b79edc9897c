#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/decision/selection/permit_issuer.h"
#include "gypsumhub/gateway/gateway_context.h"

#include <functional>
#include <map>
#include <span>

namespace gypsumhub {

/// Reads the rate limits that targets state in their answers, makes them known to the other nodes, and exchanges the permits to send
/// requests to these targets. Sends nothing while no target states a limit.
class limit_watcher {
public:
    using sender = std::function<void(const node_datagram&, std::span<const node_registration>)>;

    limit_watcher(gateway_context&, sender);

    /// Handles the head of the target's answer to a request that was sent at `sentAt`. Only the absence of a limit in an answer that
    /// bears the target's signature ends the limit.
    auto handleAnswer(const target_registration&, const http::response_header<>& head, time_point sentAt) -> void;
    /// Whether the datagram is about limits or permits.
    static auto handles(const node_datagram&) -> bool;
    auto handleDatagram(const node_datagram&) -> void;
    /// Requests soon the permits that the dispatchers need.
    auto requestPermits() -> void;
    /// Gives up requests that were not answered, and the buckets of targets whose permits another node issues now.
    auto tick(time_point now) -> void;

private:
    /// Records the limit that another node reports. Returns whether it has changed.
    auto record(const target_limit&, std::string_view statedTo) -> bool;
    auto handleChange(const target_limit&, std::string_view statedTo) -> void;
    /// Sends the limit to the fleet, or only to the nodes that issue its permits, delayed if it was sent a moment ago.
    auto announce(const std::string& target, bool toFleet, time_point now) -> void;
    auto sendAnnouncements(time_point now) -> void;
    auto sendPermitRequests() -> void;
    auto sendPermitRequest(const held_permits::demand&) -> void;
    /// Grants permits if this node issues those of the target, otherwise passes the request on once.
    auto handlePermitRequest(const permit_request&) -> void;
    auto handleGrant(const permit_grant&, std::string_view issuer) -> void;
    auto sendTo(std::string_view node, const node_datagram&) -> void;
    auto issuersOf(std::string_view target, time_point now) const -> std::vector<std::string>;
    /// Places waiting requests after a permit or a limit has changed.
    auto dispatchSoon(std::string_view target) -> void;

    gateway_context& m_context;
    sender m_send;
    permit_issuer m_issuer;
    bool m_isRequestScheduled { false };
    struct announcement {
        /// The limit is not sent again earlier.
        time_point nextAt;
        bool isDue { false };
        /// A limit began or ended, which all nodes must know. Of another rate only the issuers need to know.
        bool isForFleet { false };
    };
    std::map<std::string, announcement, std::less<>> m_announcements;
    time_point m_nextPrune {};
    /// When a malformed limit was logged last.
    time_point m_malformedLoggedAt {};
};

} // namespace gypsumhub
