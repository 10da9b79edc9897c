#include "fakes/fake_network.h"

#include "gypsumhub/fleet/peer_codec.h"

#include <utility>

namespace gypsumhub {

/// Sends the messages of one node into the network.
class fake_network::network_sender final : public peer_sender {
public:
    network_sender(fake_network& network, node_key self)
        : m_network(network)
        , m_self(self)
    {
    }

    auto send(node_key receiver, peer_message message) -> void override { m_network.send(m_self, receiver, std::move(message)); }

private:
    fake_network& m_network;
    node_key m_self;
};

fake_network::fake_network(uint64_t seed)
    : m_random(seed)
    , m_links([](node_key, node_key) { return link_quality {}; })
{
}

fake_network::~fake_network() = default;

auto fake_network::setNode(node_key key, fake_network_node* node) -> void
{
    auto& state = m_nodes[key];
    state.node = node;
    state.paused = false;
    state.pending.clear();
    ++state.generation;
    if (node)
        push({ m_now + milliseconds(static_cast<int64_t>(m_random.below(100))), 0, key, state.generation, {}, nullptr });
}

auto fake_network::senderOf(node_key key) -> peer_sender&
{
    auto& state = m_nodes[key];
    if (!state.sender)
        state.sender = std::make_unique<network_sender>(*this, key);
    return *state.sender;
}

auto fake_network::setLinks(std::function<link_quality(node_key, node_key)> links) -> void
{
    m_links = std::move(links);
}

auto fake_network::pause(node_key key) -> void
{
    m_nodes[key].paused = true;
}

auto fake_network::resume(node_key key) -> void
{
    auto& state = m_nodes[key];
    state.paused = false;
    for (auto& waiting : std::exchange(state.pending, {})) {
        waiting.at = m_now;
        push(std::move(waiting));
    }
}

auto fake_network::runUntil(time_point end) -> void
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        deliver(std::move(next));
    }
    m_now = end;
}

auto fake_network::measureBytes(std::function<peer_distance(node_key, node_key)> distances) -> void
{
    m_distances = std::move(distances);
}

auto fake_network::send(node_key from, node_key to, peer_message message) -> void
{
    if (m_distances) {
        m_meter.count(message.index(), m_distances(from, to), encodedSize(message));
        m_meter.countOverhead(m_distances(from, to), frameOverheadBytes);
    }
    auto quality = m_links(from, to);
    if (m_random.unit() < quality.loss)
        return;
    auto receiver = m_nodes.find(to);
    if (receiver == m_nodes.end() || !receiver->second.node)
        return;
    auto shared = std::make_shared<peer_message>(std::move(message));
    push({ m_now + quality.delay, 0, to, receiver->second.generation, from, std::move(shared) });
}

auto fake_network::push(event next) -> void
{
    next.order = ++m_order;
    m_events.push(std::move(next));
}

auto fake_network::deliver(event next) -> void
{
    auto& state = m_nodes[next.to];
    if (!state.node || state.generation != next.generation)
        return;
    if (state.paused) {
        state.pending.push_back(std::move(next));
        return;
    }
    if (next.message) {
        state.node->onMessage(next.from, std::move(*next.message), m_now);
        return;
    }
    state.node->onTick(m_now);
    next.at = m_now + tickInterval;
    push(std::move(next));
}

} // namespace gypsumhub
