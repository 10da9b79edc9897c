#include "gypsumhub/decision/selection/permit_issuer.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // Capacity of a bucket: one request, and what a quarter of a second adds, so that asking late wastes no permits.
    constexpr auto burstRequests = 1.0;
    constexpr auto burstSeconds = 0.25;
    // Without a tick for this long, the node was suspended, and another one may have issued permits meanwhile.
    constexpr auto suspensionTime = milliseconds(1000);

    auto toDuration(double seconds) -> duration
    {
        return { static_cast<int64_t>(seconds * 1e9) };
    }

    auto burstOf(double rate) -> double
    {
        return burstRequests + burstSeconds * rate;
    }

} // namespace

auto permit_issuer::bucketOf(const target_limit& limit, time_point now) -> bucket&
{
    auto rate = std::max(limit.requestsPerSecond.value_or(0), minRatePerSecond);
    auto [found, isNew] = m_buckets.try_emplace(limit.target, bucket { limit.incarnation, rate, 0, now + handoverTime });
    auto& used = found->second;
    if (used.incarnation != limit.incarnation)
        used = { limit.incarnation, rate, 0, now };
    if (now > used.filledAt) {
        used.tokens += used.rate * (now - used.filledAt).seconds();
        used.filledAt = now;
    }
    used.rate = rate;
    used.tokens = std::min(used.tokens, burstOf(rate));
    return used;
}

auto permit_issuer::grant(const permit_request& request, const target_limit& limit, time_point now) -> permit_grant
{
    auto& used = bucketOf(limit, now);
    auto granted = permit_grant { limit, request.ticket, std::min(request.count, static_cast<uint32_t>(used.tokens)), {} };
    used.tokens -= granted.count;
    if (granted.count == request.count)
        return granted;
    // Denied nodes receive successive times, so that each finds a permit when it asks again, and requests follow the rate of permits.
    auto untilNext = toDuration((1 - used.tokens) / used.rate) + std::max(used.filledAt - now, duration {});
    auto retryAt = std::max(now + untilNext, used.latestRetryAt + toDuration(1 / used.rate));
    used.latestRetryAt = std::min(retryAt, now + untilNext + maxContentionWait);
    granted.retryAfter = used.latestRetryAt - now;
    return granted;
}

auto permit_issuer::tick(time_point now, const std::function<bool(std::string_view)>& isIssuer) -> void
{
    if (now > m_tickedAt + suspensionTime)
        m_buckets.clear();
    m_tickedAt = now;
    std::erase_if(m_buckets, [&](auto& entry) { return !isIssuer(entry.first); });
}

} // namespace gypsumhub
