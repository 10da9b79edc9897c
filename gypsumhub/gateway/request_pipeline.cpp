#include "gypsumhub/gateway/request_pipeline.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto maxOpenRequests = size_t { 16 };
    // Bodies of requests and of answers that wait for their turn.
    constexpr auto maxHeldBytes = size_t { 256 * 1024 };

    auto heldBytes(const pipelined_request& request) -> size_t
    {
        return request.bodyBytes + (request.reply ? request.reply->body().size() : 0);
    }

} // namespace

auto request_pipeline::hasRoom() const -> bool
{
    if (m_open.empty())
        return true;
    auto bytes = size_t { 0 };
    for (auto& request : m_open)
        bytes += heldBytes(*request);
    auto& last = *m_open.back();
    return m_open.size() < maxOpenRequests && bytes < maxHeldBytes && last.keepOpen && last.mayOverlap;
}

auto request_pipeline::add(pipelined_request request) -> entry
{
    m_open.push_back(std::make_shared<pipelined_request>(std::move(request)));
    return m_open.back();
}

auto request_pipeline::startNext() -> entry
{
    auto next = std::ranges::find(m_open, false, [](auto& request) { return request->isStarted; });
    if (next == m_open.end())
        return nullptr;
    auto mayOverlap = (*next)->mayOverlap && std::all_of(m_open.begin(), next, [](auto& earlier) { return earlier->mayOverlap; });
    if (next != m_open.begin() && !mayOverlap)
        return nullptr;
    (*next)->isStarted = true;
    return *next;
}

auto request_pipeline::nextToWrite() const -> entry
{
    return !m_open.empty() && m_open.front()->reply ? m_open.front() : nullptr;
}

auto request_pipeline::removeFirst() -> void
{
    m_open.pop_front();
}

auto request_pipeline::removeUnstarted() -> void
{
    std::erase_if(m_open, [](auto& request) { return !request->isStarted; });
}

} // namespace gypsumhub
