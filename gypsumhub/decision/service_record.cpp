#include "gypsumhub/decision/service_record.h"

#include <algorithm>

namespace gypsumhub {

namespace {

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

auto service_record::floorCount() const -> size_t
{
    // Round up: the operator's percentage is a minimum.
    return (targets.size() * spec->rules.floorPercent + 99) / 100;
}

} // namespace gypsumhub
