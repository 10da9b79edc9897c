#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/connectivity_monitor.h"
#include "gypsumhub/fleet/gossip_queue.h"
#include "gypsumhub/fleet/member_table.h"
#include "gypsumhub/fleet/membership_settings.h"
#include "gypsumhub/fleet/probe_schedule.h"
#include "gypsumhub/fleet/probe_table.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// Receives the events of `membership`.
class membership_listener {
public:
    virtual ~membership_listener() = default;
    /// The result of `membership::alive` or `membership::isReady` may have changed.
    virtual auto onMembershipChange() -> void = 0;
    /// The process was paused: state from before the pause may be stale.
    virtual auto onPause() -> void { }
    /// A new process has replaced the peer's previous one, whose evidence no longer counts.
    virtual auto onPeerReplaced(node_key) -> void = 0;
};

/// Counters of a `membership` since its start.
struct membership_counts {
    uint64_t probes { 0 };
    uint64_t indirectProbes { 0 };
    uint64_t suspicions { 0 };
    uint64_t deaths { 0 };
    uint64_t refutations { 0 };
    uint64_t pauses { 0 };
};

/// Failure detector and membership gossip in the manner of SWIM (Das, Gupta, Motivala 2002), over a fixed graph of contacts:
/// tracks which registered nodes are alive.
///
/// Pure and single-threaded: time is an argument from a monotonic clock, randomness comes from the seed, and
/// messages go to a `peer_sender`. The traffic per node does not depend on the size of the fleet.
/// See docs/design/membership.md.
class membership {
public:
    membership(const membership_settings&, peer_sender&, membership_listener&);

    /// Replaces the registered nodes by those of the configuration in force. The first call starts the probes.
    auto setNodes(std::span<const registered_node>, time_point now) -> void;

    /// Runs timers; must be called at least every 200 ms.
    auto tick(time_point now) -> void;

    auto handle(node_key sender, const ping_message&, time_point now) -> void;
    auto handle(node_key sender, const ping_ack_message&, time_point now) -> void;
    auto handle(node_key sender, const membership_message&, time_point now) -> void;
    /// Anti-entropy: if the hashes of the two views differ, sends claims about stopping and dead nodes to the sender.
    auto handle(node_key sender, const digest_message&, time_point now) -> void;

    /// Announces the shutdown of this node, so that it gets no more requests.
    auto announceShutdown(time_point now) -> void;

    /// The nodes that requests may be assigned to, in order of key, including this one unless it is stopping. Only this one
    /// while it is isolated.
    auto alive() const -> std::vector<node_key>;

    /// False after the start and after a pause until a peer has answered a probe, unless the node is alone; false while stopping.
    auto isReady() const -> bool;

    /// Whether this node receives neither pings nor answers to its own, although other nodes should be reachable.
    auto isIsolated() const -> bool { return m_connectivity.isIsolated(); }

    /// Whether no other node can answer: this node is isolated, or all others are dead, or none is registered.
    auto isAlone() const -> bool;

    /// The nodes to push digests to, nearer ones first.
    auto contacts() const -> std::span<const node_key> { return m_rings.contacts(); }

    /// Grows when the result of `alive` may have changed, except by this node's shutdown or by a pause that ends an isolation.
    auto version() const -> uint64_t { return m_version; }

    auto table() const -> const member_table& { return m_table; }
    auto hashOfUnavailable() const -> uint64_t { return m_table.hashOfUnavailable(); }
    auto incarnation() const -> uint64_t { return m_incarnation; }
    auto counts() const -> const membership_counts& { return m_counts; }

private:
    auto detectPause(time_point now) -> void;
    auto detectIsolation(time_point now) -> void;
    template <typename Action>
    auto forEachSuspected(Action) -> void;
    auto recordMessage(node_key sender, uint64_t incarnation, time_point now) -> void;
    auto probeNext(time_point now) -> void;
    auto probe(node_key subject, time_point now) -> void;
    auto probeContacts(time_point now) -> void;
    auto expireProbes(time_point now) -> void;
    auto requestIndirectProbes(outstanding_probe&, time_point now) -> void;
    auto endProbe(const outstanding_probe&, time_point now) -> void;
    auto expireSuspicions(time_point now) -> void;
    auto gossip(time_point now) -> void;
    auto adopt(node_key sender, std::span<const member_claim>, time_point now) -> void;
    auto adoptOne(const member_claim&, time_point now) -> member_merge_result;
    auto refute(const member_claim&) -> void;
    auto claimsOf(std::span<const node_key>) const -> std::vector<member_claim>;
    auto ownClaim() const -> member_claim;
    auto claimsForProbe() -> std::vector<member_claim>;
    auto hasReachablePeers() const -> bool;
    auto notifyChange() -> void;

    membership_settings m_settings;
    peer_sender& m_sender;
    membership_listener& m_listener;
    random_generator m_random;
    connectivity_monitor m_connectivity;
    probe_schedule m_schedule;
    member_table m_table;
    contact_rings m_rings;
    gossip_queue m_gossipQueue;
    probe_table m_probes;
    membership_counts m_counts;
    uint64_t m_incarnation;
    /// Members in state `Suspected`; may contain some that no longer are.
    std::vector<node_key> m_suspects;
    uint64_t m_version { 0 };
    bool m_stopping { false };
    time_point m_nextProbe {};
    time_point m_nextGossip {};
    time_point m_nextSync {};
};

} // namespace gypsumhub
