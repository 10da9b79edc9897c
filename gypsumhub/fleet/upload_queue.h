#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/configuration_source.h"
#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/peer_message.h"

#include <array>
#include <cstdint>
#include <deque>

namespace gypsumhub {

/// Largest number of parts sent for one request.
constexpr auto partsPerRequest = uint32_t { 8 };

/// Answers requests for revisions in order of arrival, at a bounded rate for each distance.
class upload_queue {
public:
    /// Rate limit for each distance, in bytes per second.
    using rates = std::array<int64_t, peerDistanceCount>;

    explicit upload_queue(const rates&);

    /// Queues a request; a peer's later request replaces its earlier one. When the queue is full the request is dropped, and the
    /// peer asks another node after its timeout.
    auto add(node_key requester, const revision_request_message&, peer_distance) -> void;

    /// Sends the parts that the rate limits allow at `now`.
    auto serve(const configuration_source&, peer_sender&, time_point now) -> void;

private:
    /// A queued request of a peer.
    struct waiting_request {
        node_key requester;
        revision_request_message request;
        peer_distance distance;
    };

    auto sendParts(const waiting_request&, const configuration_source&, peer_sender&) -> int64_t;

    rates m_rates;
    /// For each distance, the time up to which the sent bytes have used the rate.
    std::array<time_point, peerDistanceCount> m_busyUntil {};
    std::deque<waiting_request> m_waiting;
};

} // namespace gypsumhub
