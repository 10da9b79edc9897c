#pragma once

#include "gypsumhub/fleet/peer_message.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace gypsumhub {

/// Distance between two nodes, by the cost of the link between them.
enum class peer_distance : uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

constexpr auto peerDistanceCount = std::size_t { 3 };
constexpr auto peerMessageKindCount = std::variant_size_v<peer_message>;

/// Name of a kind of message by its index in `peer_message`, in kebab case; for metrics.
auto peerMessageKindName(std::size_t kind) -> std::string_view;

/// Name of a distance in kebab case; for metrics.
auto toString(peer_distance) -> std::string_view;

/// Counts the control messages and bytes sent, by kind and distance. Thread-safe.
class control_meter {
public:
    /// Counts one message that was sent.
    auto count(std::size_t kind, peer_distance, std::size_t bytes) -> void;
    /// Counts bytes that frames and calls add around the messages.
    auto countOverhead(peer_distance, std::size_t bytes) -> void;

    auto messages(std::size_t kind, peer_distance) const -> uint64_t;
    auto bytes(std::size_t kind, peer_distance) const -> uint64_t;
    auto overheadBytes(peer_distance) const -> uint64_t;
    /// All bytes sent, overhead included.
    auto totalBytes() const -> uint64_t;

private:
    /// Totals for one kind and distance.
    struct cell {
        std::atomic<uint64_t> messages { 0 };
        std::atomic<uint64_t> bytes { 0 };
    };

    std::array<std::array<cell, peerDistanceCount>, peerMessageKindCount> m_kinds {};
    std::array<std::atomic<uint64_t>, peerDistanceCount> m_overhead {};
};

} // namespace gypsumhub
