#pragma once

#include "gypsumhub/decision/request/claim_coordinator.h"
#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/main/control_thread.h"
#include "gypsumhub/proxy/claim_port.h"

#include <functional>
#include <unordered_map>

namespace gypsumhub {

/// Runs the `claim_coordinator` on the control thread: posts claims of request threads to it, passes it messages from peers,
/// and executes its commands.
class claim_driver final : public claim_port {
public:
    /// The thread and the sender must outlive the driver.
    claim_driver(control_thread&, claim_coordinator::settings, peer_sender&);

    auto claim(claim_query, std::function<void(claim_verdict)> done) -> void override;
    auto finish(const claim_query&, claim_end, std::shared_ptr<const kept_answer>) -> void override;

    /// Applies a new configuration. Control thread only, as are the functions below.
    auto configure(const configuration&) -> void;
    /// Handles a claim message from another node.
    auto onMessage(node_key sender, const claim_peer_message&) -> void;
    /// Resends and expires claims; called every `claim_coordinator::resendInterval`.
    auto tick() -> void;
    /// Sends the claim table to the other voters at the start of a shutdown.
    auto sendAllRecords() -> void;
    auto coordinator() const -> const claim_coordinator&;

private:
    auto execute(claim_command_list) -> void;
    auto execute(send_claim_command&) -> void;
    auto execute(claim_decided_command&) -> void;

    control_thread& m_control;
    peer_sender& m_sender;
    claim_coordinator m_coordinator;
    std::unordered_map<uint64_t, std::function<void(claim_verdict)>> m_pending;
};

} // namespace gypsumhub
