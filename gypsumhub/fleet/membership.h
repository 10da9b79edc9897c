#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/claim_queue.h"
#include "gypsumhub/fleet/hearing_monitor.h"
#include "gypsumhub/fleet/member_table.h"
#include "gypsumhub/fleet/membership_settings.h"
#include "gypsumhub/fleet/probe_schedule.h"
#include "gypsumhub/fleet/probe_table.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gypsumhub {

/// Hears what `membership` finds.
class membership_listener {
public:
    virtual ~membership_listener() = default;
    /// `membership::alive` or `membership::isReady` gives another answer than before.
    virtual auto onMembershipChange() -> void = 0;
    /// The process was paused: what was known before may be old.
    virtual auto onPause() -> void { }
    /// The peer's process is another one than before: what the earlier one said no longer counts.
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

/// Who of the registered nodes is alive, in the manner of SWIM (Das, Gupta, Motivala 2002) over a fixed graph of watchers.
///
/// Pure and single-threaded: time is an argument from a clock that never goes back, randomness comes from the seed, and
/// messages go to a `peer_sender`. Bytes a second do not depend on the size of the fleet. docs/design/membership.md.
class membership {
public:
    membership(const membership_settings&, peer_sender&, membership_listener&);

    /// Takes the nodes of the configuration in force.
    auto setNodes(std::span<const registered_node>, time_point now) -> void;

    /// To be called at least every 200 ms.
    auto tick(time_point now) -> void;

    auto handle(node_key sender, const ping_message&, time_point now) -> void;
    auto handle(node_key sender, const ping_ack_message&, time_point now) -> void;
    auto handle(node_key sender, const membership_message&, time_point now) -> void;
    /// Compares what the sender knows of the membership and tells it what it seems to miss.
    auto handle(node_key sender, const digest_message&, time_point now) -> void;

    /// Tells the others that this node is stopping and shall be given no more work.
    auto announceShutdown(time_point now) -> void;

    /// The nodes that work may be given to, in order of key, this one included unless it is stopping. Only this one while
    /// it hears nobody.
    auto alive() const -> std::vector<node_key>;

    /// False from the start, and again after a pause, until a peer was heard or nobody can be; false while stopping.
    auto isReady() const -> bool;

    /// Whether this node hears nobody although others should be there.
    auto isIsolated() const -> bool { return m_hearing.isIsolated(); }

    /// Whether there is nobody to hear from: cut off, or all others dead or none registered.
    auto isAlone() const -> bool;

    /// The nodes to push news to, nearer ones first.
    auto contacts() const -> std::span<const node_key> { return m_rings.contacts(); }

    /// Grows whenever `alive` may give another answer than before.
    auto version() const -> uint64_t { return m_version; }

    auto table() const -> const member_table& { return m_table; }
    auto hashOfAbsent() const -> uint64_t { return m_table.hashOfAbsent(); }
    auto incarnation() const -> uint64_t { return m_incarnation; }
    auto counts() const -> const membership_counts& { return m_counts; }

private:
    auto noticePause(time_point now) -> void;
    auto noticeIsolation(time_point now) -> void;
    template <typename Action>
    auto forEachSuspected(Action) -> void;
    auto noteHeard(node_key sender, uint64_t incarnation, time_point now) -> void;
    auto probeNext(time_point now) -> void;
    auto probe(node_key subject, time_point now) -> void;
    auto probeContacts(time_point now) -> void;
    auto expireProbes(time_point now) -> void;
    auto askHelpers(outstanding_probe&, time_point now) -> void;
    auto endProbe(const outstanding_probe&, time_point now) -> void;
    auto expireSuspicions(time_point now) -> void;
    auto gossip(time_point now) -> void;
    auto adopt(node_key sender, std::span<const member_claim>, time_point now) -> void;
    auto adoptOne(const member_claim&, time_point now) -> claim_result;
    auto refute(const member_claim&) -> void;
    auto claimsOf(std::span<const node_key>) const -> std::vector<member_claim>;
    auto ownClaim() const -> member_claim;
    auto newsForProbe() -> std::vector<member_claim>;
    auto hasReachableOthers() const -> bool;
    auto noteChange() -> void;

    membership_settings m_settings;
    peer_sender& m_sender;
    membership_listener& m_listener;
    random_generator m_random;
    hearing_monitor m_hearing;
    probe_schedule m_schedule;
    member_table m_table;
    contact_rings m_rings;
    claim_queue m_news;
    probe_table m_probes;
    membership_counts m_counts;
    uint64_t m_incarnation;
    /// Members in state `Suspected`, and some that no longer are.
    std::vector<node_key> m_suspects;
    uint64_t m_version { 0 };
    bool m_stopping { false };
    time_point m_nextProbe {};
    time_point m_nextGossip {};
    time_point m_nextSync {};
};

} // namespace gypsumhub
