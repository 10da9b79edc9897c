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
    /// Who found it, when the sender only passes it on.
    std::optional<node_key> origin {};
    /// To whom the receiver shall pass it on within its data centre.
    std::vector<node_key> forwardTo {};
};

/// Says which configuration the sender has, and what it knows of the membership.
struct digest_message {
    revision_id revision;
    /// Over the nodes that the sender does not believe alive.
    uint64_t membershipHash { 0 };
    /// Unless 0, the receiver shall answer with its own digest, also when both are equal.
    uint64_t question { 0 };
    /// The question that this digest answers, or 0.
    uint64_t answerTo { 0 };
};

/// Asks for the way from revision `have` to revision `wanted`; a `have` of 0 asks for a whole configuration.
struct revision_request_message {
    revision_id have;
    /// The revision that the digest named; a sender that is further on may answer with a later one.
    revision_id wanted;
    /// First part wanted; lets an interrupted transfer resume, also from another peer.
    uint32_t fromChunk { 0 };
};

/// One part of the answer to a `revision_request_message`: an encoded revision header or chunk, checked by its hash.
struct revision_part_message {
    /// The revision that all parts together lead to.
    revision_id revision;
    /// The revision that the receiver must have; 0 for a whole configuration.
    revision_id have;
    uint32_t part { 0 };
    uint32_t partCount { 0 };
    std::string bytes;
};

/// What is believed of one node. At equal incarnation the later enumerator overrides the earlier.
enum class member_state : uint8_t {
    Alive,
    /// Missed a probe; counts as alive until its deadline.
    Suspected,
    /// Said itself that it is stopping.
    Stopping,
    Dead,
};

/// What the sender believes of one node.
struct member_claim {
    node_key node;
    /// Start time of the node's process, in nanoseconds, plus one for each suspicion that it refuted; a replaced node
    /// under the same name has a later one.
    uint64_t incarnation { 0 };
    member_state state { member_state::Alive };

    auto operator==(const member_claim&) const -> bool = default;
};

/// Liveness probe; with `subject` set it asks the receiver to probe that node in the sender's place.
struct ping_message {
    uint64_t sequence { 0 };
    /// Of the sender.
    uint64_t incarnation { 0 };
    std::optional<node_key> subject;
    /// News that travels along.
    std::vector<member_claim> claims {};
};

/// Answer to a `ping_message`.
struct ping_ack_message {
    /// Of the ping that is answered.
    uint64_t sequence { 0 };
    /// Of the subject as far as the sender knows.
    uint64_t incarnation { 0 };
    node_key subject;
    /// False when the sender was asked to probe the subject and got no answer.
    bool reached { true };
    /// News that travels along.
    std::vector<member_claim> claims {};
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
    /// A connection to `peer` was authenticated; tells a starting node whom its seed addresses belong to.
    virtual auto onPeerConnected(node_key /*peer*/) -> void { }
};

} // namespace gypsumhub
