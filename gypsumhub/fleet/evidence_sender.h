#pragma once

#include "gypsumhub/decision/command.h"
#include "gypsumhub/decision/event.h"
#include "gypsumhub/fleet/membership.h"
#include "gypsumhub/fleet/peer_message.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace gypsumhub {

/// What `evidence_sender` must know at its start.
struct evidence_sender_settings {
    node_key self;
    /// Evidence found within this time goes out together.
    duration batchTime { milliseconds(100) };
    /// Bytes a second for evidence, frames and what is passed on for others included; beyond it batches wait and their items are
    /// replaced by later ones.
    int64_t bytesPerSecond { 1500 };
    /// Bytes that may go out at once after a quiet time.
    int64_t burstBytes { 24 * 1024 };
    /// Whether other data centres are told through one member each, so that the ways between them carry evidence once.
    bool usesRelays { true };
};

/// Counters of an `evidence_sender` since its start.
struct evidence_sender_counts {
    uint64_t itemsAdded { 0 };
    uint64_t itemsSent { 0 };
    uint64_t messages { 0 };
    uint64_t forwarded { 0 };
};

/// Passes evidence about targets within serving groups: batched, only the latest word on each target, one copy for each other
/// data centre, and within a budget of bytes. Pure and single-threaded; time is an argument.
class evidence_sender {
public:
    /// The references must outlive the sender.
    evidence_sender(const evidence_sender_settings&, const membership&, peer_sender&);

    /// Takes evidence that the decision core wants told.
    auto add(const send_evidence_command&, time_point now) -> void;

    /// Sends batches that are due. To be called at least every 100 ms.
    auto tick(time_point now) -> void;

    /// Takes evidence from a peer, passes it on when asked to, and returns it for the decision core.
    auto handle(node_key sender, const evidence_message&) -> evidence_event;

    auto counts() const -> const evidence_sender_counts& { return m_counts; }

private:
    using target_of_service = std::pair<service_key, vm_key>;

    /// Evidence for one group of receivers, the latest for each target.
    struct batch {
        std::map<target_of_service, evidence> items;
        time_point dueAt;
    };

    /// One message that a batch leads to.
    struct planned_message {
        node_key receiver;
        std::vector<node_key> forwardTo;
    };

    auto plan(std::vector<node_key> receivers) -> std::vector<planned_message>;
    auto chargeBudget(int64_t bytes, time_point now) -> void;
    auto trySend(const std::vector<node_key>& receivers, const batch&, time_point now) -> bool;
    auto dataCentreOf(node_key) const -> std::optional<uint16_t>;

    evidence_sender_settings m_settings;
    const membership& m_membership;
    peer_sender& m_sender;
    std::map<std::vector<node_key>, batch> m_batches;
    evidence_sender_counts m_counts;
    /// The instant up to which the bytes sent have used the budget.
    time_point m_budgetUsedUntil {};
    /// When `tick` was called last.
    time_point m_now {};
    /// Rotates the relays, so that one that cannot be reached does not shield its data centre for long.
    std::size_t m_rotation { 0 };
};

} // namespace gypsumhub
