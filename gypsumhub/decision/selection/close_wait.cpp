#include "gypsumhub/decision/selection/close_wait.h"

namespace gypsumhub {

namespace {

    // Without bytes of the caller for this long, it is taken to have stopped sending. A caller that was seen sending may pause.
    constexpr auto quietTime = milliseconds(300);
    constexpr auto senderQuietTime = seconds(2);
    // A caller that receives nothing for this long is considered gone. Once it has received everything, it has this long to finish.
    constexpr auto progressLimit = seconds(10);
    // More unread bytes may keep a caller from finishing what it writes before it reads.
    constexpr auto blockingBytes = size_t { 16 * 1024 };
    // The smallest send buffer of a connection in use.
    constexpr auto minSendBufferBytes = size_t { 16 * 1024 };

    auto quietUntil(bool isCallerSending, time_point now) -> time_point
    {
        return now + (isCallerSending ? senderQuietTime : quietTime);
    }

} // namespace

close_wait::close_wait(time_point now, bool isRefusal, size_t maxDiscardedBytes)
    : m_maxDiscardedBytes(maxDiscardedBytes)
    , m_isCallerSending(isRefusal)
    , m_quietUntil(quietUntil(isRefusal, now))
    , m_giveUpAt(now + progressLimit)
{
}

auto close_wait::recordUnsent(std::optional<size_t> bytes, time_point now) -> void
{
    if (bytes && (!m_unsent || *bytes < *m_unsent))
        m_giveUpAt = now + progressLimit;
    m_unsent = bytes;
    if (!isDelivered())
        m_quietUntil = quietUntil(m_isCallerSending, now);
}

auto close_wait::recordDiscarded(size_t bytes, time_point now) -> void
{
    m_discardedBytes += bytes;
    m_isCallerSending = true;
    m_quietUntil = quietUntil(m_isCallerSending, now);
}

auto close_wait::mayDiscard(size_t unreadBytes) const -> bool
{
    return isDelivered() || m_isCallerSending || unreadBytes >= blockingBytes;
}

auto close_wait::isOver(time_point now) const -> bool
{
    return m_discardedBytes > m_maxDiscardedBytes || now >= m_giveUpAt || now >= m_quietUntil;
}

auto isSentAtOnce(size_t answerBytes, std::optional<size_t> unsentBytes) -> bool
{
    return answerBytes + unsentBytes.value_or(0) <= minSendBufferBytes;
}

} // namespace gypsumhub
