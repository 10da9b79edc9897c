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

/// Receives the events of `configuration_replicator`.
class replicator_listener {
public:
    virtual ~replicator_listener() = default;
    /// A revision from a peer was verified and is in force.
    virtual auto onRevisionAdopted(const revision_id&) -> void = 0;
    /// A revision of a peer was refused with a code from 500 to 504, for example because it does not continue this node's history.
    /// The revision in force did not change; operators must be notified.
    virtual auto onRevisionRefused(result_code, const revision_id&, node_key peer) -> void = 0;
};

/// Counters of a `configuration_replicator` since its start.
struct replicator_counts {
    uint64_t adopted { 0 };
    uint64_t refusedForked { 0 };
    uint64_t refusedRolledBack { 0 };
    uint64_t refusedInvalid { 0 };
    uint64_t requests { 0 };
    /// Transfers resumed with another peer.
    uint64_t resumed { 0 };
    uint64_t digests { 0 };
};

/// Replicates verified revisions among nodes: digests are pushed to the node's contacts, the content is pulled from the nearest
/// peer, and a periodic exchange of digests (anti-entropy) repairs losses. Never returns to an earlier revision.
///
/// Pure and single-threaded; time is an argument. See docs/design/spreading.md.
class configuration_replicator {
public:
    /// The references must outlive the replicator.
    configuration_replicator(
        const replicator_settings&, const membership&, configuration_source&, peer_sender&, replicator_listener&);

    /// Runs timers; must be called at least every 200 ms.
    auto tick(time_point now) -> void;

    /// Asks a newly connected peer for its revision; repeated periodically while this node has no configuration.
    auto queryRevision(node_key peer) -> void;

    /// The current revision of the source changed: sends its digest to the contacts.
    auto announce(time_point now) -> void;

    /// The process was paused: the configuration may be stale until a peer or the store confirms or replaces it.
    auto handlePause() -> void;

    /// The store's head was read and is no later than the revision in force.
    auto confirm() -> void { m_confirmed = true; }

    auto handle(node_key sender, const digest_message&, time_point now) -> void;
    auto handle(node_key sender, const revision_request_message&, time_point now) -> void;
    auto handle(node_key sender, const revision_part_message&, time_point now) -> void;

    /// Whether a revision is in force that a peer or the store has confirmed as latest since the start or the last pause.
    auto isReady() const -> bool;

    /// Whether this node should read the store now. A node without configuration queries its peers first, so that it does not
    /// load an old history from a store that was rolled back.
    auto shouldReadStore(time_point now) const -> bool;

    auto counts() const -> const replicator_counts& { return m_counts; }

private:
    auto distanceTo(node_key) const -> peer_distance;
    auto refreshReader() -> void;
    auto addOffer(node_key sender, const revision_id&, time_point now) -> void;
    auto reportFork(node_key sender, const revision_id&) -> void;
    auto tryNextOffer(time_point now) -> void;
    auto beginDownload(const revision_offer&, time_point now) -> void;
    auto answerDeadline(time_point now) const -> time_point;
    auto request(time_point now) -> void;
    auto finishDownload(time_point now) -> void;
    auto reportRefusal(result_code, const revision_id&, node_key peer) -> void;
    auto exchangeDigest(time_point now) -> void;
    auto chooseDigestPeer() -> std::optional<node_key>;
    auto sendDigest(node_key receiver, uint64_t question, uint64_t answerTo) -> void;
    auto drawColdReadDelay() -> duration;
    auto repeatQueries(time_point now) -> void;

    replicator_settings m_settings;
    const membership& m_membership;
    configuration_source& m_source;
    peer_sender& m_sender;
    replicator_listener& m_listener;
    random_generator m_random;
    revision_offers m_offers;
    upload_queue m_uploads;
    std::optional<revision_download> m_download;
    replicator_counts m_counts;
    /// Whether the transfer waits for another peer to resume with.
    bool m_stalled { false };
    /// Nonce that distinguishes answers to this node's current question from answers to older ones.
    uint64_t m_question;
    bool m_confirmed { false };
    /// Whether a peer's history does not reach back to this node's revision, so that its newer revision cannot be verified.
    bool m_historyGap { false };
    /// When a node without configuration stops collecting digests and starts its first download.
    time_point m_discoveryEnd { never };
    /// When a node without configuration starts to read the store if no peer offers a revision.
    time_point m_coldReadAt { never };
    time_point m_nextDigest {};
    time_point m_nextQuery {};
    /// Peers to query periodically while this node has no configuration.
    std::vector<node_key> m_queriedPeers;
    uint64_t m_digestRound { 0 };
    bool m_started { false };
    /// Whether this node is a designated reader of the store, as of `m_readerVersion` of the membership.
    bool m_isReader { false };
    uint64_t m_readerVersion { std::numeric_limits<uint64_t>::max() };
};

} // namespace gypsumhub
