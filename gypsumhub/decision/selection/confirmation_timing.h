#pragma once

#include "gypsumhub/decision/selection/confirmation_message.h"
#include "gypsumhub/decision/selection/watch_timing.h"

#include <algorithm>

namespace gypsumhub {

/// The intervals at which a node keeps its configuration confirmed. The values are given for `referenceLimit`; `forLimit` adapts them to the
/// limit within which a removed key must no longer be accepted.
struct confirmation_timing {
    /// Confirmations pass through up to two nodes on their way, which adds up to 2 x 0.75 s, while the limit is a few seconds.
    duration interval { milliseconds(600) };
    /// After this time without an answer another node is asked. A round trip to another region takes less than 0.15 s.
    duration answerTime { milliseconds(300) };
    /// A node of this age is worth asking, also if it is not the youngest one: otherwise all would ask the nodes that watch the store.
    duration lowAge { milliseconds(1500) };
    /// Where all are older, as in a data centre far from the store, nodes are asked that are this much older than the youngest one.
    duration ageTolerance { milliseconds(600) };
    /// An answer that leaves the own age above this does not end a round.
    duration settledAge { milliseconds(2800) };
    /// A node whose confirmation comes from its own read of the store reads it again above this age if the next answer does not help. It may
    /// be the only one with access to the store, and asking more nodes first takes too long for a short limit.
    duration ownReadAge { unconfirmedAge };

    static constexpr auto referenceLimit = seconds(5);
    /// At shorter limits nodes refuse requests although another node could confirm their configuration: watches of 0.9 s, hellos every 0.4 s
    /// that expire after 1.3 s, and one read of the store per second do not depend on the limit.
    static constexpr auto smallestLimit = seconds(3);

    static constexpr auto forLimit(duration limit) -> confirmation_timing
    {
        // A twelfth of the requests at the reference limit. Ages stay far below an hour, above which nodes do not state theirs.
        constexpr auto greatestLimit = minutes(1);
        // A round trip to another region.
        constexpr auto minAnswerTime = milliseconds(150);
        // Least part of the intervals at the reference limit. With 0.5 for 3 s, nodes that only one node with access to the store can
        // confirm refused requests in the fleet model.
        constexpr auto smallestScale = duration_ratio { 7, 27 };
        auto used = std::clamp(limit, smallestLimit, greatestLimit);
        // Below the reference limit the rate of requests, not the interval, is linear in the limit.
        auto belowReference = (referenceLimit - used).milliseconds() * (smallestScale.divisor - smallestScale.factor);
        auto range = (referenceLimit - smallestLimit).milliseconds() * smallestScale.factor;
        auto scale = used < referenceLimit ? duration_ratio { range, range + belowReference } : duration_ratio { used.milliseconds(), referenceLimit.milliseconds() };
        auto scaled = [&](duration value) { return value * scale.factor / scale.divisor; };
        // The age that a watching node reaches does not depend on the limit.
        auto scaledAge = [&](duration age) { return watch_timing::maxConfigurationAge + scaled(age - watch_timing::maxConfigurationAge); };
        auto given = confirmation_timing {};
        return {
            .interval = scaled(given.interval),
            // Not longer for longer limits: a node that has just been restarted gets its first answer as soon.
            .answerTime = std::clamp(scaled(given.answerTime), minAnswerTime, given.answerTime),
            .lowAge = scaledAge(given.lowAge),
            .ageTolerance = scaled(given.ageTolerance),
            .settledAge = scaledAge(given.settledAge),
            .ownReadAge = used < referenceLimit ? scaledAge(given.lowAge) : given.ownReadAge,
        };
    }

    /// Pause after a round that left a node with such an age. A node that no answer has helped asks no less often than at the reference
    /// limit: after a restart or a freeze it refuses requests until it gets an answer.
    constexpr auto pauseAt(duration age) const -> duration { return age < settledAge ? interval : std::min(interval, confirmation_timing {}.interval); }

private:
    struct duration_ratio {
        int64_t factor;
        int64_t divisor;
    };
};

} // namespace gypsumhub
