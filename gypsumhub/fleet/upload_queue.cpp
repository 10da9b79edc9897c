#include "gypsumhub/fleet/upload_queue.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto maxWaitingRequests = std::size_t { 64 };
    constexpr auto nsPerSecond = int64_t { 1'000'000'000 };

} // namespace

upload_queue::upload_queue(const rates& bytesPerSecond)
    : m_rates(bytesPerSecond)
{
}

auto upload_queue::add(node_key requester, const revision_request_message& request, peer_distance distance) -> void
{
    auto known = std::ranges::find(m_waiting, requester, &waiting_request::requester);
    if (known != m_waiting.end()) {
        known->request = request;
        return;
    }
    if (m_waiting.size() < maxWaitingRequests)
        m_waiting.push_back({ requester, request, distance });
}

auto upload_queue::serve(const configuration_source& source, peer_sender& sender, time_point now) -> void
{
    std::erase_if(m_waiting, [&](auto& waiting) {
        auto distanceIndex = static_cast<std::size_t>(waiting.distance);
        auto& busyUntil = m_busyUntil[distanceIndex];
        if (busyUntil > now)
            return false;
        auto bytes = sendParts(waiting, source, sender);
        busyUntil = std::max(busyUntil, now) + duration { bytes * nsPerSecond / m_rates[distanceIndex] };
        return true;
    });
}

auto upload_queue::sendParts(const waiting_request& waiting, const configuration_source& source, peer_sender& sender) -> int64_t
{
    auto& request = waiting.request;
    auto parts = source.partsTo(request.wanted, request.have);
    if (!parts)
        return 0;
    auto end = std::min(parts->count(), request.fromChunk + partsPerRequest);
    auto bytes = int64_t { 0 };
    for (auto index = request.fromChunk; index < end; ++index) {
        auto message = revision_part_message { parts->revision(), request.have, index, parts->count(), parts->part(index) };
        bytes += static_cast<int64_t>(message.bytes.size());
        sender.send(waiting.requester, std::move(message));
    }
    return bytes;
}

} // namespace gypsumhub
