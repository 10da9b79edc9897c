#include "gypsumhub/fleet/peer_queue.h"

#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto maxQueuedMessages = std::size_t { 1024 };
    constexpr auto maxQueuedBytes = std::size_t { 4 * 1024 * 1024 };
    constexpr auto maxBatchBytes = std::size_t { 128 * 1024 };
    // Estimate for the fields of fixed size.
    constexpr auto fixedBytes = std::size_t { 64 };

    // Estimates the bytes of a message: the fields that can be large, and a constant for the rest.
    struct estimated_size {
        auto operator()(const revision_part_message& message) const -> std::size_t { return fixedBytes + message.bytes.size(); }
        auto operator()(const evidence_message& message) const -> std::size_t { return fixedBytes + message.items.size() * 48; }
        auto operator()(const membership_message& message) const -> std::size_t { return fixedBytes + message.claims.size() * 24; }
        auto operator()(const claim_record_message& message) const -> std::size_t
        {
            return fixedBytes + (message.answer ? message.answer->header.size() + message.answer->body.size() : 0);
        }
        auto operator()(const claim_verdict_message& message) const -> std::size_t
        {
            auto& answer = message.verdict.answer;
            return fixedBytes + (answer ? answer->header.size() + answer->body.size() : 0);
        }
        template <typename Message>
        auto operator()(const Message&) const -> std::size_t
        {
            return fixedBytes;
        }
    };

} // namespace

auto peer_queue::push(peer_message message, time_point deadline) -> std::size_t
{
    auto bytes = std::visit(estimated_size {}, message);
    m_entries.push_back({ std::move(message), bytes, deadline });
    m_bytes += bytes;
    auto dropped = std::size_t { 0 };
    while (m_entries.size() > 1 && (m_entries.size() > maxQueuedMessages || m_bytes > maxQueuedBytes)) {
        popFront();
        ++dropped;
    }
    return dropped;
}

auto peer_queue::dropExpired(time_point now) -> std::size_t
{
    auto dropped = std::size_t { 0 };
    // Deadlines ascend, because every message gets the same time to live.
    while (!m_entries.empty() && m_entries.front().deadline <= now) {
        popFront();
        ++dropped;
    }
    return dropped;
}

auto peer_queue::takeBatch() -> std::vector<peer_message>
{
    auto batch = std::vector<peer_message> {};
    auto bytes = std::size_t { 0 };
    while (!m_entries.empty() && (batch.empty() || bytes + m_entries.front().bytes <= maxBatchBytes)) {
        bytes += m_entries.front().bytes;
        batch.push_back(popFront());
    }
    return batch;
}

auto peer_queue::popFront() -> peer_message
{
    auto message = std::move(m_entries.front().message);
    m_bytes -= m_entries.front().bytes;
    m_entries.pop_front();
    return message;
}

} // namespace gypsumhub
