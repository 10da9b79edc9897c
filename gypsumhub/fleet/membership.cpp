#include "gypsumhub/fleet/membership.h"

#include "gypsumhub/fleet/helper_choice.h"

#include <algorithm>
#include <utility>

namespace gypsumhub {

namespace {

    constexpr auto claimsPerProbe = std::size_t { 8 };
    constexpr auto claimsPerMessage = std::size_t { 24 };
    constexpr auto gossipReceivers = uint32_t { 2 };
    // Claims told in answer to a digest that differs, and how often that may happen.
    constexpr auto claimsPerSync = std::size_t { 32 };
    constexpr auto syncInterval = seconds(1);

} // namespace

membership::membership(const membership_settings& settings, peer_sender& sender, membership_listener& listener)
    : m_settings(settings)
    , m_sender(sender)
    , m_listener(listener)
    , m_random(settings.seed)
    , m_hearing(settings.maxTickGap, settings.isolationLimit)
    , m_schedule(settings.deadProbePeriod, settings.farRoundPeriod)
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
        // Everybody starting at once must not probe at once.
        m_nextProbe = now + m_settings.probeInterval * static_cast<int64_t>(m_random.below(1000)) / 1000;
        m_hearing.start(now);
        probeContacts(now);
    }
    m_listener.onMembershipChange();
}

auto membership::tick(time_point now) -> void
{
    noticePause(now);
    expireProbes(now);
    expireSuspicions(now);
    noticeIsolation(now);
    if (now >= m_nextProbe)
        probeNext(now);
    if (now >= m_nextGossip && m_news.hasFresh())
        gossip(now);
}

auto membership::noticePause(time_point now) -> void
{
    auto pause = m_hearing.noteActivity(now);
    if (!pause)
        return;
    ++m_counts.pauses;
    // Answers that came meanwhile were not seen in time, so nobody may be blamed for the silence.
    m_probes.clear();
    forEachSuspected([&](member& entry) { entry.suspectedUntil = entry.suspectedUntil + *pause; });
    probeContacts(now);
    m_listener.onPause();
    m_listener.onMembershipChange();
}

auto membership::noticeIsolation(time_point now) -> void
{
    auto before = m_hearing.isIsolated();
    m_hearing.update(now, hasReachableOthers());
    if (m_hearing.isIsolated() != before)
        noteChange();
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

auto membership::noteChange() -> void
{
    ++m_version;
    m_listener.onMembershipChange();
}

auto membership::isAlone() const -> bool
{
    return m_hearing.isIsolated() || !hasReachableOthers();
}

auto membership::hasReachableOthers() const -> bool
{
    return std::ranges::any_of(
        m_table.members(), [&](auto& entry) { return entry.isReachable() && entry.node.key != m_settings.self; });
}

auto membership::noteHeard(node_key sender, uint64_t incarnation, time_point now) -> void
{
    auto wasIsolated = m_hearing.isIsolated();
    // After a cut the suspected get their time to refute anew.
    if (m_hearing.isIsolated())
        forEachSuspected([&](member& entry) { entry.suspectedUntil = now + m_settings.suspicion; });
    m_hearing.noteHeard(now);
    if (wasIsolated)
        noteChange();
    adoptOne({ sender, incarnation, member_state::Alive }, now);
    // Whom others believe absent learns it here and can refute it.
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
    m_sender.send(subject, ping_message { sequence, m_incarnation, {}, newsForProbe() });
}

auto membership::expireProbes(time_point now) -> void
{
    while (auto* overdue = m_probes.findOverdue(now))
        askHelpers(*overdue, now);
    for (auto& probe : m_probes.takeFailed(now))
        endProbe(probe, now);
}

auto membership::askHelpers(outstanding_probe& probe, time_point now) -> void
{
    probe.helpersAsked = true;
    auto* subject = m_table.find(probe.subject);
    // Silence of a dead node tells nothing new.
    if (!subject || !subject->isReachable()) {
        probe.failsAt = now;
        return;
    }
    auto helpers = chooseHelpers(m_table, m_settings.self, probe.subject, m_settings.helpers, m_random);
    probe.hasHelpers = !helpers.empty();
    for (auto helper : helpers) {
        ++m_counts.indirectProbes;
        m_sender.send(helper, ping_message { probe.sequence, m_incarnation, probe.subject, newsForProbe() });
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
    // Without a helper's word the fault may be in this node's own hearing, and it must accuse nobody.
    if (probe.hasHelpers && !probe.helperConfirmed)
        return;
    ++m_counts.suspicions;
    auto claim = member_claim { probe.subject, subject->incarnation, member_state::Suspected };
    adoptOne(claim, now);
    m_sender.send(probe.subject, membership_message { { claim } });
}

auto membership::expireSuspicions(time_point now) -> void
{
    // A node that hears nobody could not have heard the refutation.
    if (m_hearing.isIsolated())
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
    // Other regions hear the news along with probes.
    auto contacts = m_rings.nearContacts();
    if (contacts.empty())
        return;
    auto claims = claimsOf(m_news.takeFresh(claimsPerMessage, gossipReceivers));
    auto start = m_random.below(contacts.size());
    auto receivers = std::min<std::size_t>(gossipReceivers, contacts.size());
    for (auto index = std::size_t { 0 }; index < receivers; ++index)
        m_sender.send(contacts[(start + index) % contacts.size()], membership_message { claims });
}

auto membership::handle(node_key sender, const ping_message& message, time_point now) -> void
{
    noticePause(now);
    noteHeard(sender, message.incarnation, now);
    adopt(sender, message.claims, now);
    if (!message.subject || *message.subject == m_settings.self) {
        m_sender.send(sender, ping_ack_message { message.sequence, m_incarnation, m_settings.self, true, newsForProbe() });
        return;
    }
    // Probe in the sender's place; its own deadline leaves room for our answer.
    auto failsAt = now + m_settings.indirectTimeout * 2 / 3;
    auto sequence = m_probes.add({ 0, *message.subject, failsAt, failsAt, true, false, false, sender, message.sequence });
    m_sender.send(*message.subject, ping_message { sequence, m_incarnation, {}, newsForProbe() });
}

auto membership::handle(node_key sender, const ping_ack_message& message, time_point now) -> void
{
    noticePause(now);
    noteHeard(sender, message.subject == sender ? message.incarnation : 0, now);
    adopt(sender, message.claims, now);
    auto* probe = m_probes.find(message.sequence);
    // An answer about somebody else, or after the deadline, counts for nothing more than being heard.
    if (!probe || probe->subject != message.subject)
        return;
    if (!message.reached) {
        probe->helperConfirmed = true;
        return;
    }
    auto done = *m_probes.take(message.sequence);
    if (!m_hearing.hasAnswer()) {
        m_hearing.noteAnswered();
        m_listener.onMembershipChange();
    }
    if (done.origin)
        m_sender.send(*done.origin, ping_ack_message { done.originSequence, message.incarnation, done.subject, true });
    adoptOne({ message.subject, message.incarnation, member_state::Alive }, now);
}

auto membership::handle(node_key sender, const membership_message& message, time_point now) -> void
{
    noticePause(now);
    adopt(sender, message.claims, now);
}

auto membership::handle(node_key sender, const digest_message& message, time_point now) -> void
{
    noticePause(now);
    if (message.membershipHash == m_table.hashOfAbsent() || now < m_nextSync)
        return;
    m_nextSync = now + syncInterval;
    // Only the absent are told; whoever knows better answers with its own claim.
    auto claims = std::vector<member_claim> {};
    auto members = m_table.members();
    auto start = members.empty() ? 0 : m_random.below(members.size());
    for (auto step = std::size_t { 0 }; step < members.size() && claims.size() < claimsPerSync; ++step) {
        auto& entry = members[(start + step) % members.size()];
        if (!entry.takesWork())
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
        if (adoptOne(claim, now) != claim_result::Outdated || claim.state == member_state::Alive)
            continue;
        // The sender takes for absent a node of which we know better.
        auto* entry = m_table.find(claim.node);
        if (entry->takesWork())
            corrections.push_back(entry->claim());
    }
    if (!corrections.empty())
        m_sender.send(sender, membership_message { std::move(corrections) });
}

auto membership::adoptOne(const member_claim& claim, time_point now) -> claim_result
{
    auto* entry = m_table.find(claim.node);
    if (!entry || claim.node == m_settings.self)
        return claim_result::Ignored;
    auto before = *entry;
    auto result = m_table.merge(claim);
    if (result != claim_result::Adopted && result != claim_result::AdoptedReplacement)
        return result;
    if (entry->state == member_state::Suspected) {
        auto isContact = std::ranges::find(m_rings.contacts(), claim.node) != m_rings.contacts().end();
        entry->suspectedUntil = now + m_settings.suspicion * (isContact ? 1 : 2);
        if (std::ranges::find(m_suspects, claim.node) == m_suspects.end())
            m_suspects.push_back(claim.node);
        // Its watchers tell the accused at once, so that it can refute in time.
        if (isContact)
            m_sender.send(claim.node, membership_message { { claim } });
    }
    // Learning the incarnation of a node that was alive all along is no news.
    if (entry->state != before.state || result == claim_result::AdoptedReplacement)
        m_news.add(claim.node, m_table.members().size());
    if (entry->isReachable() != before.isReachable())
        m_rings.refresh(m_table);
    if (result == claim_result::AdoptedReplacement)
        m_listener.onPeerReplaced(claim.node);
    if (entry->takesWork() != before.takesWork())
        noteChange();
    return result;
}

auto membership::refute(const member_claim& claim) -> void
{
    auto isTrue = claim.state == member_state::Alive || (m_stopping && claim.state == member_state::Stopping);
    if (isTrue || claim.incarnation < m_incarnation || !m_settings.refutes)
        return;
    ++m_counts.refutations;
    m_incarnation = claim.incarnation + 1;
    m_news.add(m_settings.self, m_table.members().size());
}

auto membership::announceShutdown(time_point now) -> void
{
    m_stopping = true;
    auto size = m_table.members().size();
    m_news.add(m_settings.self, size);
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

auto membership::newsForProbe() -> std::vector<member_claim>
{
    return claimsOf(m_news.takeForProbe(claimsPerProbe));
}

auto membership::alive() const -> std::vector<node_key>
{
    auto keys = std::vector<node_key> {};
    auto selfSeen = m_stopping;
    for (auto& entry : m_table.members()) {
        auto isSelf = entry.node.key == m_settings.self;
        if (isSelf ? !m_stopping : entry.takesWork() && !m_hearing.isIsolated())
            keys.push_back(entry.node.key);
        selfSeen = selfSeen || isSelf;
    }
    // A node that the register does not name yet still serves what reaches it.
    if (!selfSeen)
        keys.insert(std::ranges::lower_bound(keys, m_settings.self), m_settings.self);
    return keys;
}

auto membership::isReady() const -> bool
{
    if (m_stopping)
        return false;
    return m_hearing.hasAnswer() || isAlone();
}

} // namespace gypsumhub
