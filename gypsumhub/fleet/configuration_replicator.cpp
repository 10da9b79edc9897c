#include "gypsumhub/fleet/configuration_replicator.h"

#include "gypsumhub/fleet/store_reader_choice.h"

#include <algorithm>
#include <cmath>

namespace gypsumhub {

namespace {

    // Every so many digests one goes to another data centre of the region, and one to another region.
    constexpr auto regionDigestPeriod = uint64_t { 3 };
    constexpr auto farDigestPeriod = uint64_t { 6 };
    constexpr auto maxGreeted = std::size_t { 16 };
    // A peer that failed to deliver is left alone for so long.
    constexpr auto failedPeerPause = seconds(3);
    // A peer whose records do not reach back to ours is left alone for longer, because a whole transfer was in vain.
    constexpr auto gapPause = minutes(1);

} // namespace

configuration_replicator::configuration_replicator(const replicator_settings& settings, const membership& view,
    configuration_source& source, peer_sender& sender, spreader_listener& listener)
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
        m_learnUntil = m_settings.hasSeeds ? now + m_settings.learnDelay : now;
        m_readAlone = m_settings.hasSeeds ? m_learnUntil + drawColdReadDelay() : now;
        for (auto contact : m_membership.contacts())
            sendDigest(contact, m_question, 0);
    }
    refreshReader();
    if (m_download && !m_stalled && m_download->deadline() <= now) {
        m_offers.postpone(m_download->peer(), now + failedPeerPause);
        m_stalled = true;
    }
    if (!m_download || m_stalled)
        pursue(now);
    m_uploads.serve(m_source, m_sender, now);
    // Seeds may have had nothing either when they were asked first.
    if (m_source.current().number == 0 && now >= m_nextGreeting)
        greetAgain(now);
    if (m_settings.exchangesDigests && now >= m_nextDigest)
        exchangeDigest(now);
}

auto configuration_replicator::drawColdReadDelay() -> duration
{
    // Drawn so that the count of nodes that have turned to the store doubles in each of the equal steps: in a fleet of any
    // size only a few go before the first of them can teach the others.
    constexpr auto doublings = 12.0;
    auto share = std::log2(1 + m_random.unit() * (std::exp2(doublings) - 1)) / doublings;
    return { static_cast<int64_t>(share * static_cast<double>(m_settings.coldReadSpread.ns)) };
}

auto configuration_replicator::greet(node_key peer) -> void
{
    if (m_source.current().number == 0 && m_greeted.size() < maxGreeted && std::ranges::find(m_greeted, peer) == m_greeted.end())
        m_greeted.push_back(peer);
    sendDigest(peer, m_question, 0);
}

auto configuration_replicator::greetAgain(time_point now) -> void
{
    m_nextGreeting = now + m_settings.greetInterval;
    for (auto peer : m_greeted)
        sendDigest(peer, m_question, 0);
}

auto configuration_replicator::announce(time_point now) -> void
{
    m_confirmed = true;
    m_lagsTooFar = false;
    m_offers.dropUpTo(m_source.current());
    if (m_download && m_download->have() != m_source.current())
        m_download.reset();
    // News crosses between regions by the readers alone; everybody else hears it from neighbours.
    for (auto contact : m_membership.contacts()) {
        if (m_isReader || distanceTo(contact) != peer_distance::OtherRegion)
            sendDigest(contact, 0, 0);
    }
    pursue(now);
}

auto configuration_replicator::notePause() -> void
{
    m_confirmed = false;
    // Another question than before: answers that lay in the sockets during the pause do not count.
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
        noteOffer(sender, theirs, now);
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
    noteRefusal(result_code::ConfigurationForked, theirs, sender);
}

auto configuration_replicator::noteOffer(node_key sender, const revision_id& revision, time_point now) -> void
{
    auto distance = distanceTo(sender);
    auto waits = distance == peer_distance::OtherRegion && !m_isReader;
    auto jitter = duration { static_cast<int64_t>(m_random.below(static_cast<uint64_t>(m_settings.farDelay.ns) + 1)) };
    m_offers.add({ sender, revision, distance, waits ? now + m_settings.farDelay + jitter : now });
    if (!m_download)
        pursue(now);
}

auto configuration_replicator::pursue(time_point now) -> void
{
    // Without a configuration, hear several peers first: the highest verified revision counts, not the first.
    if (m_source.current().number == 0 && now < m_learnUntil)
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
    // Changes are small and peers many; a whole configuration may wait its turn at a busy peer.
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
        // Begin anew, with another peer if there is one. Another peer's late part breaks nothing.
        if (sender != m_download->peer())
            return;
        m_offers.postpone(sender, now + failedPeerPause);
        m_download.reset();
        pursue(now);
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
    // With records missing in between neither history is proved: the store keeps them all, so this node reads it. Anything else
    // is the revision's fault, whoever offers it.
    if (code == result_code::ConfigurationChunkMissing) {
        m_lagsTooFar = true;
        m_offers.postpone(peer, now + gapPause);
    } else
        m_offers.refuse(target);
    noteRefusal(code, target, peer);
    pursue(now);
}

auto configuration_replicator::noteRefusal(result_code code, const revision_id& revision, node_key peer) -> void
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
    // Jitter keeps nodes that started together from speaking together.
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
    // The way between regions is left to the readers.
    if (m_digestRound % farDigestPeriod == 0 && m_isReader)
        reach = peer_distance::OtherRegion;
    auto usable = [&](const member& entry, bool anywhere) {
        auto key = entry.node.key;
        return key != m_settings.self && entry.isReachable() && (anywhere || distanceTo(key) == reach);
    };
    auto near = m_membership.table().pick(m_random, [&](auto& entry) { return usable(entry, false); });
    if (near)
        return near;
    // A node alone in its data centre or region takes whom it finds.
    return m_membership.table().pick(m_random, [&](auto& entry) { return usable(entry, true); });
}

auto configuration_replicator::sendDigest(node_key receiver, uint64_t question, uint64_t answerTo) -> void
{
    m_sender.send(receiver, digest_message { m_source.current(), m_membership.hashOfAbsent(), question, answerTo });
}

auto configuration_replicator::distanceTo(node_key peer) const -> peer_distance
{
    auto* own = m_membership.table().find(m_settings.self);
    auto* other = m_membership.table().find(peer);
    // Seeds of a node without configuration are taken to be near: the operator chose them.
    if (!own || !other)
        return peer_distance::SameRegion;
    return distanceBetween(own->node, other->node);
}

auto configuration_replicator::refreshReader() -> void
{
    // Choosing hashes the whole data centre, so it is done only when somebody came or went.
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
    if (!m_started || now < m_learnUntil)
        return false;
    if (m_source.current().number != 0)
        return m_lagsTooFar || m_isReader;
    // Peers that hold a revision are asked first; the store's head may be older than theirs.
    auto peersCanTeach = !m_offers.empty() && !m_stalled;
    return !peersCanTeach && now >= m_readAlone;
}

} // namespace gypsumhub
