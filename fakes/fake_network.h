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

/// Interface of a node that is attached to a `fake_network`.
class fake_network_node {
public:
    virtual ~fake_network_node() = default;
    virtual auto onTick(time_point now) -> void = 0;
    virtual auto onMessage(node_key sender, peer_message, time_point now) -> void = 0;
};

/// Delivers peer messages in virtual time. It models delay, loss, one-way link failures and paused nodes. Messages to a paused
/// node are queued until it resumes, as they would be in its socket buffer.
class fake_network {
public:
    /// Delay and loss rate of messages from one node to another.
    struct link_quality {
        duration delay { milliseconds(1) };
        double loss { 0 };
    };

    explicit fake_network(uint64_t seed);
    ~fake_network();

    /// Adds or replaces a node, which receives a tick every `tickInterval`. Null removes the node.
    auto setNode(node_key, fake_network_node*) -> void;
    /// The sender for messages of this node. Valid for the lifetime of the network.
    auto senderOf(node_key) -> peer_sender&;

    /// Sets the function that returns the link quality for each ordered pair of nodes. A loss of 1 cuts the link.
    auto setLinks(std::function<link_quality(node_key from, node_key to)>) -> void;
    auto pause(node_key) -> void;
    auto resume(node_key) -> void;

    auto now() const -> time_point { return m_now; }
    auto runUntil(time_point) -> void;
    auto runFor(duration length) -> void { runUntil(m_now + length); }

    /// Starts counting bytes by distance. The function returns the distance between two nodes.
    auto measureBytes(std::function<peer_distance(node_key, node_key)>) -> void;
    auto meter() const -> const control_meter& { return m_meter; }

    /// Interval between two ticks of a node.
    static constexpr auto tickInterval = milliseconds(100);
    /// Bytes that the frame seal and the RPC call and return add to a message that is sent alone.
    static constexpr auto frameOverheadBytes = std::size_t { 340 };

private:
    class network_sender;

    /// A message or tick that is delivered at a point in virtual time.
    struct event {
        time_point at;
        uint64_t order;
        node_key to;
        /// Distinguishes a node from an earlier one with the same key.
        uint64_t generation;
        node_key from;
        /// Null for a tick.
        std::shared_ptr<peer_message> message;
    };

    /// Orders events by time, then by the order in which they were added; the earliest has the highest priority.
    struct later {
        auto operator()(const event& a, const event& b) const -> bool
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    /// An attached node; `node` is null after its removal.
    struct node_state {
        fake_network_node* node { nullptr };
        uint64_t generation { 0 };
        bool paused { false };
        std::vector<event> pending;
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
