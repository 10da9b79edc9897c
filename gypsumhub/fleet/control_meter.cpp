#include "gypsumhub/fleet/control_meter.h"

#include <cassert>

namespace gypsumhub {

namespace {

    constexpr auto kindNames = std::array<std::string_view, peerMessageKindCount> { "evidence", "claim", "claim-verdict",
        "claim-record", "claim-record-ack", "digest", "revision-request", "revision-part", "ping", "ping-ack", "membership" };

    constexpr auto distanceNames
        = std::array<std::string_view, peerDistanceCount> { "same-data-centre", "same-region", "other-region" };

} // namespace

auto peerMessageKindName(std::size_t kind) -> std::string_view
{
    assert(kind < kindNames.size());
    return kindNames[kind];
}

auto toString(peer_distance distance) -> std::string_view
{
    return distanceNames[static_cast<std::size_t>(distance)];
}

auto control_meter::count(std::size_t kind, peer_distance distance, std::size_t bytes) -> void
{
    auto& cell = m_kinds[kind][static_cast<std::size_t>(distance)];
    cell.messages.fetch_add(1, std::memory_order_relaxed);
    cell.bytes.fetch_add(bytes, std::memory_order_relaxed);
}

auto control_meter::countOverhead(peer_distance distance, std::size_t bytes) -> void
{
    m_overhead[static_cast<std::size_t>(distance)].fetch_add(bytes, std::memory_order_relaxed);
}

auto control_meter::messages(std::size_t kind, peer_distance distance) const -> uint64_t
{
    return m_kinds[kind][static_cast<std::size_t>(distance)].messages.load(std::memory_order_relaxed);
}

auto control_meter::bytes(std::size_t kind, peer_distance distance) const -> uint64_t
{
    return m_kinds[kind][static_cast<std::size_t>(distance)].bytes.load(std::memory_order_relaxed);
}

auto control_meter::overheadBytes(peer_distance distance) const -> uint64_t
{
    return m_overhead[static_cast<std::size_t>(distance)].load(std::memory_order_relaxed);
}

auto control_meter::totalBytes() const -> uint64_t
{
    auto total = uint64_t { 0 };
    for (auto& kind : m_kinds) {
        for (auto& cell : kind)
            total += cell.bytes.load(std::memory_order_relaxed);
    }
    for (auto& bytes : m_overhead)
        total += bytes.load(std::memory_order_relaxed);
    return total;
}

} // namespace gypsumhub
