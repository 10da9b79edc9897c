#include "gypsumhub/gateway/link_pool.h"

namespace gypsumhub {

namespace {

    // A path that carried an answer within this time is assumed to work, and no target closes idle connections this early.
    constexpr auto safeIdleTime = milliseconds(2000);
    constexpr auto maxIdleTime = seconds(8);
    // The timeout in `Keep-Alive` has whole seconds and starts when the target has sent its answer, before it arrives here.
    constexpr auto keepAliveMargin = milliseconds(700);
    constexpr auto maxIdlePerTarget = size_t { 8 };

    auto isFresh(const target_link& link, bool isRetryable, time_point now) -> bool
    {
        auto limit = isRetryable ? maxIdleTime : safeIdleTime;
        return now <= link.lastUsedAt() + limit && (link.idleUntil() == never || now + keepAliveMargin <= link.idleUntil());
    }

} // namespace

auto link_pool::acquire(std::string_view target, bool isRetryable, time_point now) -> std::shared_ptr<target_link>
{
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    auto& links = found->second;
    // The connection used last is the least likely to have been closed.
    while (!links.empty()) {
        if (!isFresh(*links.back(), isRetryable, now))
            return nullptr;
        auto link = std::move(links.back());
        links.pop_back();
        if (link->isUsable())
            return link;
    }
    return nullptr;
}

auto link_pool::release(std::string_view target, std::shared_ptr<target_link> link) -> void
{
    if (!link->isReusable())
        return;
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        found = m_idle.emplace(std::string(target), std::vector<std::shared_ptr<target_link>> {}).first;
    if (found->second.size() < maxIdlePerTarget)
        found->second.push_back(std::move(link));
}

auto link_pool::removeTarget(std::string_view target) -> void
{
    if (auto found = m_idle.find(target); found != m_idle.end())
        m_idle.erase(found);
}

auto link_pool::sweep(time_point now) -> void
{
    for (auto& [target, links] : m_idle)
        std::erase_if(links, [&](auto& link) { return !isFresh(*link, true, now) || !link->isUsable(); });
    std::erase_if(m_idle, [](auto& entry) { return entry.second.empty(); });
}

auto link_pool::size() const -> size_t
{
    auto count = size_t { 0 };
    for (auto& [target, links] : m_idle)
        count += links.size();
    return count;
}

} // namespace gypsumhub
