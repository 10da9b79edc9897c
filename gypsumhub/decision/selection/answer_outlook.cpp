#include "gypsumhub/decision/selection/answer_outlook.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // Requests of other nodes at a target of which nothing is known, for targets that are in use most of the time. With 0.3, a request hardly
    // preferred the target where fewer slots are used, and with six nodes fewer answers were in time than with a flat term for load.
    constexpr auto usualOtherRequests = 2.0;
    // A TCP retransmission takes at least this long and is not a stall.
    constexpr auto minStallThreshold = milliseconds(200);
    constexpr auto serviceShareOfStall = 4;

    auto scaled(duration length, double factor) -> duration
    {
        return { static_cast<int64_t>(static_cast<double>(length.ns) * factor) };
    }

    // Of a Poisson distribution.
    auto probabilityAtLeast(uint32_t count, double mean) -> double
    {
        auto term = std::exp(-mean), below = 0.0;
        for (auto index = 0U; index < count; ++index) {
            below += term;
            term *= mean / (index + 1);
        }
        return std::clamp(1 - below, 0.0, 1.0);
    }

    // What delays the start of a request at a target.
    struct start_delay {
        // Until this node may send the request, since it uses all slots itself.
        duration untilSlot {};
        double probabilityWaits { 0 };
        // While it waits.
        duration whileWaiting {};

        auto expected() const -> duration { return untilSlot + scaled(whileWaiting, probabilityWaits); }
    };

    auto delayAt(const target_state& target, const request_cost& cost, duration meanWork, time_point now) -> start_delay
    {
        auto delay = start_delay {};
        auto slots = std::max(target.registration.slots, 1U);
        // Requests that were just placed may not be recorded yet.
        auto unrecorded = target.inFlight - std::min<size_t>(target.inFlight, target.work.count());
        auto ownWork = target.work.total(now) + cost.work.mean * static_cast<int64_t>(unrecorded);
        auto own = target.inFlight;
        if (own >= slots) {
            delay.untilSlot = scaled(unrecorded == own ? cost.work.mean : target.work.least(now), target.relativeResponseTime);
            ownWork = ownWork - ownWork / std::max(own, 1U);
            own = slots - 1;
        }
        auto others = target.others.expected(now) + usualOtherRequests;
        auto free = slots - own;
        delay.probabilityWaits = probabilityAtLeast(free, others);
        // Given that it waits, at least `free` requests of other nodes are there.
        auto othersWhileWaiting = std::max(others, static_cast<double>(free));
        auto requests = own + othersWhileWaiting;
        auto work = ownWork + scaled(meanWork, othersWhileWaiting);
        // The slots complete the requests in turn; this one starts when all but `slots - 1` of them are complete.
        delay.whileWaiting = scaled(work, target.relativeResponseTime / slots * (requests - slots + 1) / requests);
        return delay;
    }

} // namespace

auto outlookAt(const target_state& target, const request_cost& cost, duration meanWork, time_point now) -> answer_outlook
{
    auto delay = delayAt(target, cost, meanWork, now);
    auto speed = target.relativeResponseTime;
    auto lateAfter = [&](duration wait) { return cost.work.probabilityAbove(scaled(cost.onTimeUntil - now - wait, 1 / speed)); };
    auto outlook = answer_outlook {};
    outlook.probabilityLate = (1 - delay.probabilityWaits) * lateAfter(delay.untilSlot)
        + delay.probabilityWaits * lateAfter(delay.untilSlot + delay.whileWaiting);
    outlook.wait = delay.expected();
    return outlook;
}

auto stallThresholdAt(const target_state& target, const request_cost& cost, duration meanWork, duration ofService, time_point now) -> duration
{
    auto own = scaled(cost.work.percentile97, std::max(target.relativeResponseTime, 1.0)) + outlookAt(target, cost, meanWork, now).wait;
    return std::max({ own, ofService / serviceShareOfStall, minStallThreshold });
}

} // namespace gypsumhub
