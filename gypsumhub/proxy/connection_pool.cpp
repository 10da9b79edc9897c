#include "gypsumhub/proxy/connection_pool.h"

#include "gypsumhub/core/clock.h"

#include <algorithm>
#include <cassert>

namespace gypsumhub {

connection_pool::connection_pool(const proxy_context& context, asio::io_context& ioContext)
    : m_context(context)
    , m_ioContext(ioContext)
{
}

auto connection_pool::acquire(uint64_t key, uint32_t share, bool requireFresh) -> std::shared_ptr<target_connection>
{
    auto& entry = m_entries[key];
    if (entry.inUse >= share)
        return nullptr;
    auto now = steadyClockNow();
    // The most recently used connection is the least likely to have been closed by the target.
    while (!entry.idle.empty()) {
        auto connection = entry.idle.back();
        if (requireFresh && now >= connection->freshUntil)
            break;
        entry.idle.pop_back();
        if (now < connection->usableUntil && connection->isUsable()) {
            ++entry.inUse;
            increment(m_context.counters.targetConnectionsReused);
            return connection;
        }
        increment(m_context.counters.targetConnectionsStale);
        connection->abort(abort_reason::None);
    }
    // At the limit, a new connection replaces the idle connection that was unused for longest.
    if (entry.inUse + entry.idle.size() >= share) {
        entry.idle.front()->abort(abort_reason::None);
        entry.idle.erase(entry.idle.begin());
    }
    ++entry.inUse;
    increment(m_context.counters.targetConnectionsOpened);
    return std::make_shared<target_connection>(m_ioContext);
}

auto connection_pool::release(uint64_t key, std::shared_ptr<target_connection> connection) -> void
{
    auto& entry = m_entries[key];
    assert(entry.inUse > 0);
    --entry.inUse;
    if (m_context.closing.load(std::memory_order_relaxed))
        return;
    auto now = steadyClockNow();
    connection->usableUntil = now + m_context.settings.targetIdleLimit;
    connection->freshUntil = now + m_context.settings.freshLimit;
    entry.idle.push_back(std::move(connection));
}

auto connection_pool::discard(uint64_t key, const std::shared_ptr<target_connection>& connection) -> void
{
    auto& entry = m_entries[key];
    assert(entry.inUse > 0);
    --entry.inUse;
    connection->abort(abort_reason::None);
}

auto connection_pool::closeIdle(uint64_t key) -> void
{
    if (auto found = m_entries.find(key); found != m_entries.end())
        found->second.idle.clear();
}

auto connection_pool::closeExpired() -> void
{
    auto now = steadyClockNow();
    for (auto& [key, entry] : m_entries)
        std::erase_if(entry.idle, [&](auto& connection) { return now >= connection->usableUntil || !connection->isUsable(); });
    std::erase_if(m_entries, [](auto& item) { return item.second.idle.empty() && item.second.inUse == 0; });
}

auto connection_pool::idleCount(uint64_t key) const -> size_t
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? 0 : found->second.idle.size();
}

} // namespace gypsumhub
