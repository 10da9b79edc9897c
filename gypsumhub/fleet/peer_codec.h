#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/peer_schema.h"

#include <cstddef>

namespace gypsumhub {

/// Encodes a message as Cap'n Proto.
auto writePeerMessage(wire::PeerMessage::Builder, const peer_message&) -> void;

/// Decodes a message. Fails with `PeerFrameInvalid` when an enumerator, length, code or number is invalid.
auto readPeerMessage(wire::PeerMessage::Reader) -> leaf::result<peer_message>;

/// Size of the packed message in bytes, without the frame around it.
auto encodedSize(const peer_message&) -> std::size_t;

} // namespace gypsumhub
