#pragma once

#include "gypsumhub/fleet/peer_message.h"
#include "gypsumhub/fleet/peer_transport_settings.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace gypsumhub {

/// A message to send, with its receiver.
struct outgoing_message {
    node_key receiver;
    peer_message message;
};

/// Requests of other threads to the transport's thread since the last `take`.
struct transport_requests {
    std::vector<outgoing_message> messages;
    std::optional<std::map<node_key, peer_address>> peers;
    std::vector<endpoint> seeds;
    bool stop { false };
};

/// Passes requests to the transport's thread and wakes it through a file descriptor.
class transport_inbox {
public:
    transport_inbox();
    ~transport_inbox();
    transport_inbox(const transport_inbox&) = delete;
    auto operator=(const transport_inbox&) -> transport_inbox& = delete;

    /// False when the inbox is full; the message is dropped.
    auto addMessage(outgoing_message) -> bool;
    auto setPeers(std::map<node_key, peer_address>) -> void;
    auto addSeeds(std::vector<endpoint>) -> void;
    auto stop() -> void;

    /// Removes and returns all requests and resets the descriptor. Only on the transport's thread.
    auto take() -> transport_requests;

    /// Readable while there are requests.
    auto descriptor() const -> int { return m_descriptor; }

private:
    auto wake() const -> void;

    std::mutex m_mutex;
    transport_requests m_requests;
    int m_descriptor;
};

} // namespace gypsumhub
