#include "gypsumhub/decision/service_record.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Exchanges with one target over which suspicion is pooled.
    constexpr auto windowExchanges = 20.0;
    constexpr auto shortestWindow = seconds(2);
    constexpr auto longestWindow = seconds(20);

    template <typename Targets>
    auto findIn(Targets& targets, vm_key key)
    {
        auto found = std::ranges::lower_bound(targets, key, {}, &target_record::key);
        return found != targets.end() && found->key == key ? &*found : nullptr;
    }

} // namespace

auto service_record::findTarget(vm_key key) -> target_record*
{
    return findIn(targets, key);
}

auto service_record::findTarget(vm_key key) const -> const target_record*
{
    return findIn(targets, key);
}

auto service_record::evidenceWindow() const -> duration
{
    // Members share the work about evenly, so the own rate stands for theirs.
    auto members = static_cast<double>(std::max<size_t>(group.size(), 1));
    auto perTarget = static_cast<double>(exchangesPerSecond) * members / static_cast<double>(std::max<size_t>(targets.size(), 1));
    auto length = duration { static_cast<int64_t>(windowExchanges / std::max(perTarget, 0.1) * 1e9) };
    return std::clamp(length, shortestWindow, longestWindow);
}

auto service_record::floorCount() const -> size_t
{
    // Round up: the operator's percentage is a minimum.
    return (targets.size() * spec->rules.floorPercent + 99) / 100;
}

} // namespace gypsumhub
