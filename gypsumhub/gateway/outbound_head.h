#pragma once

#include "gypsumhub/core/asio_types.h"
#include "gypsumhub/core/time_point.h"
#include "gypsumhub/gateway/caller_identity.h"
#include "gypsumhub/proxy/request_reader.h"

#include <string>
#include <string_view>

namespace gypsumhub {

/// Builds the head of a caller's request as it is sent to one target, or to another node that sends it to a target.
class outbound_head {
public:
    explicit outbound_head(const inbound_message&);

    /// Sets the only target that may run the request. A target with another id declines it.
    auto setTarget(std::string_view id) -> outbound_head&;
    /// Sets what the receiving node needs to know about a relayed request.
    auto setRelay(std::string_view fields) -> outbound_head&;
    /// Replaces the key and the customer's name that the caller sent by the customer. Without customers nothing is replaced.
    auto setCustomer(const caller_identity&) -> outbound_head&;
    /// Sets the time left until the deadline.
    auto setTimeLeft(duration) -> outbound_head&;
    auto build() const -> std::string;

private:
    const inbound_message& m_request;
    std::string m_target;
    std::string m_relay;
    std::string m_customer;
    bool m_hasCustomers { false };
    duration m_timeLeft;
};

} // namespace gypsumhub
