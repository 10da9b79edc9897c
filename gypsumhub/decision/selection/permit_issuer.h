#pragma once

#include "gypsumhub/decision/selection/permit_message.h"

#include <functional>
#include <map>
#include <string_view>

namespace gypsumhub {

/// Issues the permits of targets that state a limit: one token bucket a target, on the one node of the fleet that issues its permits.
///
/// Bound: the arrivals within 4 s stem from the permits of 4 s plus `held_permits::lifetime`, so with a rate of N they are at most
/// 4.5 N + burst = 4.75 N + 1. The rest up to the allowed 6 N + 5 covers a change of the issuer: a node that becomes the issuer waits
/// until the previous one has noticed the change, and starts with an empty bucket.
class permit_issuer {
public:
    /// Grants permits out of the target's bucket, which fills at the rate of `limit`.
    auto grant(const permit_request&, const target_limit& limit, time_point now) -> permit_grant;
    /// Drops the buckets of targets whose permits another node issues. Called several times a second; after a longer pause, for which
    /// this node may have been suspended, all buckets are dropped.
    auto tick(time_point now, const std::function<bool(std::string_view target)>& isIssuer) -> void;
    auto bucketCount() const -> size_t { return m_buckets.size(); }

    /// From becoming the issuer until the first permit: longer than it takes until the other nodes notice a change of the issuer.
    static constexpr auto handoverTime = milliseconds(1500);
    /// A target whose limit is lower receives requests at this rate, since only its answers show that the limit has changed.
    static constexpr auto minRatePerSecond = 0.2;
    /// Denied nodes wait for the permits of those before them, up to this time longer than for the next permit.
    static constexpr auto maxContentionWait = milliseconds(2000);

private:
    struct bucket {
        uint64_t incarnation { 0 };
        double rate { 0 };
        double tokens { 0 };
        /// The bucket fills from then on. In the future during a handover.
        time_point filledAt;
        /// The latest time that a denied node received to ask again.
        time_point latestRetryAt {};
    };

    auto bucketOf(const target_limit&, time_point now) -> bucket&;

    std::map<std::string, bucket, std::less<>> m_buckets;
    time_point m_tickedAt {};
};

} // namespace gypsumhub
