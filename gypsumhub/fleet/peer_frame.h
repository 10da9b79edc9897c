#pragma once

#include "gypsumhub/fleet/frame_seal.h"
#include "gypsumhub/fleet/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// Largest body of a frame; larger ones are neither sent nor read.
constexpr auto maxFrameBytes = std::size_t { 1024 * 1024 };

/// Sender, receiver and session of a frame.
struct frame_header {
    node_key sender;
    /// 0 in a hello to a seed whose node key is not known yet.
    node_key receiver;
    /// Start time of the sender's process.
    uint64_t incarnation { 0 };
    /// Grows with each frame of a session and direction; 0 in the hello.
    uint64_t counter { 0 };
    /// Random numbers of both ends; together they identify the session.
    uint64_t dialerNonce { 0 };
    uint64_t acceptorNonce { 0 };
};

/// A frame with its keyed digest, ready to be sent.
struct sealed_frame {
    std::vector<std::byte> body;
    frame_tag tag {};
};

/// A frame whose digest was verified.
struct opened_frame {
    frame_header header;
    std::vector<peer_message> messages;
};

/// Encodes and signs a frame. Fails with `PeerFrameInvalid` when it would exceed `maxFrameBytes`.
auto sealFrame(const frame_seal&, const frame_header&, std::span<const peer_message>) -> leaf::result<sealed_frame>;

/// Verifies and decodes a frame. Fails with `PeerUnauthenticated` when no key matches, and with `PeerFrameInvalid` when it
/// is too large or cannot be read; nothing of an unverified body is decoded.
auto openFrame(const frame_seal&, std::span<const std::byte> body, std::span<const std::byte> tag) -> leaf::result<opened_frame>;

/// Replay protection: checks that the frames of one direction of a session come from the right peer, in order and only once.
class frame_sequence {
public:
    frame_sequence() = default;

    /// `expected` gives the peers and nonces of the session; its counter is ignored.
    explicit frame_sequence(const frame_header& expected)
        : m_expected(expected)
    {
    }

    /// `Ok`, or `PeerFrameInvalid` when sender or receiver are wrong, or `PeerFrameReplayed` when the frame belongs to
    /// another session or was received before.
    auto check(const frame_header&) -> result_code;

private:
    frame_header m_expected;
    uint64_t m_lastCounter { 0 };
};

} // namespace gypsumhub
