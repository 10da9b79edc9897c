#include "gypsumhub/gateway/target_connection_pool.h"

namespace gypsumhub {

namespace {

    // A path that carried an answer within this time is assumed to work, and no target closes idle connections this early.
    constexpr auto safeIdleTime = milliseconds(2000);
    constexpr auto maxIdleTime = seconds(8);
    // The timeout in `Keep-Alive` has whole seconds and starts when the target has sent its answer, before it arrives here.
    constexpr auto keepAliveMargin = milliseconds(700);
    constexpr auto maxIdlePerTarget = size_t { 8 };

    auto isFresh(const target_http_connection& connection, bool isRetryable, time_point now) -> bool
    {
        auto limit = isRetryable ? maxIdleTime : safeIdleTime;
        return now <= connection.lastUsedAt() + limit && (connection.idleUntil() == never || now + keepAliveMargin <= connection.idleUntil());
    }

} // namespace

auto target_connection_pool::acquire(std::string_view target, std::string_view requestId, bool isRetryable, time_point now) -> std::shared_ptr<target_http_connection>
{
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    auto& connections = found->second;
    // The connection used last is the least likely to have been closed.
    while (!connections.empty()) {
        if (!isFresh(*connections.back(), isRetryable, now))
            return nullptr;
        if (!connections.back()->mayCarry(requestId))
            return nullptr;
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return nullptr;
}

auto target_connection_pool::release(std::string_view target, std::shared_ptr<target_http_connection> connection) -> void
{
    if (!connection->isReusable())
        return;
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        found = m_idle.emplace(std::string(target), std::vector<std::shared_ptr<target_http_connection>> {}).first;
    if (found->second.size() < maxIdlePerTarget)
        found->second.push_back(std::move(connection));
}

auto target_connection_pool::removeTarget(std::string_view target) -> void
{
    if (auto found = m_idle.find(target); found != m_idle.end())
        m_idle.erase(found);
}

auto target_connection_pool::sweep(time_point now) -> void
{
    for (auto& [target, connections] : m_idle)
        std::erase_if(connections, [&](auto& connection) { return !isFresh(*connection, true, now) || !connection->isUsable(); });
    std::erase_if(m_idle, [](auto& entry) { return entry.second.empty(); });
}

auto target_connection_pool::size() const -> size_t
{
    auto count = size_t { 0 };
    for (auto& [target, connections] : m_idle)
        count += connections.size();
    return count;
}

} // namespace gypsumhub
