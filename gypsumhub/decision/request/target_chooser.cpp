#include "gypsumhub/decision/request/target_chooser.h"

#include <algorithm>
#include <array>
#include <span>

namespace gypsumhub {

namespace {

    // Virtual time of one request at full weight, in the unit of `target_load::started`.
    constexpr auto stride = uint64_t { 1000 };
    constexpr auto fullWeight = uint64_t { 1000 };
    // How far the virtual time of a target may lag behind the mean and still be caught up.
    constexpr auto maxLag = 2 * stride;
    // A suspected target that is further ahead of the mean gets no request, even if only its slots are free: fast failures keep
    // them free.
    constexpr auto maxSuspectLead = 4 * stride;
    // A lead of this many strides scores as much as a full slot share in flight.
    constexpr auto stridesPerShare = uint64_t { 8 };
    // Targets that are compared at a time, so that the cost does not grow with the service.
    constexpr auto windowSize = size_t { 32 };
    // Lost races for a slot before the window counts as full.
    constexpr auto maxRaces = 8;
    // Slots of other members that one node uses at one target at once.
    constexpr auto borrowLimit = uint32_t { 1 };

    /// Which targets and which slots one pass over a service considers.
    struct choice_pass {
        bool otherRegion { false };
        bool borrowing { false };
        bool healthyOnly { false };

        auto limitOf(const target_view& view) const -> uint32_t { return view.slotShare + (borrowing ? borrowLimit : 0); }
    };

    constexpr auto anyTarget = std::to_array<choice_pass>({ { false, false }, { false, true }, { true, false }, { true, true } });
    // A request that has failed once is sent to a suspected target only when no healthy target is available.
    constexpr auto healthyTarget = std::to_array<choice_pass>(
        { { false, false, true }, { false, true, true }, { true, false, true }, { true, true, true } });

    /// The load of one target when it was sampled. Not initialized: clearing a window would cost more than sampling it.
    struct candidate {
        const target_view* view;
        uint32_t inFlight;
        uint64_t virtualTime;
    };

    /// The targets that are compared with each other, and the mean of their virtual times, weighted by their weights.
    struct candidate_window {
        std::array<candidate, windowSize> candidates;
        size_t count { 0 };
        uint64_t meanVirtualTime { 0 };
    };

    auto isOtherRegion(const target_view& view) -> bool
    {
        return view.distance >= 2;
    }

    auto isAllowed(const target_view& view, const target_query& query) -> bool
    {
        if (view.weight == 0)
            return false;
        if (view.state == health_state::Ejected || view.state == health_state::Leaving)
            return false;
        if (view.state == health_state::Trial && !query.idempotent)
            return false;
        return std::ranges::find(query.excluded, view.key) == query.excluded.end();
    }

    // Samples the load of up to `windowSize` targets that the pass and the query allow, starting `offset` after a random position.
    auto sampleCandidates(const service_view& service, const target_query& query, const choice_pass& pass, size_t offset) -> candidate_window
    {
        // Not cleared: only the first `count` entries are read.
        candidate_window window;
        auto size = service.targets.size();
        auto end = std::min(offset + windowSize, size);
        auto weightedVirtualTime = uint64_t { 0 };
        auto weights = uint64_t { 0 };
        auto index = (query.random % size + offset) % size;
        for (auto step = offset; step < end; ++step, index = index + 1 == size ? 0 : index + 1) {
            auto& view = service.targets[index];
            if (isOtherRegion(view) != pass.otherRegion || !isAllowed(view, query) || pass.limitOf(view) == 0)
                continue;
            if (pass.healthyOnly && view.state != health_state::Healthy)
                continue;
            auto inFlight = view.load->inFlight.load(std::memory_order_relaxed);
            auto virtualTime = view.load->started.load(std::memory_order_relaxed);
            window.candidates[window.count++] = { &view, inFlight, virtualTime };
            // Targets without an own slot get few requests and must not lower the mean.
            auto weight = view.slotShare > 0 ? view.weight : uint16_t { 0 };
            weightedVirtualTime += virtualTime * weight;
            weights += weight;
        }
        if (weights > 0)
            window.meanVirtualTime = weightedVirtualTime / weights;
        return window;
    }

    // Requests in flight relative to slot share and weight, plus the lead in virtual time; 1 means a full share.
    auto scoreOf(const candidate& current, uint64_t lead) -> float
    {
        auto share = static_cast<float>(std::max<uint32_t>(current.view->slotShare, 1) * current.view->weight) / fullWeight;
        return static_cast<float>(current.inFlight) / share + static_cast<float>(lead) / (stride * stridesPerShare);
    }

    auto pickBest(const candidate_window& window, const choice_pass& pass) -> const candidate*
    {
        auto* best = static_cast<const candidate*>(nullptr);
        auto bestScore = 0.0F;
        for (auto& current : std::span(window.candidates).first(window.count)) {
            if (current.inFlight >= pass.limitOf(*current.view))
                continue;
            auto lead = current.virtualTime > window.meanVirtualTime ? current.virtualTime - window.meanVirtualTime : 0;
            if (current.view->state != health_state::Healthy && lead > maxSuspectLead)
                continue;
            auto score = scoreOf(current, lead);
            if (best && (score > bestScore || (score == bestScore && current.virtualTime >= best->virtualTime)))
                continue;
            best = &current;
            bestScore = score;
        }
        return best;
    }

    // Takes a slot unless other threads hold all of them.
    auto takeSlot(const target_view& view, uint32_t limit) -> bool
    {
        auto& inFlight = view.load->inFlight;
        auto current = inFlight.load(std::memory_order_relaxed);
        while (current < limit) {
            if (inFlight.compare_exchange_weak(current, current + 1, std::memory_order_acquire, std::memory_order_relaxed))
                return true;
        }
        return false;
    }

    // A target that was out of rotation starts near the mean, so that it does not get all requests until it has caught up.
    auto advanceVirtualTime(const candidate& chosen, uint64_t meanVirtualTime) -> void
    {
        auto joinAt = meanVirtualTime > maxLag ? meanVirtualTime - maxLag : 0;
        auto next = std::max(chosen.virtualTime, joinAt) + stride * fullWeight / chosen.view->weight;
        chosen.view->load->started.store(next, std::memory_order_relaxed);
    }

    auto chooseInWindow(const service_view& service, const target_query& query, const choice_pass& pass, size_t offset)
        -> std::optional<chosen_target>
    {
        for (auto race = 0; race < maxRaces; ++race) {
            auto window = sampleCandidates(service, query, pass, offset);
            auto* best = pickBest(window, pass);
            if (!best)
                return std::nullopt;
            auto& view = *best->view;
            if (!takeSlot(view, pass.limitOf(view)))
                continue;
            advanceVirtualTime(*best, window.meanVirtualTime);
            return chosen_target { view.key, view.address, view.state == health_state::Trial, pass.borrowing, slot_lease(view.load) };
        }
        return std::nullopt;
    }

    auto chooseInPasses(const service_view& service, const target_query& query, std::span<const choice_pass> passes)
        -> std::optional<chosen_target>
    {
        for (auto& pass : passes) {
            if (pass.borrowing && !query.mayBorrow)
                continue;
            for (auto offset = size_t { 0 }; offset < service.targets.size(); offset += windowSize) {
                if (auto chosen = chooseInWindow(service, query, pass, offset))
                    return chosen;
            }
        }
        return std::nullopt;
    }

} // namespace

auto chooseTarget(const service_view& service, const target_query& query) -> std::optional<chosen_target>
{
    if (!query.excluded.empty()) {
        if (auto chosen = chooseInPasses(service, query, healthyTarget))
            return chosen;
    }
    return chooseInPasses(service, query, anyTarget);
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
