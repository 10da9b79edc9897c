#include "gypsumhub/gateway/link_pool.h"

namespace gypsumhub {

namespace {

    // A path that carried an answer within this time is taken to be alive, and no target closes so early.
    constexpr auto safeIdle = milliseconds(2000);
    constexpr auto longestIdle = seconds(8);
    // `Keep-Alive` counts whole seconds and from the target's end of the answer.
    constexpr auto keepAliveMargin = milliseconds(700);
    constexpr auto mostIdlePerTarget = size_t { 8 };

    auto isFresh(const target_link& link, bool isRetryable, time_point now) -> bool
    {
        auto limit = isRetryable ? longestIdle : safeIdle;
        return now <= link.lastUsedAt() + limit && (link.idleUntil() == never || now + keepAliveMargin <= link.idleUntil());
    }

} // namespace

auto link_pool::take(std::string_view target, bool isRetryable, time_point now) -> std::shared_ptr<target_link>
{
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        return nullptr;
    auto& links = found->second;
    // The one used last is the least likely to be closed.
    while (!links.empty()) {
        if (!isFresh(*links.back(), isRetryable, now))
            return nullptr;
        auto link = std::move(links.back());
        links.pop_back();
        if (link->isQuiet())
            return link;
    }
    return nullptr;
}

auto link_pool::giveBack(std::string_view target, std::shared_ptr<target_link> link) -> void
{
    if (!link->isReusable())
        return;
    auto found = m_idle.find(target);
    if (found == m_idle.end())
        found = m_idle.emplace(std::string(target), std::vector<std::shared_ptr<target_link>> {}).first;
    if (found->second.size() < mostIdlePerTarget)
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
        std::erase_if(links, [&](auto& link) { return !isFresh(*link, true, now) || !link->isQuiet(); });
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
