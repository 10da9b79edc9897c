#pragma once

#include "gypsumhub/core/time_point.h"

#include <cstddef>
#include <optional>

namespace gypsumhub {

/// Decides when a connection may be closed behind its last answer, after its sending side was shut down.
///
/// A connection that is closed with unread bytes, or before bytes arrive, is reset. The reset destroys what the caller has not
/// received, and a caller that is still writing may never read an answer that it has received.
class close_wait {
public:
    /// `isRefusal` tells that the last answer refused bytes of a request that the caller may still be sending.
    close_wait(time_point now, bool isRefusal, size_t maxDiscardedBytes);

    /// Records how many bytes the caller's machine has not acknowledged; nullopt if the platform cannot tell.
    auto recordUnsent(std::optional<size_t> bytes, time_point now) -> void;
    /// Records bytes of the caller that were read and discarded.
    auto recordDiscarded(size_t bytes, time_point now) -> void;
    /// Whether the caller's bytes are to be discarded, if so many have arrived. While the answer is on its way, a request that arrives
    /// behind it stays unread.
    auto mayDiscard(size_t unreadBytes) const -> bool;
    /// Whether the caller's machine has received everything, as far as is known.
    auto isDelivered() const -> bool { return m_unsent.value_or(0) == 0; }
    auto isOver(time_point now) const -> bool;

private:
    std::optional<size_t> m_unsent;
    size_t m_discardedBytes { 0 };
    size_t m_maxDiscardedBytes;
    bool m_isCallerSending;
    time_point m_quietUntil;
    time_point m_giveUpAt;
};

/// Whether an answer fits into the send buffer of its connection behind the bytes that were not acknowledged yet, so that nothing
/// can arrive while it is being written.
auto isSentAtOnce(size_t answerBytes, std::optional<size_t> unsentBytes) -> bool;

} // namespace gypsumhub
