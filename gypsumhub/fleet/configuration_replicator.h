#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/fleet/configuration_source.h"
#include "gypsumhub/fleet/membership.h"
#include "gypsumhub/fleet/replicator_settings.h"
#include "gypsumhub/fleet/revision_download.h"
#include "gypsumhub/fleet/revision_offers.h"
#include "gypsumhub/fleet/upload_queue.h"

#include <cstdint>
#include <limits>
#include <optional>

namespace gypsumhub {

/// Hears what `configuration_replicator` does.
class spreader_listener {
public:
    virtual ~spreader_listener() = default;
    /// A revision from a peer was verified and is in force.
    virtual auto onRevisionAdopted(const revision_id&) -> void = 0;
    /// A peer holds a history that does not continue ours: 500 to 504. Nothing changed here; the operators must know.
    virtual auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void = 0;
};

/// Counters of a `configuration_replicator` since its start.
struct spreader_counts {
    uint64_t adopted { 0 };
    uint64_t refusedForked { 0 };
    uint64_t refusedRolledBack { 0 };
    uint64_t refusedInvalid { 0 };
    uint64_t requests { 0 };
    /// Transfers that went on with another peer.
    uint64_t resumed { 0 };
    uint64_t digests { 0 };
};

/// Spreads verified revisions among nodes: news by push to the node's contacts, the content by request from the nearest peer,
/// and a periodic exchange of digests that heals whatever was lost. Never goes back to an earlier revision.
///
/// Pure and single-threaded; time is an argument. docs/design/spreading.md.
class configuration_replicator {
public:
    /// The references must outlive the replicator.
    configuration_replicator(
        const replicator_settings&, const membership&, configuration_source&, peer_sender&, spreader_listener&);

    /// To be called at least every 200 ms.
    auto tick(time_point now) -> void;

    /// A connection with this peer was made, or it was just learned that it exists: asks what it holds.
    auto greet(node_key peer) -> void;

    /// The source took a revision from the store: tells the contacts.
    auto announce(time_point now) -> void;

    /// The process was paused: what it holds may be old until a peer or the store has said otherwise.
    auto notePause() -> void;

    /// The store's head was read and is no later than the revision in force.
    auto confirm() -> void { m_confirmed = true; }

    auto handle(node_key sender, const digest_message&, time_point now) -> void;
    auto handle(node_key sender, const revision_request_message&, time_point now) -> void;
    auto handle(node_key sender, const revision_part_message&, time_point now) -> void;

    /// Whether there is a revision in force, and since the last pause somebody said that it is the latest known.
    auto isReady() const -> bool;

    /// Whether this node should read the store now. A node without configuration first hears its peers, so that a store put
    /// back in time cannot teach it an old history.
    auto shouldReadStore(time_point now) const -> bool;

    auto counts() const -> const spreader_counts& { return m_counts; }

private:
    auto distanceTo(node_key) const -> peer_distance;
    auto refreshReader() -> void;
    auto noteOffer(node_key sender, const revision_id&, time_point now) -> void;
    auto reportFork(node_key sender, const revision_id&) -> void;
    auto pursue(time_point now) -> void;
    auto beginDownload(const revision_offer&, time_point now) -> void;
    auto answerDeadline(time_point now) const -> time_point;
    auto request(time_point now) -> void;
    auto finishDownload(time_point now) -> void;
    auto noteRefusal(result_code, const revision_id&, node_key peer) -> void;
    auto exchangeDigest(time_point now) -> void;
    auto chooseDigestPeer() -> std::optional<node_key>;
    auto sendDigest(node_key receiver, uint64_t question, uint64_t answerTo) -> void;
    auto drawColdReadDelay() -> duration;
    auto greetAgain(time_point now) -> void;

    replicator_settings m_settings;
    const membership& m_membership;
    configuration_source& m_source;
    peer_sender& m_sender;
    spreader_listener& m_listener;
    random_generator m_random;
    revision_offers m_offers;
    upload_queue m_uploads;
    std::optional<revision_download> m_download;
    spreader_counts m_counts;
    /// Whether the transfer waits for a peer to go on with.
    bool m_stalled { false };
    /// Tells answers to this node's latest question from older ones.
    uint64_t m_question;
    bool m_confirmed { false };
    /// Whether no peer can prove that its revision continues ours.
    bool m_lagsTooFar { false };
    /// Until when a node without configuration only listens.
    time_point m_learnUntil { never };
    /// When a node without configuration and without a peer that has one reads the store.
    time_point m_readAlone { never };
    time_point m_nextDigest {};
    time_point m_nextGreeting {};
    /// Peers that this node knows while it has no configuration.
    std::vector<node_key> m_greeted;
    uint64_t m_digestRound { 0 };
    bool m_started { false };
    /// Whether this node is a reader, as of the membership's version; the first tick finds out.
    bool m_isReader { false };
    uint64_t m_readerVersion { std::numeric_limits<uint64_t>::max() };
};

} // namespace gypsumhub
