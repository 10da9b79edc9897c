#pragma once

#include "gypsumhub/config/revision.h"
#include "gypsumhub/decision/evidence.h"
#include "gypsumhub/decision/request/claim_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumhub {

/// Evidence about targets, to members of the same serving group.
struct evidence_message {
    std::vector<evidence> items;
};

/// Says which configuration the sender has, and what it knows of the membership.
struct digest_message {
    revision_id revision;
    uint64_t membershipHash { 0 };
};

/// Asks for the revisions after `have`; 0 asks for a whole configuration.
struct revision_request_message {
    revision_id have;
    /// First chunk wanted; lets an interrupted transfer resume.
    uint32_t fromChunk { 0 };
};

/// One part of the answer to a `revision_request_message`: an encoded revision header or chunk, checked by its hash.
struct revision_part_message {
    revision_id revision;
    uint32_t part { 0 };
    uint32_t partCount { 0 };
    std::string bytes;
};

/// Liveness probe; with `onBehalfOf` set it is an indirect check.
struct ping_message {
    uint64_t sequence { 0 };
    std::optional<node_key> onBehalfOf;
};

/// Answer to a `ping_message`.
struct ping_ack_message {
    uint64_t sequence { 0 };
    node_key subject;
};

/// What the sender believes of one node.
struct member_claim {
    node_key node;
    /// Start time of the node's process; a replaced node under the same name has a later one.
    uint64_t incarnation { 0 };
    bool alive { true };
    bool stopping { false };
};

/// Changes of membership, spread in the manner of an epidemic.
struct membership_message {
    std::vector<member_claim> claims;
};

/// Everything that nodes say to each other.
using peer_message = std::variant<evidence_message, claim_message, claim_verdict_message, claim_record_message,
    claim_record_ack_message, digest_message, revision_request_message, revision_part_message, ping_message,
    ping_ack_message, membership_message>;

/// Sends typed messages to other nodes. Delivery is not certain and order is not kept.
class peer_sender {
public:
    virtual ~peer_sender() = default;
    virtual auto send(node_key receiver, peer_message) -> void = 0;
};

/// Hears authenticated messages from other nodes.
class peer_listener {
public:
    virtual ~peer_listener() = default;
    virtual auto onPeerMessage(node_key sender, peer_message) -> void = 0;
};

} // namespace gypsumhub
