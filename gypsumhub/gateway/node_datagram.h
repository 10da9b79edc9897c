#pragma once

#include "gypsumhub/decision/selection/membership_view.h"
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

/// A datagram from another node.
struct node_datagram {
    std::string sender;
    std::variant<node_hello, std::vector<peer_outcome>, std::vector<view_change>> content;
};

/// Encodes a datagram. Points in time are sent as ages, since clocks differ between machines.
auto encodeDatagram(const node_datagram&, time_point now) -> std::string;

/// Decodes a datagram, or returns nullopt when the bytes are malformed. Reads at most `maxDatagramEntries` entries.
auto decodeDatagram(std::string_view bytes, time_point now) -> std::optional<node_datagram>;

/// Registrations that fit into one datagram without IP fragmentation.
constexpr auto maxDatagramEntries = size_t { 5 };

} // namespace gypsumhub
