#include "gypsumhub/decision/service_record.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    /// Exchanges with one target in an evidence window, over the whole group.
    constexpr auto windowExchanges = 20.0;
    constexpr auto shortestWindow = seconds(2);
    constexpr auto longestWindow = seconds(20);
    /// Failures at siblings from which failures count as the service's.
    constexpr auto siblingFailures = 1.5F;

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

auto service_record::siblingFailureRate(const target_record& target, time_point now) const -> float
{
    auto failures = 0.0F;
    auto samples = 0.0F;
    auto worst = recent_work {};
    for (auto& sibling : targets) {
        // Ejected targets are known to be unhealthy and are no evidence about the service.
        if (&sibling == &target || !isInRotation(sibling))
            continue;
        auto work = recentWork(sibling.scores, now);
        failures += work.failures;
        samples += work.samples;
        if (work.failures > worst.failures)
            worst = work;
    }
    // A single other unhealthy VM does not indicate a failure of the service.
    failures -= worst.failures;
    samples -= worst.samples;
    return failures < siblingFailures ? 0 : failures / std::max(samples, failures);
}

auto service_record::evidenceWindow() const -> duration
{
    // Members share the work about evenly, so the own rate is an estimate of theirs.
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
