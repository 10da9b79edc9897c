#pragma once

#include "gypsumhub/core/random_generator.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/fleet/control_meter.h"
#include "gypsumhub/fleet/peer_message.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace gypsumhub {

/// A node's end in a `fake_network`.
class fake_network_node {
public:
    virtual ~fake_network_node() = default;
    virtual auto onTick(time_point now) -> void = 0;
    virtual auto onMessage(node_key sender, peer_message, time_point now) -> void = 0;
};

/// A message queue in virtual time behind `peer_sender`: delay, loss, one-way cuts, and pauses of nodes. Messages to a paused
/// node wait for it, as they would in its socket.
class fake_network {
public:
    /// What happens to messages from one node to another.
    struct link_quality {
        duration delay { milliseconds(1) };
        double loss { 0 };
    };

    explicit fake_network(uint64_t seed);
    ~fake_network();

    /// Adds or replaces a node; it ticks from now on every `tickInterval`. Null removes it.
    auto setNode(node_key, fake_network_node*) -> void;
    /// Where messages of the node go in; valid as long as the network.
    auto senderOf(node_key) -> peer_sender&;

    /// Replaces the rule that gives each ordered pair its quality; a loss of 1 is a cut.
    auto setLinks(std::function<link_quality(node_key from, node_key to)>) -> void;
    auto pause(node_key) -> void;
    auto resume(node_key) -> void;

    auto now() const -> time_point { return m_now; }
    auto runUntil(time_point) -> void;
    auto runFor(duration length) -> void { runUntil(m_now + length); }

    /// Turns the counting of bytes on; distances come from the rule.
    auto measureBytes(std::function<peer_distance(node_key, node_key)>) -> void;
    auto meter() const -> const control_meter& { return m_meter; }

    /// Time between two ticks of a node.
    static constexpr auto tickInterval = milliseconds(100);
    /// Bytes that sealing, the call and its return add to a message that travels alone.
    static constexpr auto frameOverheadBytes = std::size_t { 340 };

private:
    class network_sender;

    struct event {
        time_point at;
        uint64_t order;
        node_key to;
        /// Tells a node from its predecessor under the same key.
        uint64_t generation;
        node_key from;
        /// Absent for a tick.
        std::shared_ptr<peer_message> message;
    };

    struct later {
        auto operator()(const event& a, const event& b) const -> bool
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    struct node_state {
        fake_network_node* node { nullptr };
        uint64_t generation { 0 };
        bool paused { false };
        std::vector<event> held;
        std::unique_ptr<peer_sender> sender;
    };

    auto send(node_key from, node_key to, peer_message) -> void;
    auto deliver(event) -> void;
    auto push(event) -> void;

    random_generator m_random;
    time_point m_now {};
    uint64_t m_order { 0 };
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::map<node_key, node_state> m_nodes;
    std::function<link_quality(node_key, node_key)> m_links;
    std::function<peer_distance(node_key, node_key)> m_distances;
    control_meter m_meter;
};

} // namespace gypsumhub
