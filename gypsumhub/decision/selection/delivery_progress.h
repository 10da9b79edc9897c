#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstdint>

namespace gypsumhub {

/// Decides when a caller that is being sent an answer is considered gone: when it has received nothing for some time. A caller that
/// is slow, but goes on receiving, gets the whole answer.
class delivery_progress {
public:
    explicit delivery_progress(time_point now)
        : m_giveUpAt(now + progressLimit)
    {
    }

    /// Records how many bytes of the answer the caller's machine has acknowledged so far.
    auto record(uint64_t receivedBytes, time_point now) -> void
    {
        if (receivedBytes <= m_receivedBytes)
            return;
        m_receivedBytes = receivedBytes;
        m_giveUpAt = now + progressLimit;
    }

    auto isStalled(time_point now) const -> bool { return now >= m_giveUpAt; }

private:
    static constexpr auto progressLimit = seconds(10);

    uint64_t m_receivedBytes { 0 };
    time_point m_giveUpAt;
};

} // namespace gypsumhub
