#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Exponential backoff with jitter for one endpoint. Stores the earliest instant of the next attempt.
class endpoint_backoff {
public:
    /// Upper bounds of the first wait and of the longest wait after a failure.
    struct settings {
        duration first { milliseconds(100) };
        duration longest { seconds(20) };
    };

    endpoint_backoff(settings, uint64_t seed);

    /// Whether an attempt may be made now.
    auto mayAttempt(time_point now) const -> bool { return now >= m_nextAttempt; }
    auto nextAttempt() const -> time_point { return m_nextAttempt; }
    auto recordFailure(time_point now) -> void;
    auto recordSuccess() -> void;

private:
    settings m_settings;
    random_generator m_random;
    time_point m_nextAttempt;
    uint32_t m_failures { 0 };
};

} // namespace gypsumhub
