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

/// Settings of `evidence_sender`.
struct evidence_sender_settings {
    node_key self;
    /// Evidence added within this time is sent as one batch.
    duration batchTime { milliseconds(100) };
    /// Budget for evidence traffic in bytes per second, frames and relayed evidence included. Above it batches wait, and later
    /// items replace earlier ones for the same target.
    int64_t bytesPerSecond { 1500 };
    /// Bytes that may be sent at once after an idle time (depth of the token bucket).
    int64_t burstBytes { 24 * 1024 };
    /// Whether each other data centre gets one copy through a relay instead of one copy per receiver.
    bool usesRelays { true };
};

/// Counters of an `evidence_sender` since its start.
struct evidence_sender_counts {
    uint64_t itemsAdded { 0 };
    uint64_t itemsSent { 0 };
    uint64_t messages { 0 };
    /// Messages sent as a relay.
    uint64_t forwarded { 0 };
};

/// Sends evidence about targets within serving groups: batched, only the latest item for each target, one copy per remote data
/// centre, and within a budget of bytes per second. Pure and single-threaded; time is an argument.
class evidence_sender {
public:
    /// The references must outlive the sender.
    evidence_sender(const evidence_sender_settings&, const membership&, peer_sender&);

    /// Adds evidence of the decision core to the batch for its receivers.
    auto add(const send_evidence_command&, time_point now) -> void;

    /// Sends batches that are due. Must be called at least every 100 ms.
    auto tick(time_point now) -> void;

    /// Relays a peer's evidence if the message requests it, and returns the evidence for the decision core.
    auto handle(node_key sender, const evidence_message&) -> evidence_event;

    auto counts() const -> const evidence_sender_counts& { return m_counts; }

private:
    using target_of_service = std::pair<service_key, vm_key>;

    /// Evidence for one group of receivers, the latest for each target.
    struct batch {
        std::map<target_of_service, evidence> items;
        time_point dueAt;
    };

    /// One receiver of a batch and the nodes that it relays to.
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
    /// The time up to which the sent bytes have used the budget; later than now when it is exhausted.
    time_point m_budgetUsedUntil {};
    /// Time of the last `tick`.
    time_point m_now {};
    /// Rotates the relays, so that an unreachable relay does not cut off its data centre for long.
    std::size_t m_rotation { 0 };
};

} // namespace gypsumhub
