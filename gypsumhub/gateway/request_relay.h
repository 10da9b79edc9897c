#pragma once

#include "gypsumhub/gateway/caller_identity.h"
#include "gypsumhub/gateway/gateway_context.h"
#include "gypsumhub/gateway/relay_fields.h"

#include <memory>
#include <string>

namespace gypsumhub {

/// A request to relay.
struct relayed_request {
    const inbound_message& message;
    /// Of the route.
    std::string_view host;
    std::shared_ptr<const std::string> body;
    const caller_identity& caller;
    relay_fields fields;
    time_point deadline;
    bool isRetryable { false };
};

/// How a relay ended. `NotSent` means that no node took the request.
struct relay_result {
    exchange_result exchange;
    /// The node that took the request.
    std::string node;
};

/// Relays requests to other nodes while this one has lost its paths to the targets. The other node sends the request to a target;
/// it does not relay it again.
class request_relay {
public:
    explicit request_relay(gateway_context&);

    /// False for a while after no other node could serve a request for the service.
    auto isPossible(std::string_view service) const -> bool;

    /// Exchanges the request with another node. `active` holds the connection in use, to abandon the exchange. No node is asked any more
    /// once `isCancelled`.
    auto send(relayed_request, std::shared_ptr<target_http_connection>& active, const bool& isCancelled) -> task<relay_result>;

private:
    auto open(const node_registration&, const relayed_request&, std::shared_ptr<target_http_connection>& active) -> task<std::shared_ptr<target_http_connection>>;
    auto exchange(std::shared_ptr<target_http_connection>, const relayed_request&) -> task<exchange_result>;
    /// Nodes to relay to, in order.
    auto candidates(std::string_view host) -> std::vector<node_registration>;

    gateway_context& m_context;
};

} // namespace gypsumhub
