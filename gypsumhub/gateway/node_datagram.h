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

/// The outcome of a request as one node tells it to the others.
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

/// The bytes of a datagram. Instants travel as ages, since clocks differ between machines.
auto encodeDatagram(const node_datagram&, time_point now) -> std::string;

/// The datagram in the bytes, or nothing when they cannot be read. Never more than `maxDatagramEntries` entries are taken.
auto decodeDatagram(std::string_view bytes, time_point now) -> std::optional<node_datagram>;

/// Registrations that fit into one datagram without fragments.
constexpr auto maxDatagramEntries = size_t { 5 };

} // namespace gypsumhub
