#pragma once

#include "gypsumhub/decision/request/claim_message.h"

#include <variant>
#include <vector>

namespace gypsumhub {

/// Send a message to another node; it may be lost, delayed or duplicated.
struct send_claim_command {
    node_key receiver;
    claim_peer_message message;
};

/// A local claim is decided. After `Dispatch`, the request may be sent until its deadline, which must be checked right before
/// the first byte, and `claim_coordinator::finish` must be called when it ended.
struct claim_decided_command {
    uint64_t requestId { 0 };
    claim_verdict verdict;
};

/// Any command of the claim coordinator.
using claim_command = std::variant<send_claim_command, claim_decided_command>;

/// Commands in the order in which they were issued.
using claim_command_list = std::vector<claim_command>;

} // namespace gypsumhub
