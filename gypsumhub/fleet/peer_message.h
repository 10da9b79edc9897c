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

/// Evidence about targets, sent to members of the same serving group.
struct evidence_message {
    std::vector<evidence> items;
    /// The node that produced the evidence, when the sender is a relay.
    std::optional<node_key> origin {};
    /// The nodes to which the receiver relays the evidence within its data centre.
    std::vector<node_key> forwardTo {};
};

/// Anti-entropy digest: the sender's configuration revision and a hash of its membership view.
struct digest_message {
    revision_id revision;
    /// Hash over the nodes that the sender considers stopping or dead.
    uint64_t membershipHash { 0 };
    /// If not 0, the receiver answers with its own digest even when both are equal.
    uint64_t question { 0 };
    /// The question that this digest answers, or 0.
    uint64_t answerTo { 0 };
};

/// Requests the parts that lead from revision `have` to revision `wanted`; a `have` of 0 requests the whole configuration.
struct revision_request_message {
    revision_id have;
    /// The revision that the digest advertised; a peer that no longer keeps it answers with a later one.
    revision_id wanted;
    /// Index of the first requested part; lets an interrupted transfer resume, also from another peer.
    uint32_t fromChunk { 0 };
};

/// One part of the answer to a `revision_request_message`: an encoded revision header or chunk, checked by its hash.
struct revision_part_message {
    /// The revision that results from all parts.
    revision_id revision;
    /// The base revision that the receiver must have; 0 for a whole configuration.
    revision_id have;
    uint32_t part { 0 };
    uint32_t partCount { 0 };
    std::string bytes;
};

/// State of one node in the failure detector. At equal incarnation the later enumerator overrides the earlier.
enum class member_state : uint8_t {
    Alive,
    /// Did not answer a probe; counts as alive until the suspicion expires.
    Suspected,
    /// Announced its shutdown.
    Stopping,
    /// The suspicion expired without a refutation.
    Dead,
};

/// State of one node in the sender's view.
struct member_claim {
    node_key node;
    /// Start time of the node's process in nanoseconds, plus one for each refutation. A process that replaces a node under
    /// the same name has a higher one.
    uint64_t incarnation { 0 };
    member_state state { member_state::Alive };

    auto operator==(const member_claim&) const -> bool = default;
};

/// Liveness probe. If `subject` is set, the receiver probes that node on behalf of the sender (indirect probe).
struct ping_message {
    uint64_t sequence { 0 };
    /// Incarnation of the sender.
    uint64_t incarnation { 0 };
    std::optional<node_key> subject;
    /// Piggybacked membership claims.
    std::vector<member_claim> claims {};
};

/// Answer to a `ping_message`.
struct ping_ack_message {
    /// Sequence number of the answered ping.
    uint64_t sequence { 0 };
    /// Incarnation of the subject; 0 when the subject was not reached.
    uint64_t incarnation { 0 };
    node_key subject;
    /// False when an indirect probe of the subject got no answer.
    bool reached { true };
    /// Piggybacked membership claims.
    std::vector<member_claim> claims {};
};

/// Membership claims, sent as gossip and as corrections of a peer's view.
struct membership_message {
    std::vector<member_claim> claims;
};

/// Any message between nodes. `peerMessageKindName` names an alternative by its index.
using peer_message = std::variant<evidence_message, claim_message, claim_verdict_message, claim_record_message,
    claim_record_ack_message, digest_message, revision_request_message, revision_part_message, ping_message,
    ping_ack_message, membership_message>;

/// Sends typed messages to other nodes. Neither delivery nor order is guaranteed.
class peer_sender {
public:
    virtual ~peer_sender() = default;
    virtual auto send(node_key receiver, peer_message) -> void = 0;
};

/// Receives authenticated messages from other nodes.
class peer_listener {
public:
    virtual ~peer_listener() = default;
    virtual auto onPeerMessage(node_key sender, peer_message) -> void = 0;
    /// A connection to `peer` was authenticated. This is how a starting node resolves its seed addresses to nodes.
    virtual auto onPeerConnected(node_key /*peer*/) -> void { }
};

} // namespace gypsumhub
