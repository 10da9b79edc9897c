#include "gypsumhub/decision/request/target_chooser.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace gypsumhub {

namespace {

    // One turn of a target at full weight, in the unit of `target_load::started`.
    constexpr auto turnCost = uint64_t { 1000 };
    constexpr auto fullWeight = uint64_t { 1000 };
    // A target may lag this far behind the mean and still catch up.
    constexpr auto maxLag = 2 * turnCost;
    // Above this many targets a sample is compared instead of all, so that the cost stays flat.
    constexpr auto sampleSize = size_t { 32 };
    // Lost races for a slot before the request is told to wait.
    constexpr auto maxRaces = 8;
    constexpr auto regionCount = 2;

    struct candidate {
        const target_view* view { nullptr };
        // Work in flight in thousandths of a slot share at full weight.
        uint64_t load { 0 };
        uint64_t turns { 0 };

        auto precedes(const candidate& other) const -> bool
        {
            if (load != other.load)
                return load < other.load;
            return turns < other.turns;
        }
    };

    struct scan_result {
        candidate best;
        // Sums over all allowed targets, those without a free slot included.
        uint64_t weightedTurns { 0 };
        uint64_t weights { 0 };
    };

    auto isOtherRegion(const target_view& view) -> bool
    {
        return view.distance >= 2;
    }

    auto isAllowed(const target_view& view, const target_query& query) -> bool
    {
        if (view.weight == 0 || view.slotShare == 0)
            return false;
        if (view.state == health_state::Ejected || view.state == health_state::Leaving)
            return false;
        if (view.state == health_state::Trial && !query.idempotent)
            return false;
        return std::ranges::find(query.excluded, view.key) == query.excluded.end();
    }

    auto weigh(const target_view& view, uint32_t inFlight) -> candidate
    {
        auto load = inFlight * turnCost * fullWeight / (uint64_t { view.slotShare } * view.weight);
        return { &view, load, view.load->started.load(std::memory_order_relaxed) };
    }

    // Compares up to `count` targets of one region, beginning at a random place.
    auto scan(const service_view& service, const target_query& query, bool otherRegion, size_t first, size_t count) -> scan_result
    {
        auto result = scan_result {};
        auto size = service.targets.size();
        for (auto step = size_t { 0 }; step < count; ++step) {
            auto index = first + step < size ? first + step : first + step - size;
            auto& view = service.targets[index];
            if (isOtherRegion(view) != otherRegion || !isAllowed(view, query))
                continue;
            auto inFlight = view.load->inFlight.load(std::memory_order_relaxed);
            auto current = weigh(view, inFlight);
            result.weightedTurns += current.turns * view.weight;
            result.weights += view.weight;
            if (inFlight >= view.slotShare)
                continue;
            if (!result.best.view || current.precedes(result.best))
                result.best = current;
        }
        return result;
    }

    // Takes a slot unless another thread took the last one.
    auto takeSlot(const target_view& view) -> bool
    {
        auto& inFlight = view.load->inFlight;
        auto current = inFlight.load(std::memory_order_relaxed);
        while (current < view.slotShare) {
            if (inFlight.compare_exchange_weak(current, current + 1, std::memory_order_acquire, std::memory_order_relaxed))
                return true;
        }
        return false;
    }

    // A target that was away joins near the mean, so that it is not sent all the work until it has caught up.
    auto countTurn(const scan_result& result) -> void
    {
        auto mean = result.weightedTurns / result.weights;
        auto joinAt = mean > maxLag ? mean - maxLag : 0;
        auto next = std::max(result.best.turns, joinAt) + turnCost * fullWeight / result.best.view->weight;
        result.best.view->load->started.store(next, std::memory_order_relaxed);
    }

    auto scanSampleThenAll(const service_view& service, const target_query& query, bool otherRegion, size_t first) -> scan_result
    {
        auto size = service.targets.size();
        if (size > sampleSize) {
            auto sampled = scan(service, query, otherRegion, first, sampleSize);
            if (sampled.best.view)
                return sampled;
        }
        return scan(service, query, otherRegion, first, size);
    }

} // namespace

auto chooseTarget(const service_view& service, const target_query& query) -> std::optional<chosen_target>
{
    auto size = service.targets.size();
    if (size == 0)
        return std::nullopt;
    auto first = static_cast<size_t>(query.random % size);
    for (auto region = 0; region < regionCount; ++region) {
        for (auto race = 0; race < maxRaces; ++race) {
            auto result = scanSampleThenAll(service, query, region == 1, first);
            if (!result.best.view)
                break;
            if (!takeSlot(*result.best.view))
                continue;
            countTurn(result);
            auto& view = *result.best.view;
            return chosen_target { view.key, view.address, view.state == health_state::Trial, slot_lease(view.load) };
        }
    }
    return std::nullopt;
}

auto freeSlots(const service_view& service) -> uint32_t
{
    auto sum = uint32_t { 0 };
    for (auto& view : service.targets) {
        auto inFlight = view.load->inFlight.load(std::memory_order_relaxed);
        if (isAllowed(view, { .idempotent = true }) && inFlight < view.slotShare)
            sum += view.slotShare - inFlight;
    }
    return sum;
}

auto totalSlots(const service_view& service) -> uint32_t
{
    auto sum = uint32_t { 0 };
    for (auto& view : service.targets) {
        if (isAllowed(view, { .idempotent = true }))
            sum += view.slotShare;
    }
    return sum;
}

} // namespace gypsumhub
