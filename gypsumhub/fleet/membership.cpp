#include "gypsumhub/fleet/membership.h"

#include "gypsumhub/fleet/helper_choice.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto claimsPerProbe = std::size_t { 8 };
    constexpr auto claimsPerMessage = std::size_t { 24 };
    constexpr auto gossipReceivers = uint32_t { 2 };
    // Limits of the answers to digests with a different hash: claims per answer, and time between answers.
    constexpr auto claimsPerSync = std::size_t { 32 };
    constexpr auto syncInterval = seconds(1);

} // namespace

membership::membership(const membership_settings& settings, peer_sender& sender, membership_listener& listener)
    : m_settings(settings)
    , m_sender(sender)
    , m_listener(listener)
    , m_random(settings.seed)
    , m_connectivity(settings.maxTickGap, settings.isolationTimeout)
    , m_schedule(settings.deadProbePeriod, settings.crossRegionRoundPeriod)
    , m_incarnation(settings.incarnation)
{
}

auto membership::setNodes(std::span<const registered_node> nodes, time_point now) -> void
{
    auto first = m_table.members().empty();
    m_table.setNodes(nodes);
    ++m_version;
    m_rings.rebuild(m_table.members(), m_settings.self, m_settings.rings);
    m_rings.refresh(m_table);
    if (first) {
        // Jitter, so that nodes that start together do not probe together.
        m_nextProbe = now + m_settings.probeInterval * static_cast<int64_t>(m_random.below(1000)) / 1000;
        m_connectivity.start(now);
        probeContacts(now);
    }
    m_listener.onMembershipChange();
}

auto membership::tick(time_point now) -> void
{
    detectPause(now);
    expireProbes(now);
    expireSuspicions(now);
    detectIsolation(now);
    if (now >= m_nextProbe)
        probeNext(now);
    if (now >= m_nextGossip && m_gossipQueue.hasFresh())
        gossip(now);
}

auto membership::detectPause(time_point now) -> void
{
    auto pause = m_connectivity.recordActivity(now);
    if (!pause)
        return;
    ++m_counts.pauses;
    // Answers during the pause were not read in time, so missing ones must not count against a peer.
    m_probes.clear();
    forEachSuspected([&](member& entry) { entry.suspectedUntil = entry.suspectedUntil + *pause; });
    probeContacts(now);
    m_listener.onPause();
    m_listener.onMembershipChange();
}

auto membership::detectIsolation(time_point now) -> void
{
    auto before = m_connectivity.isIsolated();
    m_connectivity.update(now, hasReachablePeers());
    if (m_connectivity.isIsolated() != before)
        notifyChange();
}

template <typename Action>
auto membership::forEachSuspected(Action action) -> void
{
    auto suspects = std::exchange(m_suspects, {});
    for (auto key : suspects) {
        auto* entry = m_table.find(key);
        if (!entry || entry->state != member_state::Suspected)
            continue;
        action(*entry);
        if (entry->state == member_state::Suspected)
            m_suspects.push_back(key);
    }
}

auto membership::notifyChange() -> void
{
    ++m_version;
    m_listener.onMembershipChange();
}

auto membership::isAlone() const -> bool
{
    return m_connectivity.isIsolated() || !hasReachablePeers();
}

auto membership::hasReachablePeers() const -> bool
{
    return std::ranges::any_of(
        m_table.members(), [&](auto& entry) { return entry.isReachable() && entry.node.key != m_settings.self; });
}

auto membership::recordMessage(node_key sender, uint64_t incarnation, time_point now) -> void
{
    auto wasIsolated = m_connectivity.isIsolated();
    // When an isolation ends, the suspected nodes get the full time to refute again.
    if (m_connectivity.isIsolated())
        forEachSuspected([&](member& entry) { entry.suspectedUntil = now + m_settings.suspicionTimeout; });
    m_connectivity.recordMessage(now);
    if (wasIsolated)
        notifyChange();
    adoptOne({ sender, incarnation, member_state::Alive }, now);
    // A sender that is still suspected or dead in this node's view is notified, so that it can refute the claim.
    auto* entry = m_table.find(sender);
    if (entry && (entry->state == member_state::Suspected || entry->state == member_state::Dead))
        m_sender.send(sender, membership_message { { entry->claim() } });
}

auto membership::probeContacts(time_point now) -> void
{
    // Copied, because a probe may change the rings.
    auto contacts = std::vector<node_key>(m_rings.contacts().begin(), m_rings.contacts().end());
    for (auto key : contacts)
        probe(key, now);
}

auto membership::probeNext(time_point now) -> void
{
    m_nextProbe = now + m_settings.probeInterval;
    if (auto subject = m_schedule.next(m_rings, m_table, m_random))
        probe(*subject, now);
}

auto membership::probe(node_key subject, time_point now) -> void
{
    ++m_counts.probes;
    auto failsAt = now + m_settings.directTimeout + m_settings.indirectTimeout;
    auto sequence = m_probes.add({ 0, subject, now + m_settings.directTimeout, failsAt });
    m_sender.send(subject, ping_message { sequence, m_incarnation, {}, claimsForProbe() });
}

auto membership::expireProbes(time_point now) -> void
{
    while (auto* overdue = m_probes.findOverdue(now))
        requestIndirectProbes(*overdue, now);
    for (auto& probe : m_probes.takeFailed(now))
        endProbe(probe, now);
}

auto membership::requestIndirectProbes(outstanding_probe& probe, time_point now) -> void
{
    probe.indirectProbesRequested = true;
    auto* subject = m_table.find(probe.subject);
    // An unanswered probe of a dead node changes nothing, so no indirect probes are spent on it.
    if (!subject || !subject->isReachable()) {
        probe.failsAt = now;
        return;
    }
    auto helpers = chooseHelpers(m_table, m_settings.self, probe.subject, m_settings.helpers, m_random);
    probe.hasHelpers = !helpers.empty();
    for (auto helper : helpers) {
        ++m_counts.indirectProbes;
        m_sender.send(helper, ping_message { probe.sequence, m_incarnation, probe.subject, claimsForProbe() });
    }
}

auto membership::endProbe(const outstanding_probe& probe, time_point now) -> void
{
    if (probe.origin) {
        m_sender.send(*probe.origin, ping_ack_message { probe.originSequence, 0, probe.subject, false });
        return;
    }
    auto* subject = m_table.find(probe.subject);
    if (!subject || subject->state != member_state::Alive)
        return;
    // Without confirmation by a helper the failure may be in this node's own connectivity, so it must not suspect the subject.
    if (probe.hasHelpers && !probe.helperConfirmed)
        return;
    ++m_counts.suspicions;
    auto claim = member_claim { probe.subject, subject->incarnation, member_state::Suspected };
    adoptOne(claim, now);
    m_sender.send(probe.subject, membership_message { { claim } });
}

auto membership::expireSuspicions(time_point now) -> void
{
    // An isolated node could not have received a refutation.
    if (m_connectivity.isIsolated())
        return;
    forEachSuspected([&](member& entry) {
        if (entry.suspectedUntil > now)
            return;
        ++m_counts.deaths;
        adoptOne({ entry.node.key, entry.incarnation, member_state::Dead }, now);
    });
}

auto membership::gossip(time_point now) -> void
{
    m_nextGossip = now + m_settings.gossipInterval;
    // Other regions receive the claims piggybacked on probes.
    auto contacts = m_rings.regionalContacts();
    if (contacts.empty())
        return;
    auto claims = claimsOf(m_gossipQueue.takeFresh(claimsPerMessage, gossipReceivers));
    auto start = m_random.below(contacts.size());
    auto receivers = std::min<std::size_t>(gossipReceivers, contacts.size());
    for (auto index = std::size_t { 0 }; index < receivers; ++index)
        m_sender.send(contacts[(start + index) % contacts.size()], membership_message { claims });
}

auto membership::handle(node_key sender, const ping_message& message, time_point now) -> void
{
    detectPause(now);
    recordMessage(sender, message.incarnation, now);
    adopt(sender, message.claims, now);
    if (!message.subject || *message.subject == m_settings.self) {
        m_sender.send(sender, ping_ack_message { message.sequence, m_incarnation, m_settings.self, true, claimsForProbe() });
        return;
    }
    // Probe on behalf of the sender. This deadline is before the sender's own, so that this node's answer arrives in time.
    auto failsAt = now + m_settings.indirectTimeout * 2 / 3;
    auto sequence = m_probes.add({ 0, *message.subject, failsAt, failsAt, true, false, false, sender, message.sequence });
    m_sender.send(*message.subject, ping_message { sequence, m_incarnation, {}, claimsForProbe() });
}

auto membership::handle(node_key sender, const ping_ack_message& message, time_point now) -> void
{
    detectPause(now);
    recordMessage(sender, message.subject == sender ? message.incarnation : 0, now);
    adopt(sender, message.claims, now);
    auto* probe = m_probes.find(message.sequence);
    // An answer about another subject or after the deadline only counts as a message from the sender.
    if (!probe || probe->subject != message.subject)
        return;
    if (!message.reached) {
        probe->helperConfirmed = true;
        return;
    }
    auto done = *m_probes.take(message.sequence);
    if (!m_connectivity.hasAnswer()) {
        m_connectivity.recordAnswer();
        m_listener.onMembershipChange();
    }
    if (done.origin)
        m_sender.send(*done.origin, ping_ack_message { done.originSequence, message.incarnation, done.subject, true });
    adoptOne({ message.subject, message.incarnation, member_state::Alive }, now);
}

auto membership::handle(node_key sender, const membership_message& message, time_point now) -> void
{
    detectPause(now);
    adopt(sender, message.claims, now);
}

auto membership::handle(node_key sender, const digest_message& message, time_point now) -> void
{
    detectPause(now);
    if (message.membershipHash == m_table.hashOfUnavailable() || now < m_nextSync)
        return;
    m_nextSync = now + syncInterval;
    // Only claims about unavailable nodes are sent; a peer with newer state answers with its own claim.
    auto claims = std::vector<member_claim> {};
    auto members = m_table.members();
    auto start = members.empty() ? 0 : m_random.below(members.size());
    for (auto step = std::size_t { 0 }; step < members.size() && claims.size() < claimsPerSync; ++step) {
        auto& entry = members[(start + step) % members.size()];
        if (!entry.isAvailable())
            claims.push_back(entry.claim());
    }
    if (!claims.empty())
        m_sender.send(sender, membership_message { std::move(claims) });
}

auto membership::adopt(node_key sender, std::span<const member_claim> claims, time_point now) -> void
{
    auto corrections = std::vector<member_claim> {};
    for (auto& claim : claims) {
        if (claim.node == m_settings.self) {
            refute(claim);
            continue;
        }
        if (adoptOne(claim, now) != member_merge_result::Outdated || claim.state == member_state::Alive)
            continue;
        // The sender's claim is outdated; if the node is available, send the newer claim back.
        auto* entry = m_table.find(claim.node);
        if (entry->isAvailable())
            corrections.push_back(entry->claim());
    }
    if (!corrections.empty())
        m_sender.send(sender, membership_message { std::move(corrections) });
}

auto membership::adoptOne(const member_claim& claim, time_point now) -> member_merge_result
{
    auto* entry = m_table.find(claim.node);
    if (!entry || claim.node == m_settings.self)
        return member_merge_result::Ignored;
    auto before = *entry;
    auto result = m_table.merge(claim);
    if (result != member_merge_result::Adopted && result != member_merge_result::AdoptedReplacement)
        return result;
    if (entry->state == member_state::Suspected) {
        auto isContact = std::ranges::find(m_rings.contacts(), claim.node) != m_rings.contacts().end();
        entry->suspectedUntil = now + m_settings.suspicionTimeout * (isContact ? 1 : 2);
        if (std::ranges::find(m_suspects, claim.node) == m_suspects.end())
            m_suspects.push_back(claim.node);
        // Nodes that probe the suspected node notify it at once, so that it can refute in time.
        if (isContact)
            m_sender.send(claim.node, membership_message { { claim } });
    }
    // The first incarnation received of a node that was alive all along is not a change.
    if (entry->state != before.state || result == member_merge_result::AdoptedReplacement)
        m_gossipQueue.add(claim.node, m_table.members().size());
    if (entry->isReachable() != before.isReachable())
        m_rings.refresh(m_table);
    if (result == member_merge_result::AdoptedReplacement)
        m_listener.onPeerReplaced(claim.node);
    if (entry->isAvailable() != before.isAvailable())
        notifyChange();
    return result;
}

auto membership::refute(const member_claim& claim) -> void
{
    auto isTrue = claim.state == member_state::Alive || (m_stopping && claim.state == member_state::Stopping);
    if (isTrue || claim.incarnation < m_incarnation || !m_settings.refutes)
        return;
    ++m_counts.refutations;
    m_incarnation = claim.incarnation + 1;
    m_gossipQueue.add(m_settings.self, m_table.members().size());
}

auto membership::announceShutdown(time_point now) -> void
{
    m_stopping = true;
    auto size = m_table.members().size();
    m_gossipQueue.add(m_settings.self, size);
    for (auto contact : m_rings.contacts())
        m_sender.send(contact, membership_message { { ownClaim() } });
    gossip(now);
    m_listener.onMembershipChange();
}

auto membership::ownClaim() const -> member_claim
{
    return { m_settings.self, m_incarnation, m_stopping ? member_state::Stopping : member_state::Alive };
}

auto membership::claimsOf(std::span<const node_key> nodes) const -> std::vector<member_claim>
{
    auto claims = std::vector<member_claim> {};
    for (auto node : nodes) {
        if (node == m_settings.self)
            claims.push_back(ownClaim());
        else if (auto* entry = m_table.find(node))
            claims.push_back(entry->claim());
    }
    return claims;
}

auto membership::claimsForProbe() -> std::vector<member_claim>
{
    return claimsOf(m_gossipQueue.takeForProbe(claimsPerProbe));
}

auto membership::alive() const -> std::vector<node_key>
{
    auto keys = std::vector<node_key> {};
    auto includesSelf = m_stopping;
    for (auto& entry : m_table.members()) {
        auto isSelf = entry.node.key == m_settings.self;
        if (isSelf ? !m_stopping : entry.isAvailable() && !m_connectivity.isIsolated())
            keys.push_back(entry.node.key);
        includesSelf = includesSelf || isSelf;
    }
    // A node that is not registered yet still serves the requests that reach it.
    if (!includesSelf)
        keys.insert(std::ranges::lower_bound(keys, m_settings.self), m_settings.self);
    return keys;
}

auto membership::isReady() const -> bool
{
    if (m_stopping)
        return false;
    return m_connectivity.hasAnswer() || isAlone();
}

} // namespace gypsumhub
