#pragma once

#include "fakes/fake_network.h"
#include "gypsumhub/fleet/membership.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace gypsumhub {

/// One `membership` on a fake network.
class membership_node final : public fake_network_node, public membership_listener {
public:
    membership_node(const membership_settings& settings, fake_network& network, const std::vector<registered_node>& nodes)
        : m_network(network)
        , m_key(settings.self)
        , view(settings, network.senderOf(settings.self), *this)
    {
        network.setNode(m_key, this);
        view.setNodes(nodes, network.now());
    }

    ~membership_node() override { m_network.setNode(m_key, nullptr); }

    auto onTick(time_point now) -> void override { view.tick(now); }

    auto onMessage(node_key sender, peer_message message, time_point now) -> void override
    {
        if (auto* ping = std::get_if<ping_message>(&message))
            view.handle(sender, *ping, now);
        else if (auto* ack = std::get_if<ping_ack_message>(&message))
            view.handle(sender, *ack, now);
        else if (auto* claims = std::get_if<membership_message>(&message))
            view.handle(sender, *claims, now);
        else if (auto* digest = std::get_if<digest_message>(&message))
            view.handle(sender, *digest, now);
    }

    auto onMembershipChange() -> void override { ++changes; }
    auto onPause() -> void override { }
    auto onPeerReplaced(node_key peer) -> void override { replaced.push_back(peer); }

private:
    fake_network& m_network;
    node_key m_key;

public:
    uint32_t changes { 0 };
    std::vector<node_key> replaced;
    membership view;
};

/// A fleet of `membership` instances on a fake network: `perDataCentre` nodes in each of `dataCentres`, two data centres per region.
class membership_fleet {
public:
    membership_fleet(uint16_t dataCentres, uint16_t perDataCentre, membership_settings base = {}, uint64_t seed = 1)
        : network(seed)
        , m_base(base)
    {
        for (auto index = uint64_t { 0 }; index < uint64_t { dataCentres } * perDataCentre; ++index) {
            auto dataCentre = static_cast<uint16_t>(index / perDataCentre);
            nodes.push_back({ { index + 1 }, dataCentre, static_cast<uint16_t>(dataCentre / 2) });
        }
        for (auto& node : nodes)
            start(node.key, 1'000'000'000);
    }

    auto start(node_key key, uint64_t incarnation) -> void
    {
        auto settings = m_base;
        settings.self = key;
        settings.incarnation = incarnation;
        settings.seed = key.value * 7919 + incarnation;
        runningNodes[key].reset();
        runningNodes[key] = std::make_unique<membership_node>(settings, network, nodes);
    }

    auto kill(node_key key) -> void { runningNodes[key].reset(); }

    auto view(node_key key) -> membership& { return runningNodes[key]->view; }

    /// Number of running nodes other than `subject` that fulfil `predicate` and have `subject` in their alive list.
    template <typename Predicate>
    auto countSeeingAlive(node_key subject, Predicate predicate) -> std::size_t
    {
        auto count = std::size_t { 0 };
        for (auto& [key, node] : runningNodes) {
            if (!node || key == subject || !predicate(key))
                continue;
            auto alive = node->view.alive();
            count += std::ranges::binary_search(alive, subject) ? 1 : 0;
        }
        return count;
    }

    auto countSeeingAlive(node_key subject) -> std::size_t
    {
        return countSeeingAlive(subject, [](node_key) { return true; });
    }

    auto dataCentreOf(node_key key) const -> uint16_t { return nodes[key.value - 1].dataCentre; }
    auto regionOf(node_key key) const -> uint16_t { return nodes[key.value - 1].region; }

    fake_network network;
    std::vector<registered_node> nodes;
    std::map<node_key, std::unique_ptr<membership_node>> runningNodes;

private:
    membership_settings m_base;
};

} // namespace gypsumhub
