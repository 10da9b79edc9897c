#pragma once

#include "gypsumhub/core/fault.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/peer_schema.h"

#include <cstddef>

namespace gypsumhub {

/// Writes a typed message into its Cap'n Proto form.
auto writePeerMessage(wire::PeerMessage::Builder, const peer_message&) -> void;

/// Reads a typed message. Fails with `PeerFrameInvalid` when an enumerator or a length is out of range.
auto readPeerMessage(wire::PeerMessage::Reader) -> leaf::result<peer_message>;

/// Bytes of the message in its packed form, without the frame around it.
auto encodedSize(const peer_message&) -> std::size_t;

} // namespace gypsumhub
