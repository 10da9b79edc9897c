#include "gypsumhub/decision/selection/arrival_queue.h"

#include <algorithm>
#include <tuple>

namespace gypsumhub {

namespace {

    // Memory for waiting requests; at this length the last one would wait for minutes anyway.
    constexpr auto mostWaiting = size_t { 512 };

    auto rank(const waiting_request& request)
    {
        return std::tuple(request.priority, request.giveUpAt, request.ticket);
    }

    auto goesBefore(const waiting_request& a, const waiting_request& b) -> bool
    {
        return rank(a) < rank(b);
    }

} // namespace

auto arrival_queue::judge(const waiting_request& arrival, const service_room& room) const -> arrival_verdict
{
    auto verdict = arrival_verdict { false, room.meanWork };
    if (room.usable == 0)
        return verdict;
    auto ahead = std::ranges::lower_bound(m_waiting, arrival, goesBefore) - m_waiting.begin();
    // The targets of this node finish one request every `meanWork / inFlight`.
    verdict.predictedWait = room.meanWork * (ahead + 1) / std::max<int64_t>(room.inFlight, 1);
    verdict.mayWait = m_waiting.size() < mostWaiting && arrival.arrivedAt + verdict.predictedWait <= arrival.giveUpAt;
    return verdict;
}

auto arrival_queue::add(const waiting_request& request) -> void
{
    m_waiting.insert(std::ranges::upper_bound(m_waiting, request, goesBefore), request);
}

auto arrival_queue::remove(uint64_t ticket) -> void
{
    std::erase_if(m_waiting, [&](auto& waiting) { return waiting.ticket == ticket; });
}

auto arrival_queue::first() const -> std::optional<waiting_request>
{
    return m_waiting.empty() ? std::nullopt : std::optional(m_waiting.front());
}

auto arrival_queue::takeExpired(time_point now) -> std::vector<waiting_request>
{
    auto expired = std::vector<waiting_request> {};
    std::ranges::copy_if(m_waiting, std::back_inserter(expired), [&](auto& waiting) { return waiting.giveUpAt <= now; });
    std::erase_if(m_waiting, [&](auto& waiting) { return waiting.giveUpAt <= now; });
    return expired;
}

} // namespace gypsumhub
