#pragma once

#include "gypsumhub/decision/selection/allowance_message.h"
#include "gypsumhub/decision/selection/confirmation_message.h"
#include "gypsumhub/decision/selection/crash_report.h"
#include "gypsumhub/decision/selection/leaving_targets.h"
#include "gypsumhub/decision/selection/membership_view.h"
#include "gypsumhub/decision/selection/permit_message.h"
#include "gypsumhub/decision/selection/registration_view.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gypsumhub {

/// The outcome of a request as reported by one node to the others.
struct peer_outcome {
    std::string target;
    uint64_t incarnation { 0 };
    bool failed { false };
    /// When the request was sent to the target, by the receiver's boot-time clock.
    time_point sentAt;
};

/// Requests that a target ran to the end, and so do not crash it.
struct exonerations {
    std::vector<request_fingerprint> fingerprints;
};

/// A datagram from another node.
struct node_datagram {
    std::string sender;
    std::variant<node_hello, std::vector<peer_outcome>, std::vector<view_change>, std::vector<crash_report>, exonerations, std::vector<quarantined_request>,
        std::vector<target_limit>, permit_request, permit_grant, std::vector<leaving_target>, configuration_age_request, configuration_age, credit_request, credit_grant, lease_request, lease_grant>
        content;
};

/// Encodes a datagram. Points in time are sent as ages, since clocks differ between machines; the ends of quarantines as the whole seconds
/// that remain.
auto encodeDatagram(const node_datagram&, time_point now) -> std::string;

/// Decodes a datagram, or returns nullopt when the bytes are malformed. Drops entries beyond the limits below.
auto decodeDatagram(std::string_view bytes, time_point now) -> std::optional<node_datagram>;

/// Registrations, outcomes or crash reports that fit into one datagram without IP fragmentation.
constexpr auto maxDatagramEntries = size_t { 5 };

/// Fingerprints in one datagram: as exonerations, or in flight in all its crash reports together.
constexpr auto maxDatagramFingerprints = size_t { 32 };

/// Quarantined requests in one datagram.
constexpr auto maxDatagramQuarantines = size_t { 16 };

/// Quarantines from other nodes end after this time at the latest.
constexpr auto maxReceivedQuarantine = minutes(60);

} // namespace gypsumhub
