#pragma once

#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/configuration_source.h"
#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/peer_message.h"

#include <array>
#include <cstdint>
#include <deque>

namespace gypsumhub {

/// Parts that one request asks for.
constexpr auto partsPerRequest = uint32_t { 8 };

/// Answers requests for revisions in order of arrival, at a bounded rate for each distance.
class upload_queue {
public:
    /// Bytes a second that may go to each distance.
    using rates = std::array<int64_t, peerDistanceCount>;

    explicit upload_queue(const rates&);

    /// Queues a request; a peer's later request replaces its earlier one. Above the limit of waiting peers it is dropped, and the
    /// peer asks another node after its deadline.
    auto add(node_key requester, const revision_request_message&, peer_distance) -> void;

    /// Sends what the rates allow by `now`.
    auto serve(const configuration_source&, peer_sender&, time_point now) -> void;

private:
    struct waiting_request {
        node_key requester;
        revision_request_message request;
        peer_distance distance;
    };

    auto sendParts(const waiting_request&, const configuration_source&, peer_sender&) -> int64_t;

    rates m_rates;
    /// For each distance the instant up to which the bytes already sent have used the rate.
    std::array<time_point, peerDistanceCount> m_busyUntil {};
    std::deque<waiting_request> m_waiting;
};

} // namespace gypsumhub
