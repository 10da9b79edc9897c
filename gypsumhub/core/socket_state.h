#pragma once

#include "gypsumhub/core/asio_types.h"

#include <cstddef>
#include <optional>

namespace gypsumhub {

/// Bytes that were written to the socket and that the other side's machine has not acknowledged. Nullopt if the platform cannot tell.
auto unsentBytes(tcp_socket&) -> std::optional<size_t>;

/// Bytes that have arrived and were not read.
auto unreadBytes(tcp_socket&) -> size_t;

/// Whether the other side has closed its sending side, even if unread bytes precede the close.
auto hasPeerClosed(tcp_socket&) -> bool;

/// Result of `discardUnread`.
struct discarded_bytes {
    size_t count { 0 };
    /// Nothing more can arrive: the other side has closed, or the connection has failed.
    bool hasEnded { false };
};

/// Reads and discards what has arrived, without waiting, until at least `maxBytes` are read.
auto discardUnread(tcp_socket&, size_t maxBytes) -> discarded_bytes;

} // namespace gypsumhub
