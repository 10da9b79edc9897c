#pragma once

#include "gypsumhub/core/deadline_timer.h"
#include "gypsumhub/decision/selection/delivery_progress.h"
#include "gypsumhub/gateway/caller_reply.h"

namespace gypsumhub {

/// Writes answers to the connection of a caller, one at a time. Closes the connection when the caller receives nothing of an answer
/// for too long.
class reply_writer {
public:
    /// The socket must outlive this object.
    explicit reply_writer(tcp_socket&);

    /// Completes the head and writes the answer. Returns whether the whole answer was handed to the connection.
    auto write(caller_reply&, bool keepOpen, bool isToHead) -> task<bool>;
    auto isWriting() const -> bool { return m_isWriting; }
    /// Whether the latest answer was given up since the caller received nothing of it for too long.
    auto isGivenUp() const -> bool { return m_isGivenUp; }

private:
    auto armCheck() -> void;
    /// Closes the connection if the caller has received nothing for too long.
    auto checkProgress() -> void;

    tcp_socket& m_socket;
    deadline_timer m_checkTimer;
    delivery_progress m_progress { time_point {} };
    /// Bytes handed to the connection since it was opened.
    uint64_t m_handedBytes { 0 };
    bool m_isWriting { false };
    bool m_isGivenUp { false };
};

} // namespace gypsumhub
