#include "fakes/fake_network_fleet.h"

#include <algorithm>

namespace gypsumhub {

namespace {

    constexpr auto watchTime = seconds(20);
    constexpr auto failedReadBackoff = seconds(1);
    // Store calls to load a full configuration: head, manifest and chunks.
    constexpr auto fullReadCalls = uint64_t { 20 };
    constexpr auto deltaReadCalls = uint64_t { 1 };
    constexpr auto seedContacts = uint64_t { 3 };

} // namespace

fake_fleet_node::fake_fleet_node(fake_network_fleet& fleet, const membership_settings& membershipSettings,
    const replicator_settings& replicatorSettings, const revision_id& first)
    : source(fleet.history)
    , node(membershipSettings, replicatorSettings, source, fleet.network.senderOf(membershipSettings.self), *this)
    , m_fleet(fleet)
    , m_key(membershipSettings.self)
{
    source.adopt(first);
    fleet.network.setNode(m_key, this);
    updateNodes(fleet.network.now());
    // A node without a configuration starts with a few seeds, which the settings of a real node name.
    for (auto seed = uint64_t { 1 }; seed <= std::min<uint64_t>(seedContacts, fleet.nodes.size()); ++seed)
        node.handlePeerConnected({ seed });
}

fake_fleet_node::~fake_fleet_node()
{
    m_fleet.network.setNode(m_key, nullptr);
}

auto fake_fleet_node::updateNodes(time_point now) -> void
{
    if (m_hasNodes || source.current().number == 0)
        return;
    m_hasNodes = true;
    node.setNodes(m_fleet.nodes, now);
}

auto fake_fleet_node::onTick(time_point now) -> void
{
    updateNodes(now);
    node.tick(now);
    readStore(now);
}

auto fake_fleet_node::onMessage(node_key sender, peer_message message, time_point now) -> void
{
    node.handle(sender, message, now);
    updateNodes(now);
}

auto fake_fleet_node::onRevisionAdopted(const revision_id&) -> void
{
    adoptedAt = m_fleet.network.now();
    // The replicator notifies the contacts next, so the nodes must be set first.
    updateNodes(adoptedAt);
}

auto fake_fleet_node::readStore(time_point now) -> void
{
    if (!node.shouldReadStore(now))
        return;
    // Starts a new watch when the last one has expired. Each watch ends with a read of the head.
    if (now >= m_watchUntil) {
        m_watchUntil = now + (m_fleet.storeAvailable ? watchTime : failedReadBackoff);
        m_fleet.storeCalls += 2;
    }
    if (!m_fleet.storeAvailable || m_fleet.storeHead == source.current())
        return;
    auto isFullRead = source.current().number == 0;
    if (!source.adopt(m_fleet.storeHead)) {
        refusals.push_back(result_code::ConfigurationForked);
        return;
    }
    m_fleet.storeCalls += isFullRead ? fullReadCalls : deltaReadCalls;
    adoptedAt = now;
    updateNodes(now);
    node.announceRevision(now);
}

fake_network_fleet::fake_network_fleet(const settings& fleetSettings)
    : network(fleetSettings.seed)
    , m_settings(fleetSettings)
{
    auto firstRegion = fleetSettings.dataCentres / 2 + fleetSettings.dataCentres % 2;
    for (auto index = uint64_t { 0 }; index < uint64_t { fleetSettings.dataCentres } * fleetSettings.perDataCentre; ++index) {
        auto dataCentre = static_cast<uint16_t>(index / fleetSettings.perDataCentre);
        nodes.push_back({ { index + 1 }, dataCentre, static_cast<uint16_t>(dataCentre < firstRegion ? 0 : 1) });
    }
    network.setLinks(defaultLinks());
    firstRevision = history.add({});
    storeHead = firstRevision;
    for (auto& node : nodes)
        start(node.key, 1'000'000'000, fleetSettings.startsConfigured ? firstRevision : revision_id {});
}

fake_network_fleet::~fake_network_fleet()
{
    // Each node detaches from the network in its destructor, so nodes are destroyed before the network.
    ends.clear();
}

auto fake_network_fleet::start(node_key key, uint64_t incarnation, const revision_id& first) -> void
{
    auto membershipSettings = m_settings.membership;
    membershipSettings.self = key;
    membershipSettings.incarnation = incarnation;
    membershipSettings.seed = m_settings.seed * 1'000'003 + key.value * 7919 + incarnation;
    auto replicatorSettings = m_settings.replicator;
    replicatorSettings.self = key;
    replicatorSettings.seed = membershipSettings.seed + 1;
    ends[key].reset();
    ends[key] = std::make_unique<fake_fleet_node>(*this, membershipSettings, replicatorSettings, first);
}

auto fake_network_fleet::publish() -> revision_id
{
    storeHead = history.add(storeHead);
    return storeHead;
}

auto fake_network_fleet::countNodesAt(const revision_id& revision) const -> std::size_t
{
    auto isAt = [&](auto& entry) { return entry.second && entry.second->source.current() == revision; };
    return static_cast<std::size_t>(std::ranges::count_if(ends, isAt));
}

auto fake_network_fleet::runUntilAllAt(const revision_id& revision, time_point limit) -> time_point
{
    auto isBehind = [&](auto& entry) { return entry.second && entry.second->source.current() != revision; };
    while (std::ranges::any_of(ends, isBehind)) {
        if (network.now() >= limit)
            return never;
        network.runFor(milliseconds(20));
    }
    auto last = time_point {};
    for (auto& [key, end] : ends) {
        if (end)
            last = std::max(last, end->adoptedAt);
    }
    return last;
}

auto fake_network_fleet::distance(node_key a, node_key b) const -> peer_distance
{
    return distanceBetween(nodes[a.value - 1], nodes[b.value - 1]);
}

auto fake_network_fleet::defaultLinks() -> std::function<fake_network::link_quality(node_key, node_key)>
{
    return [this](node_key from, node_key to) {
        constexpr auto delays = std::array { microseconds(200), microseconds(1500), milliseconds(12) };
        return fake_network::link_quality { delays[static_cast<std::size_t>(distance(from, to))], m_settings.loss };
    };
}

} // namespace gypsumhub
