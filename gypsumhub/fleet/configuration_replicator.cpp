#include "gypsumhub/fleet/configuration_replicator.h"

#include "gypsumhub/fleet/store_reader_choice.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // One in this many digests goes to another data centre of the region.
    constexpr auto regionDigestPeriod = uint64_t { 3 };
    // One in this many digests of a designated reader goes to another region.
    constexpr auto crossRegionDigestPeriod = uint64_t { 6 };
    constexpr auto maxQueriedPeers = std::size_t { 16 };
    // A peer that failed to deliver gets no request for this time.
    constexpr auto failedPeerBackoff = seconds(3);
    // Longer for a peer whose history does not reach back to this node's revision, because only a whole transfer reveals that.
    constexpr auto historyGapBackoff = minutes(1);

} // namespace

configuration_replicator::configuration_replicator(const replicator_settings& settings, const membership& view,
    configuration_source& source, peer_sender& sender, replicator_listener& listener)
    : m_settings(settings)
    , m_membership(view)
    , m_source(source)
    , m_sender(sender)
    , m_listener(listener)
    , m_random(settings.seed)
    , m_uploads(settings.uploadBytesPerSecond)
    , m_question(m_random())
{
}

auto configuration_replicator::tick(time_point now) -> void
{
    if (!m_started) {
        m_started = true;
        m_discoveryEnd = m_settings.hasSeeds ? now + m_settings.discoveryDelay : now;
        m_coldReadAt = m_settings.hasSeeds ? m_discoveryEnd + drawColdReadDelay() : now;
        for (auto contact : m_membership.contacts())
            sendDigest(contact, m_question, 0);
    }
    refreshReader();
    if (m_download && !m_stalled && m_download->deadline() <= now) {
        m_offers.postpone(m_download->peer(), now + failedPeerBackoff);
        m_stalled = true;
    }
    if (!m_download || m_stalled)
        tryNextOffer(now);
    m_uploads.serve(m_source, m_sender, now);
    // Seeds may have had no configuration either at the first query.
    if (m_source.current().number == 0 && now >= m_nextQuery)
        repeatQueries(now);
    if (m_settings.exchangesDigests && now >= m_nextDigest)
        exchangeDigest(now);
}

auto configuration_replicator::drawColdReadDelay() -> duration
{
    // Exponential spread: the number of nodes that read the store doubles in each of `doublings` equal steps. In a fleet of
    // any size only a few nodes read it before the first of them can serve the others.
    constexpr auto doublings = 12.0;
    auto share = std::log2(1 + m_random.unit() * (std::exp2(doublings) - 1)) / doublings;
    return { static_cast<int64_t>(share * static_cast<double>(m_settings.coldReadSpread.ns)) };
}

auto configuration_replicator::queryRevision(node_key peer) -> void
{
    if (m_source.current().number == 0 && m_queriedPeers.size() < maxQueriedPeers && std::ranges::find(m_queriedPeers, peer) == m_queriedPeers.end())
        m_queriedPeers.push_back(peer);
    sendDigest(peer, m_question, 0);
}

auto configuration_replicator::repeatQueries(time_point now) -> void
{
    m_nextQuery = now + m_settings.queryInterval;
    for (auto peer : m_queriedPeers)
        sendDigest(peer, m_question, 0);
}

auto configuration_replicator::announce(time_point now) -> void
{
    m_confirmed = true;
    m_historyGap = false;
    m_offers.dropUpTo(m_source.current());
    if (m_download && m_download->have() != m_source.current())
        m_download.reset();
    // Only designated readers push a new revision's digest to other regions; other nodes receive it within their region.
    for (auto contact : m_membership.contacts()) {
        if (m_isReader || distanceTo(contact) != peer_distance::OtherRegion)
            sendDigest(contact, 0, 0);
    }
    tryNextOffer(now);
}

auto configuration_replicator::handlePause() -> void
{
    m_confirmed = false;
    // A new question, so that answers that waited in the sockets during the pause do not count.
    m_question = m_random();
    for (auto contact : m_membership.contacts())
        sendDigest(contact, m_question, 0);
}

auto configuration_replicator::handle(node_key sender, const digest_message& message, time_point now) -> void
{
    auto current = m_source.current();
    auto& theirs = message.revision;
    if (theirs.number == current.number && theirs.hash != current.hash)
        reportFork(sender, theirs);
    if (theirs.number > current.number)
        addOffer(sender, theirs, now);
    else if (theirs.number != 0 && message.answerTo == m_question)
        m_confirmed = true;
    if (message.question != 0 || theirs.number < current.number)
        sendDigest(sender, 0, message.question);
}

auto configuration_replicator::reportFork(node_key sender, const revision_id& theirs) -> void
{
    if (m_offers.isRefused(theirs))
        return;
    m_offers.refuse(theirs);
    reportRefusal(result_code::ConfigurationForked, theirs, sender);
}

auto configuration_replicator::addOffer(node_key sender, const revision_id& revision, time_point now) -> void
{
    auto distance = distanceTo(sender);
    auto waits = distance == peer_distance::OtherRegion && !m_isReader;
    auto jitter = duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(m_settings.crossRegionDelay.ns) + 1)) };
    m_offers.add({ sender, revision, distance, waits ? now + m_settings.crossRegionDelay + jitter : now });
    if (!m_download)
        tryNextOffer(now);
}

auto configuration_replicator::tryNextOffer(time_point now) -> void
{
    // Without a configuration, collect digests of several peers first: the highest revision counts, not the first offered.
    if (m_source.current().number == 0 && now < m_discoveryEnd)
        return;
    auto preferred = m_download ? std::optional(m_download->target()) : std::nullopt;
    auto offer = m_offers.best(now, preferred);
    if (!offer)
        return;
    beginDownload(*offer, now);
}

auto configuration_replicator::beginDownload(const revision_offer& offer, time_point now) -> void
{
    auto resumes = m_download && m_download->target() == offer.revision && m_download->have() == m_source.current();
    if (resumes) {
        m_counts.resumed += m_download->peer() == offer.peer ? 0 : 1;
        m_download->switchTo(offer);
    } else
        m_download.emplace(m_source, offer);
    m_stalled = false;
    request(now);
}

auto configuration_replicator::answerDeadline(time_point now) const -> time_point
{
    // Changes are small and many peers have them; a whole configuration may wait longer in the upload queue of a busy peer.
    return now + (m_source.current().number == 0 ? m_settings.partTimeout : m_settings.answerTimeout);
}

auto configuration_replicator::request(time_point now) -> void
{
    ++m_counts.requests;
    m_sender.send(m_download->peer(), m_download->makeRequest(answerDeadline(now)));
}

auto configuration_replicator::handle(node_key sender, const revision_request_message& message, time_point now) -> void
{
    if (m_source.current().number <= message.have.number)
        return;
    m_uploads.add(sender, message, distanceTo(sender));
    m_uploads.serve(m_source, m_sender, now);
}

auto configuration_replicator::handle(node_key sender, const revision_part_message& message, time_point now) -> void
{
    if (!m_download)
        return;
    switch (m_download->put(sender, message, answerDeadline(now))) {
    case revision_download::progress::Unrelated:
    case revision_download::progress::Waiting:
        return;
    case revision_download::progress::RequestNext:
        request(now);
        return;
    case revision_download::progress::Broken:
        // Restart, with another peer if there is one. A late part of a previous peer does not end the transfer.
        if (sender != m_download->peer())
            return;
        m_offers.postpone(sender, now + failedPeerBackoff);
        m_download.reset();
        tryNextOffer(now);
        return;
    case revision_download::progress::Complete:
        finishDownload(now);
        return;
    }
}

auto configuration_replicator::finishDownload(time_point now) -> void
{
    auto target = m_download->target();
    auto peer = m_download->peer();
    auto code = leaf::try_handle_all(
        [&]() -> leaf::result<result_code> {
            BOOST_LEAF_CHECK(m_download->finish());
            return result_code::Ok;
        },
        [](const fault_list& list) { return list.faults.front().code; }, [] { return result_code::Internal; });
    m_download.reset();
    if (code == result_code::Ok) {
        ++m_counts.adopted;
        m_listener.onRevisionAdopted(target);
        announce(now);
        return;
    }
    // With records missing in between, neither history can be verified. The store keeps all records, so this node reads it. Any
    // other failure is caused by the revision itself, regardless of the peer that offers it.
    if (code == result_code::ConfigurationChunkMissing) {
        m_historyGap = true;
        m_offers.postpone(peer, now + historyGapBackoff);
    } else
        m_offers.refuse(target);
    reportRefusal(code, target, peer);
    tryNextOffer(now);
}

auto configuration_replicator::reportRefusal(result_code code, const revision_id& revision, node_key peer) -> void
{
    if (code == result_code::ConfigurationForked)
        ++m_counts.refusedForked;
    else if (code == result_code::ConfigurationRolledBack)
        ++m_counts.refusedRolledBack;
    else
        ++m_counts.refusedInvalid;
    m_listener.onRevisionRefused(code, revision, peer);
}

auto configuration_replicator::exchangeDigest(time_point now) -> void
{
    // Jitter desynchronizes nodes that started together.
    auto half = static_cast<uint64_t>(m_settings.digestInterval.ns / 2);
    m_nextDigest = now + m_settings.digestInterval / 2 + duration { static_cast<int64_t>(m_random.below(2 * half + 1)) };
    if (auto peer = chooseDigestPeer()) {
        ++m_counts.digests;
        sendDigest(*peer, m_confirmed ? 0 : m_question, 0);
    }
}

auto configuration_replicator::chooseDigestPeer() -> std::optional<node_key>
{
    ++m_digestRound;
    auto reach = peer_distance::SameDataCentre;
    if (m_digestRound % regionDigestPeriod == 0)
        reach = peer_distance::SameRegion;
    // Only designated readers choose a peer in another region.
    if (m_digestRound % crossRegionDigestPeriod == 0 && m_isReader)
        reach = peer_distance::OtherRegion;
    auto usable = [&](const member& entry, bool anywhere) {
        auto key = entry.node.key;
        return key != m_settings.self && entry.isReachable() && (anywhere || distanceTo(key) == reach);
    };
    auto preferred = m_membership.table().pick(m_random, [&](auto& entry) { return usable(entry, false); });
    if (preferred)
        return preferred;
    // A node that is alone in its data centre or region uses any reachable peer.
    return m_membership.table().pick(m_random, [&](auto& entry) { return usable(entry, true); });
}

auto configuration_replicator::sendDigest(node_key receiver, uint64_t question, uint64_t answerTo) -> void
{
    m_sender.send(receiver, digest_message { m_source.current(), m_membership.hashOfUnavailable(), question, answerTo });
}

auto configuration_replicator::distanceTo(node_key peer) const -> peer_distance
{
    auto* own = m_membership.table().find(m_settings.self);
    auto* other = m_membership.table().find(peer);
    // The distance of an unregistered peer is not known. A node without configuration assumes that its seeds are in its region,
    // because the operator chose them.
    if (!own || !other)
        return peer_distance::SameRegion;
    return distanceBetween(own->node, other->node);
}

auto configuration_replicator::refreshReader() -> void
{
    // The choice hashes all nodes of the data centre, so it is repeated only when the membership changes.
    if (m_membership.version() == m_readerVersion)
        return;
    m_readerVersion = m_membership.version();
    m_isReader = isStoreReader(m_membership, m_settings.self, m_settings.readersPerDataCentre);
}

auto configuration_replicator::isReady() const -> bool
{
    return m_source.current().number != 0 && m_confirmed;
}

auto configuration_replicator::shouldReadStore(time_point now) const -> bool
{
    if (!m_started || now < m_discoveryEnd)
        return false;
    if (m_source.current().number != 0)
        return m_historyGap || m_isReader;
    // Peers that offer a revision take precedence, because the store's head may be older than theirs.
    auto peersCanServe = !m_offers.empty() && !m_stalled;
    return !peersCanServe && now >= m_coldReadAt;
}

} // namespace gypsumhub
